"""HTTP API for callers: requests, tickets and jobs."""

from __future__ import annotations
