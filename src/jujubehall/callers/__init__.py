"""HTTP interface for callers: requests and jobs."""

from __future__ import annotations
