"""Decision logic for requests: claims, endpoint selection, concurrency limits and retries."""

from __future__ import annotations
