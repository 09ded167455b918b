"""Finds the cheapest work to stop so that a more urgent group gets room."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.placing import task_bound

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import RackName

RESTART_COST_MS = 300
"""What stopping work costs even if its checkpoint is kept, as time of the work: the stop, the
wait for room and the restore."""


class Room(NamedTuple):
    """Room that stopping ``victims`` makes, and what that throws away in millicore-ms."""

    cost: int
    workers: dict[int, FleetWorker]
    victims: frozenset[TaskGroup]


def loss_by_stopping(group: TaskGroup, now_ms: int) -> int:
    """What stopping a group throws away, in millicore-milliseconds."""
    lost_ms = RESTART_COST_MS
    if not group.request.saves_checkpoints:
        lost_ms += now_ms - min(each.started_ms for each in group.placements.values())
    return lost_ms * group.millicore_ms_per_ms


def find_room(group: TaskGroup, workers: list[FleetWorker], now_ms: int) -> Room | None:
    """Chooses workers for the group, counting in the room of less urgent work.

    Work that is being stopped already costs nothing and is waited for. A group that prefers one
    rack, or the rack of its data, is only given room there.
    """
    if group.request.data_rack:
        near = [worker for worker in workers if worker.listed.rack == group.request.data_rack]
        return _room_in(group, near, now_ms)
    racks: dict[RackName, list[FleetWorker]] = {}
    for worker in workers:
        racks.setdefault(worker.listed.rack, []).append(worker)
    rooms = [_room_in(group, rack, now_ms) for rack in racks.values()]
    found = min(
        (room for room in rooms if room is not None), key=lambda room: room.cost, default=None
    )
    if found is None and not group.request.prefers_one_rack:
        found = _room_in(group, workers, now_ms)
    return found


def _room_in(group: TaskGroup, workers: list[FleetWorker], now_ms: int) -> Room | None:
    cost = 0
    victims: set[TaskGroup] = set()
    chosen: dict[int, FleetWorker] = {}
    for index in group.indexes:
        options = [
            (added, worker.name, worker, extra)
            for worker in workers
            if (option := _make_room(group, worker, chosen, victims, now_ms)) is not None
            for added, extra in [option]
        ]
        if not options:
            return None
        added, _, worker, extra = min(options, key=lambda option: option[:2])
        cost += added
        victims |= extra
        chosen[index] = worker
    return Room(cost, chosen, frozenset(victims))


def _make_room(
    group: TaskGroup,
    worker: FleetWorker,
    chosen: dict[int, FleetWorker],
    victims: set[TaskGroup],
    now_ms: int,
) -> tuple[int, set[TaskGroup]] | None:
    """What one more task of the group on ``worker`` costs beyond what is decided already."""
    present = sum(1 for other in chosen.values() if other is worker)
    if group.request.tasks_per_worker and present >= task_bound(group, worker):
        return None
    wanted = group.counted_needs.times(present + 1)
    staying = worker.unknown_use
    for owner, amount in worker.reserved.items():
        if owner is not group:
            staying = staying + amount
    candidates = []
    for (other, _), placement in worker.placements.items():
        if placement.phase is Phase.STOPPING or other in victims:
            continue
        staying = staying + other.counted_needs
        if other.job.priority > group.job.priority and not other.request.runs_until_cancelled:
            candidates.append(other)
    capacity = worker.listed.capacity
    extra: set[TaskGroup] = set()
    cost = 0
    for other in sorted(set(candidates), key=lambda each: loss_by_stopping(each, now_ms)):
        if wanted.fits_in(capacity.minus(staying)):
            break
        extra.add(other)
        cost += loss_by_stopping(other, now_ms)
        freed = sum(1 for victim, _ in worker.placements if victim is other)
        staying = staying.minus(other.counted_needs.times(freed))
    return (cost, extra) if wanted.fits_in(capacity.minus(staying)) else None
