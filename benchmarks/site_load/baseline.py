"""The baseline policy: first come, first fit, without priorities, preemption or rack choice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.placement import eligible_workers

if TYPE_CHECKING:
    from jujubehall.core.fleet.decisions import Decision
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.core.fleet.workers import FleetWorker


def decide_first_fit(fleet_state: FleetState, now_ms: int) -> list[Decision]:
    """Starts each waiting group, oldest first, on the first workers with room for all its tasks."""
    decisions: list[Decision] = []
    waiting = sorted(
        fleet_state.waiting_groups(now_ms),
        key=lambda group: (group.job.accepted_ms, group.job.id, group.key),
    )
    for group in waiting:
        chosen = _first_fit(group, eligible_workers(group, fleet_state.workers.values(), now_ms))
        if chosen is not None:
            fleet_state.record_start(group, chosen, now_ms)
            decisions.append(StartGroup(group, chosen, group.run))
    return decisions


def _first_fit(group: TaskGroup, workers: list[FleetWorker]) -> dict[int, FleetWorker] | None:
    unplaced = list(group.indexes)
    chosen: dict[int, FleetWorker] = {}
    for worker in workers:
        free_copies = group.occupied_resources.count_fitting(worker.free)
        for index in unplaced[:free_copies]:
            chosen[index] = worker
        unplaced = unplaced[free_copies:]
        if not unplaced:
            return chosen
    return None
