"""The work in a pool of workers, and how long a new job waits for it at least."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.delay_cost import Lateness
from jujubehall.core.fleet.left_capacity import LeftCapacity
from jujubehall.core.fleet.left_capacity import RunningTask
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY
from jujubehall.core.fleet.resources import NO_RESOURCES
from jujubehall.core.fleet.work import NO_WORK
from jujubehall.core.fleet.work import work_of

if TYPE_CHECKING:
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.work import Work
    from jujubehall.identifiers import JobId


class JobLoad(NamedTuple):
    """The work of one job that is not done yet."""

    submitted_ms: int
    priority: int
    running: tuple[RunningTask, ...]
    waiting: Work
    waiting_needs: Resources
    """What its waiting groups would take of the free capacity at once, as far as each fits."""

    standing: Lateness = Lateness.IN_TIME


class PoolLoad:
    """The unfinished jobs of a pool, and the capacity of its workers that accept work.

    Only runs on these workers count, too.
    """

    def __init__(self, capacity: Resources, free: Resources) -> None:
        self._capacity = capacity
        self.free = free
        """The part of the capacity that is neither in use nor reserved."""

        self._left: dict[bool, LeftCapacity] = {}
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
            self._total = self._total.plus(job.waiting)
            for run in job.running:
                self._total = self._total.plus(work_of(run.occupied, run.remaining_ms))
            if job.running:
                self._left.clear()

    def least_wait_ms(
        self,
        priority: int,
        submitted_ms: int,
        own_work: Work,
        own_needs: Resources | None,
        in_time_slack_ms: float,
    ) -> float:
        """Returns how long a job waits at least until it can start.

        That is the time in which the work that goes first is done, without any loss, on what runs
        leave to it until they end: work of higher priorities, and earlier jobs of the same priority
        that can be in time. If the job itself can't start within ``in_time_slack_ms`` then, earlier
        late jobs go first, too. Larger jobs don't count: smaller ones use capacity that isn't
        enough for them. A job doesn't wait if ``own_needs`` fit into what is free beside the work
        that goes first.
        """
        # Amounts of equal jobs may differ by a rounding error.
        own_ms = own_work.duration_on(self._capacity) + 1
        ahead = late = NO_WORK
        needs = NO_RESOURCES
        for job in self._jobs.values():
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
            else:
                continue
            needs = needs + job.waiting_needs
        if own_needs is not None and own_needs.fits_in(self.free.minus(needs)):
            return 0.0
        left = self._left_capacity(priority)
        wait_ms = left.duration_ms(ahead)
        if wait_ms <= in_time_slack_ms:
            return wait_ms
        return left.duration_ms(ahead.plus(late))

    def _left_capacity(self, priority: int) -> LeftCapacity:
        # Urgent work doesn't wait for the end of other work, which it preempts.
        is_urgent = priority == HIGHEST_PRIORITY
        if is_urgent not in self._left:
            runs = [
                run
                for job in self._jobs.values()
                if not is_urgent or job.priority == HIGHEST_PRIORITY
                for run in job.running
            ]
            self._left[is_urgent] = LeftCapacity(self._capacity, runs)
        return self._left[is_urgent]
