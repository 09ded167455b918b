"""The ``jujubehall`` command-line interface."""

from __future__ import annotations
