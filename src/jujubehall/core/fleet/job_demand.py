"""What a submitted job needs, as far as its admission depends on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.fleet.delay_cost import EXPIRY_FACTOR
from jujubehall.core.fleet.requests import longest_chain_ms
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.fleet.work import NO_WORK
from jujubehall.core.fleet.work import Work
from jujubehall.core.fleet.work import work_of

if TYPE_CHECKING:
    from jujubehall.core.fleet.configuration import Queue
    from jujubehall.core.fleet.requests import JobRequest


class JobDemand(msgspec.Struct, frozen=True):
    """The expected duration and work of a job, and what all tasks of its first step need."""

    chain_ms: int
    first_needs: Resources
    work: Work

    def corrected(self, factor: float) -> JobDemand:
        """Returns the demand if the tasks take ``factor`` times as long as estimated."""
        return JobDemand(
            round(factor * self.chain_ms), self.first_needs, NO_WORK.plus(self.work, factor)
        )

    def in_time_slack_ms(self, queue: Queue) -> float:
        """Returns how long after its submission the job may start and still be in time."""
        return queue.objective_ms + (queue.objective_factor - 1) * self.chain_ms

    def start_limit_ms(self, queue: Queue) -> float:
        """Returns how long after its submission the job may start and still be of use."""
        return start_limit_ms(queue, self.chain_ms)


def start_limit_ms(queue: Queue, chain_ms: int) -> float:
    """Returns how long after its submission a job of that expected duration may start."""
    objective_ms = queue.objective_ms + queue.objective_factor * chain_ms
    return EXPIRY_FACTOR * objective_ms - chain_ms


def job_demand(request: JobRequest) -> JobDemand | None:
    """Returns the demand of a job; None if nothing can be said about the time of its end.

    That is the case without an estimate, and for jobs that run at certain times or until they are
    cancelled.
    """
    steps = request.steps
    if request.occurrences or any(
        step.runs_until_cancelled or not step.expected_ms for step in steps
    ):
        return None
    work = NO_WORK
    for step in steps:
        work = work.plus(work_of(step.needs, step.expected_ms), step.tasks)
    return JobDemand(longest_chain_ms(steps), steps[0].needs.times(steps[0].tasks), work)
