"""Adapter between the protocol of the operators' platform and the project's own types.

It only translates and contains no scheduling logic.
"""

from __future__ import annotations
