"""The command-line tool ``jujubehall``."""

from __future__ import annotations
