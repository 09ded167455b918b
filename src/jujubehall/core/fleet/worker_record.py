"""What the ends of runs tell about the health of a worker."""

from __future__ import annotations

FIRST_QUARANTINE_MS = 1_000
"""After one failure: long enough for the failed task's next attempt to go elsewhere."""

LONGEST_QUARANTINE_MS = 20_000
QUARANTINE_FACTOR = 4


class WorkerRecord:
    """Counts failures since the last run that was done.

    A worker that fails everything must not use up the attempts of many jobs, and a job that fails
    everywhere must not empty the site: each failure in a row of different jobs lengthens the time
    for which the worker is avoided, and one run that is done ends it.
    """

    def __init__(self) -> None:
        self._jobs_failed: set[str] = set()
        self._level = 0
        self.avoid_until_ms = 0

    @property
    def failures_in_a_row(self) -> int:
        """How many jobs have failed here since a run was done."""
        return len(self._jobs_failed)

    def note_done(self) -> None:
        """Notes that a run was done here."""
        self._jobs_failed.clear()
        self._level = 0
        self.avoid_until_ms = 0

    def note_failure(self, job: str, fails_elsewhere: bool, now_ms: int) -> None:
        """Notes that a run of ``job`` failed here.

        ``fails_elsewhere`` tells that the job has failed on another worker before, too; then it
        says little about this one.
        """
        if fails_elsewhere or job in self._jobs_failed:
            return
        self._jobs_failed.add(job)
        wait_ms = FIRST_QUARANTINE_MS * QUARANTINE_FACTOR**self._level
        self._level += 1
        self.avoid_until_ms = now_ms + min(wait_ms, LONGEST_QUARANTINE_MS)
