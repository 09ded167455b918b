"""The jobs that were refused for load, so that their callers find their place when they return."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubehall.identifiers import JobId

MAX_REFUSED_JOBS = 2_000
"""Number of refused jobs that are remembered; the earliest ones are forgotten first."""


class RefusedJobs:
    """Remembers when each job was first refused.

    A job that is forgotten counts as new when it returns.
    """

    def __init__(self) -> None:
        self._first_refused_ms: dict[JobId, int] = {}

    def __len__(self) -> int:
        return len(self._first_refused_ms)

    def first_refused_ms(self, job: JobId) -> int | None:
        """Returns when a job was first refused; None if it wasn't."""
        return self._first_refused_ms.get(job)

    def record(self, job: JobId, now_ms: int) -> None:
        """Records that a job is refused."""
        self._first_refused_ms.setdefault(job, now_ms)
        if len(self._first_refused_ms) > MAX_REFUSED_JOBS:
            self._first_refused_ms.pop(next(iter(self._first_refused_ms)))

    def forget(self, job: JobId) -> None:
        """Removes a job that has been accepted."""
        self._first_refused_ms.pop(job, None)
