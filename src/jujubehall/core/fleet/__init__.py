"""Scheduling of multi-step jobs on the workers of a site."""

from __future__ import annotations
