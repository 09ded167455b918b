"""Queue priorities of borrowed work, with ageing so that no job starves."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubehall.core.jobs.zone_view import JobView

_MIN_AGEING_RUN_TIME_MS = 600_000
"""Lower bound on the run time that the wait is divided by to compute a job's slowdown."""

_OVERDUE_FACTOR = 2
"""A job is overdue once its wait exceeds this multiple of its expected run time.

The threshold is clamped to ``_MIN_OVERDUE_MS`` and ``_MAX_OVERDUE_MS``.
"""

_MIN_OVERDUE_MS = 3_600_000
_MAX_OVERDUE_MS = 6 * 3_600_000

_RESERVATION_WAIT_MS = 10 * 3_600_000
"""How long a job must have waited before capacity is reserved for it."""

_SIZE_EXPONENT = 1.0
"""How strongly the fragmentation weight favours small jobs (at 0) or large jobs (at 1)."""

Priority = tuple[bool, float, int, str]
"""Sort key of queued jobs; the lowest comes first."""


def queue_priority(
    job: JobView, now_ms: int, run_time_ms: int, fragmentation_weight: float
) -> Priority:
    """Returns a sort key by slowdown and size; overdue jobs come first, in order of arrival.

    Urgent jobs precede all others. ``run_time_ms`` is the expected run time.
    """
    waited_ms = max(0, now_ms - job.queued_since_ms)
    overdue_ms = min(max(_OVERDUE_FACTOR * run_time_ms, _MIN_OVERDUE_MS), _MAX_OVERDUE_MS)
    if waited_ms > overdue_ms:
        return arrival_priority(job)
    spec = job.record.spec
    slowdown = 1 + waited_ms / max(_MIN_AGEING_RUN_TIME_MS, run_time_ms)
    exponent = _SIZE_EXPONENT * (fragmentation_weight - 0.5)
    size = max(1, spec.parts * spec.accelerators_per_part) ** exponent
    return not spec.urgent, -slowdown * size, job.queued_since_ms, job.record.id


def arrival_priority(job: JobView) -> Priority:
    """Returns a sort key by arrival, ahead of all jobs sorted by slowdown of equal urgency."""
    return not job.record.spec.urgent, -math.inf, job.queued_since_ms, job.record.id


def has_waited_long(job: JobView, now_ms: int) -> bool:
    """Whether a job has waited long enough for capacity to be reserved for it.

    Reservations are delayed because they leave accelerators idle, which delays other jobs.
    """
    return now_ms - job.queued_since_ms >= _RESERVATION_WAIT_MS
