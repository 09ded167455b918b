"""Finds the cheapest work to stop so that a more urgent group gets room."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.placing import task_bound

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.resources import Resources
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


class _Occupant(NamedTuple):
    """All tasks of one group on one worker that are not being stopped."""

    loss: int
    group: TaskGroup
    needs: Resources


class _Option(NamedTuple):
    """What one more task on a worker costs beyond what is decided already."""

    cost: int
    worker: FleetWorker
    victims: frozenset[TaskGroup]


def loss_by_stopping(group: TaskGroup, now_ms: int) -> int:
    """What stopping a group throws away, in millicore-milliseconds."""
    lost_ms = RESTART_COST_MS
    if not group.request.saves_checkpoints:
        lost_ms += now_ms - min(each.started_ms for each in group.placements.values())
    return lost_ms * group.millicore_ms_per_ms


class RoomFinder:
    """Finds room for the urgent groups of one round.

    What occupies a worker is worked out once a round and again after a change there, since each
    urgent group of a burst asks about all workers.
    """

    def __init__(self, now_ms: int) -> None:
        self._now_ms = now_ms
        self._occupants: dict[FleetWorker, list[_Occupant]] = {}

    def forget(self, group: TaskGroup) -> None:
        """Notes that the group's tasks have been placed or are being stopped."""
        for placement in group.placements.values():
            self._occupants.pop(placement.worker, None)

    def find(self, group: TaskGroup, workers: list[FleetWorker]) -> Room | None:
        """Chooses workers for the group, counting in the room of less urgent work.

        Work that is being stopped already costs nothing and is waited for. A group that prefers
        one rack, or the rack of its data, is only given room there.
        """
        if group.request.data_rack:
            near = [worker for worker in workers if worker.listed.rack == group.request.data_rack]
            return self._find_in(group, near)
        racks: dict[RackName, list[FleetWorker]] = {}
        for worker in workers:
            racks.setdefault(worker.listed.rack, []).append(worker)
        rooms = [self._find_in(group, rack) for rack in racks.values()]
        found = min(
            (room for room in rooms if room is not None), key=lambda room: room.cost, default=None
        )
        if found is None and not group.request.prefers_one_rack:
            found = self._find_in(group, workers)
        return found

    def _find_in(self, group: TaskGroup, workers: list[FleetWorker]) -> Room | None:
        cost = 0
        victims: set[TaskGroup] = set()
        chosen: dict[int, FleetWorker] = {}
        counts: dict[FleetWorker, int] = {}
        options: dict[FleetWorker, _Option] = {}
        stale = set(workers)
        for index in group.indexes:
            for worker in stale:
                option = self._option(group, worker, counts.get(worker, 0), victims)
                if option is None:
                    options.pop(worker, None)
                else:
                    options[worker] = option
            if not options:
                return None
            best = min(options.values(), key=lambda option: (option.cost, option.worker.name))
            cost += best.cost
            victims |= best.victims
            chosen[index] = best.worker
            counts[best.worker] = counts.get(best.worker, 0) + 1
            stale = {best.worker}
            for victim in best.victims:
                # A gang that is stopped makes room on all its workers.
                stale.update(each.worker for each in victim.placements.values())
            stale &= set(workers)
        return Room(cost, chosen, frozenset(victims))

    def _option(
        self,
        group: TaskGroup,
        worker: FleetWorker,
        present: int,
        victims: set[TaskGroup],
    ) -> _Option | None:
        if group.request.tasks_per_worker and present >= task_bound(group, worker):
            return None
        wanted = group.counted_needs.times(present + 1)
        if not wanted.fits_in(worker.listed.capacity):
            return None
        staying = worker.unknown_use + worker.reserved_for_others(group)
        candidates = []
        is_free = wanted.fits_in(worker.free_for(group))
        for occupant in () if is_free else self._occupants_of(worker):
            if occupant.group in victims:
                continue
            staying = staying + occupant.needs
            other = occupant.group
            if other.job.priority > group.job.priority and not other.request.runs_until_cancelled:
                candidates.append(occupant)
        capacity = worker.listed.capacity
        extra = []
        cost = 0
        for occupant in candidates:
            if wanted.fits_in(capacity.minus(staying)):
                break
            extra.append(occupant.group)
            cost += occupant.loss
            staying = staying.minus(occupant.needs)
        if not wanted.fits_in(capacity.minus(staying)):
            return None
        return _Option(cost, worker, frozenset(extra))

    def _occupants_of(self, worker: FleetWorker) -> list[_Occupant]:
        """What is on a worker and isn't being stopped, the cheapest to stop first."""
        known = self._occupants.get(worker)
        if known is None:
            known = self._occupants[worker] = self._list_occupants(worker)
        return known

    def _list_occupants(self, worker: FleetWorker) -> list[_Occupant]:
        placements: dict[TaskGroup, list[Placement]] = {}
        for (group, _), placement in worker.placements.items():
            if placement.phase is not Phase.STOPPING:
                placements.setdefault(group, []).append(placement)
        occupants = [
            _Occupant(
                loss_by_stopping(group, self._now_ms),
                group,
                group.counted_needs.times(len(present)),
            )
            for group, present in placements.items()
        ]
        return sorted(occupants, key=lambda each: (each.loss, each.group.job.id, each.group.key))
