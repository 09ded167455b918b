"""Upkeep of machines in waves: which one goes down next, and what has to leave it before."""

from __future__ import annotations
