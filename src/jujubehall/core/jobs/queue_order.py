"""Orders the waiting work that no guarantee covers, so that no job starves."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubehall.core.jobs.zone_view import JobView

_AGEING_FLOOR_MS = 600_000
"""Waiting counts against the expected run time, but against no less than this."""

_OVERDUE_FACTOR = 2
"""A job that waited so many times its run time is overdue, within the next two bounds."""

_OVERDUE_MIN_MS = 3_600_000
_OVERDUE_MAX_MS = 6 * 3_600_000

_PATIENCE_MS = 10 * 3_600_000
"""How long a job waits before others have to wait for it."""

_SIZE_EXPONENT = 1.0
"""How strongly the fragmentation weight favours small (at 0) or large jobs (at 1)."""

Priority = tuple[bool, float, int, str]
"""The lowest comes first."""


def queue_order(job: JobView, now_ms: int, run_time_ms: int, weight: float) -> Priority:
    """Orders by slowdown and size; whoever is overdue comes first, oldest first.

    ``run_time_ms`` is the expected run time and ``weight`` the fragmentation weight.
    """
    waited_ms = max(0, now_ms - job.queued_since_ms)
    overdue_ms = min(max(_OVERDUE_FACTOR * run_time_ms, _OVERDUE_MIN_MS), _OVERDUE_MAX_MS)
    if waited_ms > overdue_ms:
        return arrival_order(job)
    spec = job.record.spec
    aged = 1 + waited_ms / max(_AGEING_FLOOR_MS, run_time_ms)
    exponent = _SIZE_EXPONENT * (weight - 0.5)
    size = max(1, spec.parts * spec.accelerators_per_part) ** exponent
    return not spec.urgent, -aged * size, job.queued_since_ms, job.record.id


def arrival_order(job: JobView) -> Priority:
    """Orders by arrival, ahead of all jobs that are ordered otherwise."""
    return not job.record.spec.urgent, -math.inf, job.queued_since_ms, job.record.id


def has_waited_long(job: JobView, now_ms: int) -> bool:
    """Whether a job has waited so long that others wait for it.

    A reservation leaves accelerators idle, which costs the other jobs time.
    """
    return now_ms - job.queued_since_ms >= _PATIENCE_MS
