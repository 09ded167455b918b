"""Quarantine of workers on which everything fails."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable

FAILURES_TO_QUARANTINE = 3
"""So many attempts that fail on a worker one after the other quarantine it, if they were of
several jobs, or of a job that has failed nowhere else."""

FIRST_QUARANTINE_MS = 60_000
MAX_QUARANTINE_MS = 3_600_000
MAX_QUARANTINED_SHARE = 0.25
"""At most this share of a zone's workers, but always one of them, may be in quarantine."""


class Health(msgspec.Struct):
    """A worker's failures since its last success, by job, and its quarantine.

    ``blamed_by`` holds the jobs whose failures led to the quarantine.
    """

    failures: list[JobId] = msgspec.field(default_factory=list)
    blamed_by: set[JobId] = msgspec.field(default_factory=set)
    until_ms: int = 0
    next_quarantine_ms: int = FIRST_QUARANTINE_MS
    on_probation: bool = False


class WorkerHealth:
    """The health of a zone's workers, as far as the present owner has seen it.

    A worker comes back from quarantine on probation: its next failure quarantines it again, for
    twice the time, and its next success clears it.
    """

    def __init__(self) -> None:
        self._healths: dict[WorkerName, Health] = {}
        self._workers: frozenset[WorkerName] = frozenset()
        self._now_ms = 0

    def update(self, workers: Iterable[WorkerName], now_ms: int) -> None:
        """Takes in the zone's present workers and the time."""
        self._workers = frozenset(workers)
        self._now_ms = now_ms
        for name in [name for name in self._healths if name not in self._workers]:
            del self._healths[name]

    def is_quarantined(self, worker: WorkerName) -> bool:
        """Whether a worker gets no new parts now."""
        health = self._healths.get(worker)
        return health is not None and health.until_ms > self._now_ms

    def record_failure(self, worker: WorkerName, job: JobId, *, failed_elsewhere: bool) -> bool:
        """Notes that a part failed on a worker; returns whether that quarantined it."""
        health = self._healths.setdefault(worker, Health())
        health.failures.append(job)
        limit = 1 if health.on_probation else FAILURES_TO_QUARANTINE
        if len(health.failures) < limit or self.is_quarantined(worker) or not self._has_room():
            return False
        if len(set(health.failures)) == 1 and failed_elsewhere:
            return False
        health.blamed_by = set(health.failures)
        health.until_ms = self._now_ms + health.next_quarantine_ms
        health.next_quarantine_ms = min(2 * health.next_quarantine_ms, MAX_QUARANTINE_MS)
        health.on_probation = True
        health.failures.clear()
        return True

    def record_success(self, worker: WorkerName) -> None:
        """Notes that a part succeeded on a worker."""
        if not self.is_quarantined(worker):
            self._healths.pop(worker, None)

    def forgive(self, job: JobId) -> None:
        """Takes back the failures of a job that has turned out to be at fault itself."""
        for health in self._healths.values():
            health.failures = [failed for failed in health.failures if failed != job]
            if health.blamed_by == {job}:
                health.until_ms = 0
                health.on_probation = False

    def _has_room(self) -> bool:
        quarantined = sum(self.is_quarantined(name) for name in self._workers)
        return quarantined < max(1, int(MAX_QUARANTINED_SHARE * len(self._workers)))
