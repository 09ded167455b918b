"""A cache of the workers on which the groups of one scheduling round may run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.best_fit import BestFitHeap
from jujubehall.core.fleet.expected_end import ANY_SPEED
from jujubehall.core.fleet.expected_end import speed_preference
from jujubehall.core.fleet.placement import can_be_local
from jujubehall.core.fleet.placement import eligible_workers
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.fleet.expected_end import SpeedPreference
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.core.fleet.workers import FleetWorker

EligibilityKey = tuple[object, ...]

PROVEN_WORKER_WAIT_MS = 800
"""How long a group whose job fails with its next failure waits for workers that have proved
themselves."""


class WorkerCandidates:
    """Caches the candidate workers by eligibility key, which most groups share.

    Within a round only the free capacity of workers changes; ``refresh`` must be called then.
    """

    def __init__(self, fleet_state: FleetState, now_ms: int) -> None:
        self._fleet_state = fleet_state
        self._now_ms = now_ms
        self._eligible: dict[EligibilityKey, list[FleetWorker]] = {}
        self._healthy: dict[EligibilityKey, list[FleetWorker]] = {}
        self._warm: dict[EligibilityKey, list[FleetWorker]] = {}
        self._free_accelerators: dict[EligibilityKey, int] = {}
        self._best_fits: dict[EligibilityKey, BestFitHeap] = {}
        self._preferences: dict[tuple[FleetJob, int, int], SpeedPreference] = {}
        self._can_be_local: dict[tuple[FleetJob, int, int], bool] = {}

    def eligible(self, group: TaskGroup, allow_conflicts: bool = False) -> list[FleetWorker]:
        """Returns the workers that may run the group and accept new tasks.

        With ``allow_conflicts``, also those on which other work would first have to be stopped that
        may not share a worker with the group.
        """
        key = _eligibility_key(group)
        if key is None:
            return eligible_workers(
                group, self._fleet_state.workers.values(), self._now_ms, allow_conflicts
            )
        if key not in self._eligible:
            self._eligible[key] = eligible_workers(
                group, self._fleet_state.workers.values(), self._now_ms
            )
        return self._eligible[key]

    def healthy(self, group: TaskGroup, allow_conflicts: bool = False) -> list[FleetWorker]:
        """Returns the healthy eligible workers that the group doesn't avoid.

        At its last attempt, these are at first only workers that have proved themselves.
        """
        if allow_conflicts and _eligibility_key(group) is None:
            eligible = self.eligible(group, allow_conflicts)
            healthy = [each for each in eligible if not each.is_degraded(self._now_ms)]
            return self._suitable(group, healthy)
        return self._suitable(group, self._healthy_for_all_groups(group))

    def preferred(self, group: TaskGroup) -> list[FleetWorker]:
        """Returns the healthy workers, without cold ones for urgent groups and gangs."""
        return self._suitable(group, self._preferred_for_all_groups(group))

    def can_be_local(self, group: TaskGroup) -> bool:
        """Returns whether one rack, that of its data if it has any, would hold the whole group."""
        key = (group.job, group.occurrence, group.step)
        if key not in self._can_be_local:
            self._can_be_local[key] = can_be_local(group, self._fleet_state.workers.values())
        return self._can_be_local[key]

    def free_accelerators(self, group: TaskGroup) -> int:
        """Returns the total number of free accelerators on the group's healthy workers."""
        key = _eligibility_key(group)
        if key is None or group.avoided_workers or needs_proven_workers(group, self._now_ms):
            return sum(worker.free.accelerators for worker in self.healthy(group))
        if key not in self._free_accelerators:
            self._free_accelerators[key] = sum(
                worker.free.accelerators for worker in self.healthy(group)
            )
        return self._free_accelerators[key]

    def best_fit(self, group: TaskGroup, include_cold: bool) -> BestFitHeap | None:
        """Returns the heap for placing single tasks on preferred or on all healthy workers.

        Returns None if the group's eligible workers can't be cached.
        """
        key = _eligibility_key(group)
        if key is None:
            return None
        preference = self._preference(group)
        include_cold = include_cold or not _avoids_cold_workers(group)
        key = (*key, preference, include_cold)
        if key not in self._best_fits:
            needs = group.occupied_resources
            workers = (
                self._healthy_for_all_groups(group)
                if include_cold
                else self._preferred_for_all_groups(group)
            )
            self._best_fits[key] = BestFitHeap(needs, workers, self._now_ms, preference)
        return self._best_fits[key]

    def clear(self) -> None:
        """Discards the cached data after workers have become ineligible within the round."""
        self._eligible.clear()
        self._healthy.clear()
        self._warm.clear()
        self._free_accelerators.clear()
        self._best_fits.clear()

    def refresh(self, workers: Iterable[FleetWorker]) -> None:
        """Updates the cached data after the free capacity of ``workers`` has changed."""
        self._free_accelerators.clear()
        for worker in set(workers):
            for best_fit in self._best_fits.values():
                best_fit.refresh(worker)

    def _preference(self, group: TaskGroup) -> SpeedPreference:
        """Returns the speed preference of the group, which all groups of its step share."""
        if not self._fleet_state.speeds.has_classes:
            return ANY_SPEED
        key = (group.job, group.occurrence, group.step)
        if key not in self._preferences:
            self._preferences[key] = speed_preference(group, self._now_ms)
        return self._preferences[key]

    def _healthy_for_all_groups(self, group: TaskGroup) -> list[FleetWorker]:
        key = _eligibility_key(group)
        if key is not None and key in self._healthy:
            return self._healthy[key]
        healthy = [each for each in self.eligible(group) if not each.is_degraded(self._now_ms)]
        if key is not None:
            self._healthy[key] = healthy
        return healthy

    def _suitable(self, group: TaskGroup, workers: list[FleetWorker]) -> list[FleetWorker]:
        if needs_proven_workers(group, self._now_ms):
            workers = [each for each in workers if each.failure_history.is_proven(self._now_ms)]
        if group.avoided_workers:
            workers = [each for each in workers if each.name not in group.avoided_workers]
        return workers

    def _preferred_for_all_groups(self, group: TaskGroup) -> list[FleetWorker]:
        healthy = self._healthy_for_all_groups(group)
        if not _avoids_cold_workers(group):
            return healthy
        key = _eligibility_key(group)
        if key is not None and key in self._warm:
            return self._warm[key]
        warm = [each for each in healthy if not each.is_cold(self._now_ms)]
        if key is not None:
            self._warm[key] = warm
        return warm


def _avoids_cold_workers(group: TaskGroup) -> bool:
    """Returns whether the group has no time for a slow start of a worker.

    A gang is as slow as the slowest of its members.
    """
    return group.job.priority == HIGHEST_PRIORITY or group.request.is_gang


def needs_proven_workers(group: TaskGroup, now_ms: int) -> bool:
    """Returns whether the group is only placed on workers that have proved themselves.

    Workers that have begun to fail whatever they start would otherwise use up its attempts.
    """
    return group.is_at_last_attempt and now_ms - group.not_before_ms < PROVEN_WORKER_WAIT_MS


def _eligibility_key(group: TaskGroup) -> EligibilityKey | None:
    """Returns the cache key for the eligible workers of a group.

    Returns None if they may change within the round.
    """
    request = group.request
    queue = group.job.queue
    if request.is_filler or request.target_latency_ms:
        # Tasks started in this round may make a worker ineligible for later ones.
        return None
    key: EligibilityKey = (
        queue.pool if queue is not None else None,
        request.required_label,
        request.needs,
    )
    if queue is not None and queue.asks_for_advice:
        key += (group.job.id, group.occurrence, group.step)
    return key
