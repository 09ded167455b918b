"""Runs jobs over all workers of a site: one owner decides, every entry host accepts."""

from __future__ import annotations
