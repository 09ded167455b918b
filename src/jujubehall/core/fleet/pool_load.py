"""The work in a pool of workers, and how long a new job waits for it at least."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.delay_cost import Lateness
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY
from jujubehall.core.fleet.work import NO_WORK

if TYPE_CHECKING:
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.work import Work
    from jujubehall.identifiers import JobId


class JobLoad(NamedTuple):
    """The work of one job that is not done yet."""

    submitted_ms: int
    priority: int
    running: Work
    waiting: Work
    standing: Lateness = Lateness.IN_TIME


class PoolLoad:
    """The unfinished jobs of a pool, and the capacity of its workers that accept work."""

    def __init__(self, capacity: Resources) -> None:
        self._capacity = capacity
        self._jobs: dict[JobId, JobLoad] = {}
        self._total = NO_WORK

    @property
    def total_ms(self) -> float:
        """The time in which all workers do all the work, without any loss."""
        return self._total.duration_on(self._capacity)

    def add(self, name: JobId, job: JobLoad) -> None:
        """Adds an unfinished job."""
        if name not in self._jobs:
            self._jobs[name] = job
            self._total = self._total.plus(job.running).plus(job.waiting)

    def least_wait_ms(
        self, priority: int, submitted_ms: int, own_work: Work, in_time_slack_ms: float
    ) -> float:
        """Returns how long a job waits at least until it can start.

        That is the time in which all workers do the work that goes first, without any loss: what
        runs, work of higher priorities, and earlier jobs of the same priority that can be in time.
        If the job itself can't start within ``in_time_slack_ms`` then, earlier late jobs go first,
        too. Larger jobs don't count: smaller ones use capacity that isn't enough for them.
        """
        # Amounts of equal jobs may differ by a rounding error.
        own_ms = own_work.duration_on(self._capacity) + 1
        ahead = late = NO_WORK
        for job in self._jobs.values():
            # Urgent work doesn't wait for the end of other work, which it preempts.
            if priority > HIGHEST_PRIORITY or job.priority == HIGHEST_PRIORITY:
                ahead = ahead.plus(job.running)
            if job.priority > priority or job.standing is Lateness.EXPIRED:
                continue
            is_earlier = (
                job.priority == priority
                and job.submitted_ms <= submitted_ms
                and job.waiting.duration_on(self._capacity) <= own_ms
            )
            if job.priority < priority or (is_earlier and job.standing is Lateness.IN_TIME):
                ahead = ahead.plus(job.waiting)
            elif is_earlier:
                late = late.plus(job.waiting)
        wait_ms = ahead.duration_on(self._capacity)
        if wait_ms <= in_time_slack_ms:
            return wait_ms
        return ahead.plus(late).duration_on(self._capacity)
