"""Messages and transport between entry hosts."""

from __future__ import annotations
