"""Quarantine of workers on which tasks fail repeatedly."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable

FAILURES_TO_QUARANTINE = 3
"""Number of consecutive failures on a worker after which it is quarantined.

They count only if they concern several jobs, or a single job that has failed on no other worker.
"""

FIRST_QUARANTINE_MS = 60_000
MAX_QUARANTINE_MS = 3_600_000
MAX_QUARANTINED_SHARE = 0.25
"""Maximum share of a zone's workers in quarantine at a time; one worker is always allowed."""


class QuarantineState(msgspec.Struct):
    """A worker's recent failures and its quarantine.

    ``failures`` lists the failed jobs since the last success or quarantine. ``quarantined_by``
    holds the jobs whose failures led to the quarantine. ``quarantined_until_ms`` is on the clock of
    ``WorkerHealth.update``.
    """

    failures: list[JobId] = msgspec.field(default_factory=list)
    quarantined_by: set[JobId] = msgspec.field(default_factory=set)
    quarantined_until_ms: int = 0
    next_quarantine_ms: int = FIRST_QUARANTINE_MS
    on_probation: bool = False


class WorkerHealth:
    """Tracks the health of a zone's workers as observed by the current zone owner.

    A worker leaves quarantine on probation: its next failure quarantines it again for twice as
    long, up to ``MAX_QUARANTINE_MS``, and its next success clears its record.
    """

    def __init__(self) -> None:
        self._states: dict[WorkerName, QuarantineState] = {}
        self._workers: frozenset[WorkerName] = frozenset()
        self._now_ms = 0

    def update(self, workers: Iterable[WorkerName], now_ms: int) -> None:
        """Sets the zone's current workers and the time; removes the state of all other workers."""
        self._workers = frozenset(workers)
        self._now_ms = now_ms
        for name in [name for name in self._states if name not in self._workers]:
            del self._states[name]

    def is_quarantined(self, worker: WorkerName) -> bool:
        """Whether a worker is in quarantine and gets no new parts."""
        state = self._states.get(worker)
        return state is not None and state.quarantined_until_ms > self._now_ms

    def record_failure(self, worker: WorkerName, job: JobId, *, failed_elsewhere: bool) -> bool:
        """Records that a part failed on a worker; returns whether that quarantined the worker.

        ``failed_elsewhere`` says that the job has failed on other workers, too.
        """
        state = self._states.setdefault(worker, QuarantineState())
        state.failures.append(job)
        limit = 1 if state.on_probation else FAILURES_TO_QUARANTINE
        if (
            len(state.failures) < limit
            or self.is_quarantined(worker)
            or not self._may_quarantine_more()
        ):
            return False
        if len(set(state.failures)) == 1 and failed_elsewhere:
            return False
        state.quarantined_by = set(state.failures)
        state.quarantined_until_ms = self._now_ms + state.next_quarantine_ms
        state.next_quarantine_ms = min(2 * state.next_quarantine_ms, MAX_QUARANTINE_MS)
        state.on_probation = True
        state.failures.clear()
        return True

    def record_success(self, worker: WorkerName) -> None:
        """Records that a part succeeded on a worker."""
        if not self.is_quarantined(worker):
            self._states.pop(worker, None)

    def discard_failures(self, job: JobId) -> None:
        """Discards the failures of a job that turned out to be faulty itself.

        Lifts quarantines that only this job had caused.
        """
        for state in self._states.values():
            state.failures = [failed for failed in state.failures if failed != job]
            if state.quarantined_by == {job}:
                state.quarantined_until_ms = 0
                state.on_probation = False

    def _may_quarantine_more(self) -> bool:
        quarantined = sum(self.is_quarantined(name) for name in self._workers)
        return quarantined < max(1, int(MAX_QUARANTINED_SHARE * len(self._workers)))
