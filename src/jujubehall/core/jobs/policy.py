"""The scheduling policy of one availability zone."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from jujubehall.core.jobs.policy_memory import PolicyMemory
from jujubehall.core.jobs.policy_options import PolicyOptions
from jujubehall.core.jobs.scheduling_round import SchedulingRound

if TYPE_CHECKING:
    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.core.jobs.zone_view import ZoneView
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import TeamName

IDLE_RECHECK_MS = 5_000
"""A view that led to no decisions is decided again after this time, or once it has changed."""


class Policy:
    """Decides which jobs to place, preempt, move or refuse.

    It may learn from finished jobs, but all that it decides on is in the view, its own memory and
    the time passed in. A job that preempts others is placed in a later round, once the view shows
    their space as free; until then no other job gets that space.
    """

    def __init__(self, options: PolicyOptions | None = None) -> None:
        self._options = options or PolicyOptions()
        self._memory = PolicyMemory()
        self._idle_view: ZoneView | None = None

    @property
    def guaranteed_jobs(self) -> frozenset[JobId]:
        """The jobs that were guaranteed work in the last round; all others are borrowed."""
        return frozenset(self._memory.guaranteed)

    @property
    def missing_blocks(self) -> dict[TeamName, int]:
        """How many of each team's unused guaranteed blocks had no place in the last round.

        Empty unless workers were lost or the older scheduler takes more than its share.
        """
        return dict(Counter(block.team for block in self._memory.floating if not block.chunks))

    def decide(self, view: ZoneView) -> list[Decision]:
        """Decides for one moment; called again whenever the view has changed.

        Raises ``InvariantViolation`` rather than return decisions that break a promise; its
        memory may be wrong then, and the caller starts over with a new policy.
        """
        if self._idle_view is not None and _is_unchanged(view, self._idle_view):
            return []
        decisions = SchedulingRound(view, self._memory, self._options).run()
        self._idle_view = None if decisions else view
        return decisions

    def record_finished(self, record: JobRecord, run_time_ms: int) -> None:
        """Learns how long a job really ran; for jobs that succeeded."""
        self._memory.estimates.record(record.spec, run_time_ms)


def make_policy() -> Policy:
    """Makes the policy that the daemons use."""
    return Policy()


def _is_unchanged(view: ZoneView, idle: ZoneView) -> bool:
    """Whether another round could decide nothing else; the work at stake in running jobs varies."""
    return (
        0 <= view.now_ms - idle.now_ms < IDLE_RECHECK_MS
        and view.workers == idle.workers
        and view.queued == idle.queued
        and view.teams == idle.teams
        and view.complete == idle.complete
        and view.fragmentation_weight == idle.fragmentation_weight
        and len(view.running) == len(idle.running)
        and all(a.record == b.record for a, b in zip(view.running, idle.running, strict=True))
    )
