"""A scheduler for multi-accelerator jobs under team guarantees."""

from __future__ import annotations

__version__ = "0.1.0"
