"""Decisions about requests: claims, choice of endpoint, limits and retries."""

from __future__ import annotations
