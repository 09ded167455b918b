"""The scheduling policy of one availability zone."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from jujubehall.core.jobs.policy_options import PolicyOptions
from jujubehall.core.jobs.policy_state import PolicyState
from jujubehall.core.jobs.scheduling_round import SchedulingRound

if TYPE_CHECKING:
    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.core.jobs.zone_view import ZoneView
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import TeamName

IDLE_RECHECK_MS = 5_000
"""After a round without decisions, an unchanged view is not evaluated again for this time."""


class Policy:
    """Decides which jobs to place, preempt, move or reject.

    Decisions depend only on the view, including its time, and on the policy's own state, which
    includes run times of finished jobs. A job that preempts others is placed in a later round, once
    the view shows their capacity as free; until then that capacity is held for it.
    """

    def __init__(self, options: PolicyOptions | None = None) -> None:
        self._options = options or PolicyOptions()
        self._policy_state = PolicyState()
        self._idle_view: ZoneView | None = None

    @property
    def guaranteed_jobs(self) -> frozenset[JobId]:
        """The jobs that were guaranteed work in the last round; all others are borrowed work."""
        return frozenset(self._policy_state.guaranteed_at_ms)

    @property
    def unplaced_blocks(self) -> dict[TeamName, int]:
        """The number of each team's unallocated blocks without a location in the last round.

        Empty unless workers were lost or the older scheduler uses more than its share.
        """
        return dict(
            Counter(block.team for block in self._policy_state.unallocated if not block.chunks)
        )

    def decide(self, view: ZoneView) -> list[Decision]:
        """Runs one scheduling round; should be called again whenever the view has changed.

        Raises ``InvariantViolation`` if the decisions would violate an invariant. The policy's
        state may then be inconsistent, so the caller must replace the policy by a new one.
        """
        if self._idle_view is not None and _is_unchanged(view, self._idle_view):
            return []
        decisions = SchedulingRound(view, self._policy_state, self._options).run()
        self._idle_view = None if decisions else view
        return decisions

    def record_finished(self, record: JobRecord, run_time_ms: int) -> None:
        """Records the actual run time of a job that succeeded, for later estimates."""
        self._policy_state.estimates.record(record.spec, run_time_ms)


def make_policy() -> Policy:
    """Creates the policy that the daemons use."""
    return Policy()


def _is_unchanged(view: ZoneView, idle: ZoneView) -> bool:
    """Whether another round would come to the same result as for the idle view.

    For running jobs, only the records are compared, since the work that a stop would lose changes
    all the time.
    """
    return (
        0 <= view.now_ms - idle.now_ms < IDLE_RECHECK_MS
        and view.workers == idle.workers
        and view.queued == idle.queued
        and view.teams == idle.teams
        and view.all_workers_known == idle.all_workers_known
        and view.fragmentation_weight == idle.fragmentation_weight
        and len(view.running) == len(idle.running)
        and all(a.record == b.record for a, b in zip(view.running, idle.running, strict=True))
    )
