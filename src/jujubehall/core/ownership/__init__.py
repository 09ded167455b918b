"""The ownership record and the assignment of scopes to entry hosts."""

from __future__ import annotations
