"""Runs entry hosts in one process under virtual time, with in-memory external services."""

from __future__ import annotations
