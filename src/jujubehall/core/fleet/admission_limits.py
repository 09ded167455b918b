"""Which queues have so much work ahead that jobs may have to be refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.identifiers import QueueName

if TYPE_CHECKING:
    from jujubehall.core.fleet.configuration import Queue
    from jujubehall.core.fleet.job_demand import JobDemand

WAIT_CONFIDENCE = 0.75
"""Share of the least wait that must take a job beyond use before it is refused. The estimates of
single jobs are often wrong by half."""


class AdmissionLimits(msgspec.Struct, frozen=True):
    """The least wait of a new job in ms, for the queues in which that may be too long.

    limits = AdmissionLimits({QueueName("overnight"): 120_000})
    limits.may_refuse(queue, demand)   # True if the demand must start within 90 s
    """

    waits_ms: dict[QueueName, int] = {}

    def may_refuse(self, queue: Queue, demand: JobDemand) -> bool:
        """Returns whether a job that arrives now is expected to end when it is of no more use."""
        wait_ms = self.waits_ms.get(queue.name)
        return wait_ms is not None and is_beyond_use(wait_ms, demand.start_limit_ms(queue))


NO_LIMITS = AdmissionLimits()


def is_beyond_use(wait_ms: float, start_limit_ms: float) -> bool:
    """Returns whether a job that waits at least so long starts too late to be of use."""
    return WAIT_CONFIDENCE * wait_ms > start_limit_ms
