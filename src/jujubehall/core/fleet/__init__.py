"""Decisions about jobs made of steps of tasks, over the workers of a whole site."""

from __future__ import annotations
