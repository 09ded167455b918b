"""Translates between the operators' platform and the project's own types; nothing else."""

from __future__ import annotations
