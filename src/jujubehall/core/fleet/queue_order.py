"""The order in which waiting groups are placed.

The load that this answers: bursts and losses of workers after which more work waits than can be
done in time. First come, first served then makes every job late, since each waits behind those that
are late already; and one team's burst of urgent jobs takes the accelerators that other teams are
guaranteed. What waits is therefore what costs callers least, for a limited time.
"""

from __future__ import annotations

import math

from enum import IntEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.delay_cost import Lateness
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.fleet.configuration import Team
    from jujubehall.core.fleet.delay_cost import DelayCost
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import TeamName

MAX_PASSED_MS = 30_000
"""Longest time for which work of the same or a lower priority may pass a group. Every accepted job
must end even if the overload lasts."""


class Standing(IntEnum):
    """Groups of the same priority are placed in this order."""

    GUARANTEED = 0
    """Urgent work within the accelerators that its team is guaranteed."""

    IN_TIME = 1
    LATE = 2
    """Work that is expected to miss the objective of its queue even if it starts now."""

    EXPIRED = 3
    """Work whose end is expected to be worth nothing to its caller any more."""


_STANDINGS = {
    Lateness.IN_TIME: Standing.IN_TIME,
    Lateness.LATE: Standing.LATE,
    Lateness.EXPIRED: Standing.EXPIRED,
}


class QueueKey(NamedTuple):
    """Sort key of a waiting group: first those to place first.

    Work of a lower priority passes work that has expired. Within a standing, the group goes first
    whose delay costs most for the work that it needs.
    """

    is_expired: bool
    priority: int
    standing: Standing
    negative_rate: float
    ready_since_ms: int
    job: str
    negative_accelerators: int
    """For guaranteed groups of one job, so that small tasks leave whole workers to large ones."""

    group: str


class QueueOrder:
    """Computes the standing of the groups of one scheduling round.

    ``workers`` and ``waiting`` are the workers of the site and its waiting groups.
    """

    def __init__(
        self,
        teams: Iterable[Team],
        workers: Iterable[FleetWorker],
        waiting: Iterable[TaskGroup],
        delay_cost: DelayCost,
        now_ms: int,
    ) -> None:
        self._now_ms = now_ms
        self._delay_cost = delay_cost
        self._left = {team.name: team.guaranteed_accelerators for team in teams}
        """Guaranteed accelerators that are neither in use nor counted for a waiting group yet."""

        self._borrowing: set[TaskGroup] = set()
        self._guaranteed: set[TaskGroup] = set()
        self._within: set[TaskGroup] = set()
        """Running groups within what their teams are guaranteed."""

        self._count_running(workers)
        self._count_waiting(waiting)

    def sort_key(self, group: TaskGroup) -> QueueKey:
        """Returns the key by which groups are sorted: first those to place first."""
        job = group.job
        standing = self.standing(group)
        rate = math.inf
        if standing is not Standing.GUARANTEED and not self._has_been_passed(group):
            rate = self._delay_cost.rate(group)
        return QueueKey(
            standing is Standing.EXPIRED,
            job.priority,
            standing,
            -rate,
            group.ready_since_ms or 0,
            job.id,
            -group.request.needs.accelerators if standing is Standing.GUARANTEED else 0,
            group.key,
        )

    def standing(self, group: TaskGroup) -> Standing:
        """Returns the standing of a waiting group."""
        if group in self._guaranteed:
            return Standing.GUARANTEED
        if self._has_been_passed(group):
            return Standing.IN_TIME
        return _STANDINGS[self._delay_cost.standing(group.job)]

    def must_start(self, group: TaskGroup) -> bool:
        """Returns whether the group has to start whatever that costs other callers.

        It is within what its team is guaranteed, or has waited for as long as others may pass it.
        """
        return group in self._guaranteed or self._has_been_passed(group)

    def is_guaranteed(self, group: TaskGroup) -> bool:
        """Returns whether a waiting group is within what its team is guaranteed."""
        return group in self._guaranteed

    def is_within_guarantee(self, group: TaskGroup) -> bool:
        """Returns whether a running or waiting group is within what its team is guaranteed."""
        return group in self._within or group in self._guaranteed

    def may_preempt(self, group: TaskGroup, other: TaskGroup) -> bool:
        """Returns whether ``group`` may stop ``other`` if that costs less than its own wait.

        That is work of a lower priority, and, for guaranteed work, urgent work that uses more than
        its team's share; never services.
        """
        if other.request.runs_until_cancelled:
            return False
        return other.job.priority > group.job.priority or (
            group in self._guaranteed and other in self._borrowing
        )

    def may_reclaim(self, group: TaskGroup, other: TaskGroup) -> bool:
        """Returns whether ``group`` is guaranteed and ``other`` runs outside of any guarantee.

        Then ``other`` may be stopped whatever that costs, also if it is a service.
        """
        return group in self._guaranteed and (
            other.job.priority != HIGHEST_PRIORITY or other in self._borrowing
        )

    def _count_running(self, workers: Iterable[FleetWorker]) -> None:
        running = {
            group
            for worker in workers
            for group, _ in worker.placements
            if group.job.priority == HIGHEST_PRIORITY and not group.is_stopping
        }
        for group in sorted(running, key=_by_start):
            (self._within if self._take(group) else self._borrowing).add(group)

    def _count_waiting(self, waiting: Iterable[TaskGroup]) -> None:
        urgent = (each for each in waiting if each.job.priority == HIGHEST_PRIORITY)
        for group in sorted(urgent, key=lambda each: (each.ready_since_ms or 0, each.job.id)):
            if self._take(group):
                self._guaranteed.add(group)

    def _take(self, group: TaskGroup) -> bool:
        team: TeamName = group.job.accepted.team
        required = group.request.needs.accelerators * len(group.indexes)
        left = self._left.get(team, 0)
        # What exceeds the guarantee takes nothing from it, so that smaller groups may still fit.
        if not required or required > left:
            return False
        self._left[team] = left - required
        return True

    def _has_been_passed(self, group: TaskGroup) -> bool:
        """Returns whether the group has waited for as long as others may pass it."""
        ready_since_ms = group.ready_since_ms
        return ready_since_ms is not None and self._now_ms - ready_since_ms >= MAX_PASSED_MS


def _by_start(group: TaskGroup) -> tuple[int, str, str]:
    started_ms = min(each.started_ms for each in group.placements.values())
    return (started_ms, group.job.id, group.key)
