"""How many tasks of a step may be on one worker.

The load that this answers: bursts of urgent tasks on a full site. Several tasks of a step then choose
workers in one round and start later, when capacity has become free. A task therefore counts from the
moment a worker is chosen for it until its end is confirmed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker


def remaining_task_limit(group: TaskGroup, worker: FleetWorker) -> int:
    """Returns how many more tasks of the group's step may be placed on the worker.

    The group's own reservation isn't counted, since its tasks are the ones to be placed.
    """
    limit = group.request.tasks_per_worker
    if not limit:
        return len(group.indexes)
    reserved = sum(
        other.count_reserved_on(worker)
        for other in worker.reserving_groups
        if other is not group and other.step_key == group.step_key
    )
    return max(0, limit - _count_present(group, worker) - reserved)


def exceeds_task_limit(group: TaskGroup, worker: FleetWorker) -> bool:
    """Returns whether more tasks of the group's step are placed on the worker than may be."""
    limit = group.request.tasks_per_worker
    return bool(limit) and _count_present(group, worker) > limit


def _count_present(group: TaskGroup, worker: FleetWorker) -> int:
    """Counts the step's runs that are, or may be, on the worker, including those being stopped."""
    step_key = group.step_key
    placed = sum(other.step_key == step_key for other, _ in worker.placements)
    return placed + worker.untracked_tasks[step_key]
