"""Whether a worker may run the tasks of a group at all, whatever is free on it.

This is decided when a worker is chosen and asked again when the start is sent. Meanwhile a worker
may have begun to drain, come back as another kind, or been given other tasks of the step.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from jujubehall.core.fleet.task_limits import exceeds_task_limit

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker


class Unsuitability(Enum):
    """Why a worker may not run a task."""

    OTHER_POOL = "the worker is in another pool"
    MISSING_LABEL = "the worker doesn't have the required label"
    DRAINING = "the worker is draining"
    AWAITING_MAINTENANCE = "the worker is to be taken down for maintenance"
    TASK_LIMIT = "the worker has as many tasks of the step as it may have"
    LATENCY_CONFLICT = "fillers and tasks with a latency target may not share the worker"


def is_in_pool(group: TaskGroup, worker: FleetWorker) -> bool:
    """Returns whether the worker is in the pool of the group's queue and has the required label."""
    return _find_wrong_kind(group, worker) is None


def find_unsuitability(group: TaskGroup, worker: FleetWorker) -> Unsuitability | None:
    """Returns why no further task of the group may be placed on the worker; None if it may.

    The limit of the step's tasks isn't asked: it depends on how many tasks are to be placed, see
    ``remaining_task_limit``.
    """
    wrong_kind = _find_wrong_kind(group, worker)
    if wrong_kind is not None:
        return wrong_kind
    if worker.listed.is_draining:
        return Unsuitability.DRAINING
    if worker.is_awaiting_maintenance:
        return Unsuitability.AWAITING_MAINTENANCE
    return None


def find_start_obstacle(group: TaskGroup, worker: FleetWorker) -> Unsuitability | None:
    """Returns why the start of a task that is placed on the worker must not be sent, or None."""
    if exceeds_task_limit(group, worker):
        return Unsuitability.TASK_LIMIT
    if has_latency_conflict(group, worker):
        return Unsuitability.LATENCY_CONFLICT
    return find_unsuitability(group, worker)


def conflicts_in_latency(group: TaskGroup, other: TaskGroup) -> bool:
    """Returns whether one is a filler and the other has a latency target."""
    return bool(
        (group.request.is_filler and other.request.target_latency_ms)
        or (group.request.target_latency_ms and other.request.is_filler)
    )


def has_latency_conflict(group: TaskGroup, worker: FleetWorker) -> bool:
    """Returns whether a filler and a task with a latency target would share the worker.

    A task for which capacity is reserved counts like one that is placed.
    """
    if not (group.request.is_filler or group.request.target_latency_ms):
        return False
    return has_reserved_conflict(group, worker) or any(
        conflicts_in_latency(group, other) for other, _ in worker.placements if other is not group
    )


def has_reserved_conflict(group: TaskGroup, worker: FleetWorker) -> bool:
    """Returns whether capacity is reserved for a group that may not share the worker."""
    return any(
        conflicts_in_latency(group, other)
        for other in worker.reserving_groups
        if other is not group
    )


def _find_wrong_kind(group: TaskGroup, worker: FleetWorker) -> Unsuitability | None:
    queue = group.job.queue
    if queue is None or worker.listed.pool != queue.pool:
        return Unsuitability.OTHER_POOL
    label = group.request.required_label
    if label and label not in worker.listed.labels:
        return Unsuitability.MISSING_LABEL
    return None
