"""The scheduling policy of one availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.jobs.policy_memory import PolicyMemory
from jujubehall.core.jobs.policy_options import PolicyOptions
from jujubehall.core.jobs.scheduling_round import SchedulingRound

if TYPE_CHECKING:
    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.core.jobs.zone_view import ZoneView


class Policy:
    """Decides which jobs to place, preempt, move or refuse.

    It may learn from finished jobs, but all that it decides on is in the view, its own memory and
    the time passed in. A job that preempts others is placed in a later round, once the view shows
    their space as free; until then no other job gets that space.
    """

    def __init__(self, options: PolicyOptions | None = None) -> None:
        self._options = options or PolicyOptions()
        self._memory = PolicyMemory()

    def decide(self, view: ZoneView) -> list[Decision]:
        """Decides for one moment; called again whenever the view has changed.

        Raises ``InvariantViolation`` rather than return decisions that break a promise; its
        memory may be wrong then, and the caller starts over with a new policy.
        """
        return SchedulingRound(view, self._memory, self._options).run()

    def record_finished(self, record: JobRecord, run_time_ms: int) -> None:
        """Learns how long a job really ran; for jobs that succeeded."""
        self._memory.estimates.record(record.spec, run_time_ms)


def make_policy() -> Policy:
    """Makes the policy that the daemons use."""
    return Policy()
