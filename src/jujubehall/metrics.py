"""Counters and gauges of the process, rendered at ``/metrics``."""

from __future__ import annotations

from aioprometheus import Counter
from aioprometheus import Registry

REGISTRY = Registry()

REQUESTS = Counter(
    "jujubehall_requests_total",
    "Requests answered to callers, by outcome.",
    registry=REGISTRY,
)
