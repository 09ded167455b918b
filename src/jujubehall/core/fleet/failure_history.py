"""Failure history and quarantine of a worker."""

from __future__ import annotations

INITIAL_QUARANTINE_MS = 1_000
"""Quarantine after a first failure; long enough for the failed task to be retried on another
worker."""

MAX_QUARANTINE_MS = 20_000
QUARANTINE_BACKOFF_FACTOR = 4

PROOF_MEMORY_MS = 5_000
"""For how long after its start a run that has survived its beginning proves that its worker can run
tasks."""


class FailureHistory:
    """Tracks the failures on a worker since the last successful run there.

    A faulty worker must not use up the attempts of many jobs, and a job that fails on every worker
    must not quarantine the whole site. Therefore only consecutive failures of different jobs
    lengthen the quarantine, and one successful run ends it.
    """

    def __init__(self) -> None:
        self._failed_jobs: set[str] = set()
        self._backoff_level = 0
        self.quarantined_until_ms = 0
        self._proof_started_ms: int | None = None
        """When the last run here that has survived its beginning was started; None if a later one
        has failed."""

    @property
    def consecutive_failures(self) -> int:
        """The number of different jobs that have failed here since the last successful run."""
        return len(self._failed_jobs)

    def is_proven(self, now_ms: int) -> bool:
        """Returns whether a run that was started here lately has survived its beginning."""
        started_ms = self._proof_started_ms
        return started_ms is not None and now_ms - started_ms < PROOF_MEMORY_MS

    def record_survival(self, started_ms: int) -> None:
        """Records that a run that was started at ``started_ms`` has survived its beginning."""
        self._proof_started_ms = max(started_ms, self._proof_started_ms or 0)

    def record_success(self) -> None:
        """Records a successful run and ends the quarantine."""
        self._failed_jobs.clear()
        self._backoff_level = 0
        self.quarantined_until_ms = 0

    def record_failure(self, job: str, fails_elsewhere: bool, now_ms: int) -> None:
        """Records that a run of ``job`` failed on this worker.

        ``fails_elsewhere`` is true if the job has also failed on another worker; the failure then
        says little about this worker and is ignored.
        """
        if fails_elsewhere or job in self._failed_jobs:
            return
        self._failed_jobs.add(job)
        self._proof_started_ms = None
        wait_ms = INITIAL_QUARANTINE_MS * QUARANTINE_BACKOFF_FACTOR**self._backoff_level
        self._backoff_level += 1
        self.quarantined_until_ms = now_ms + min(wait_ms, MAX_QUARANTINE_MS)
