"""Formal models of the core protocols and a bounded model checker for them.

``python -m spec`` checks that the invariant of every correct model holds and that a violation is
found in every broken variant.
"""

from __future__ import annotations
