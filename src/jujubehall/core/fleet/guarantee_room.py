"""Room that services leave to guarantees, because they may not be stopped in time.

A service with a limit of unavailable tasks can only give way with some tasks at a time, and with the
next ones when these are at work elsewhere. The load that this answers: services that fill an idle
site, restart after faults, or move, and a team that then asks for what it is guaranteed. What may
not be stopped in time is therefore only placed where it takes no room from the guarantees.

The room is counted for tasks as large as a worker, since the shape of what a team will ask for isn't
known: whole workers, and one with the remainder. See docs/design/guarantees.md.
"""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.disruption import is_limited_service
from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY
from jujubehall.core.fleet.resources import NO_RESOURCES

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from jujubehall.core.fleet.groups import StepKey
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.queue_order import QueueOrder
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import PoolName
    from jujubehall.identifiers import TeamName


class _Room(NamedTuple):
    """How much of the guarantees there is room for, in accelerators."""

    as_blocks: int
    """In whole workers and remainders."""

    in_all: int

    def is_less_than(self, other: _Room) -> bool:
        return self.as_blocks < other.as_blocks or self.in_all < other.in_all


class GuaranteeRoom:
    """Decides during one round on which workers tasks of limited services may be placed."""

    def __init__(self, fleet_state: FleetState, order: QueueOrder) -> None:
        self._fleet_state = fleet_state
        self._order = order
        self._has_guarantees = any(
            each.guaranteed_accelerators for each in fleet_state.configuration.teams
        )
        self._pools: dict[PoolName, _PoolRoom] = {}

    def applies_to(self, group: TaskGroup) -> bool:
        """Returns whether the group may not be stopped in time and isn't within a guarantee."""
        return (
            self._has_guarantees
            and is_limited_service(group)
            and not self._order.is_within_guarantee(group)
        )

    def leaving_room(self, group: TaskGroup, workers: list[FleetWorker]) -> list[FleetWorker]:
        """Returns the workers on which a task of the group takes no room from guarantees."""
        if not workers or not self._must_leave_room(group):
            return workers
        pool = self._pool(workers[0].listed.pool)
        return [each for each in workers if pool.takes_no_room(group, [each])]

    def leaves_room(self, group: TaskGroup, chosen: Iterable[FleetWorker]) -> bool:
        """Returns whether all tasks of the group together take no room on the chosen workers."""
        chosen = list(chosen)
        return not self._must_leave_room(group) or self._pool(chosen[0].listed.pool).takes_no_room(
            group, chosen
        )

    def note_placed(self, group: TaskGroup, chosen: Iterable[FleetWorker]) -> None:
        """Updates the room after workers were chosen for the tasks of a group."""
        chosen = list(chosen)
        if not is_limited_service(group) or chosen[0].listed.pool not in self._pools:
            return
        if self._order.is_within_guarantee(group):
            # What its team may still ask for has changed as well.
            self._pools.clear()
        else:
            self._pool(chosen[0].listed.pool).add(group, chosen)

    def _must_leave_room(self, group: TaskGroup) -> bool:
        return self.applies_to(group) and not _may_be_stopped_itself(group)

    def _pool(self, name: PoolName) -> _PoolRoom:
        if name not in self._pools:
            self._pools[name] = self._compute_pool(name)
        return self._pools[name]

    def _compute_pool(self, name: PoolName) -> _PoolRoom:
        workers = [each for each in self._fleet_state.workers.values() if each.listed.pool == name]
        return _PoolRoom(workers, self._guarantees_in(name, workers), self._order)

    def _guarantees_in(self, name: PoolName, workers: list[FleetWorker]) -> list[int]:
        """Returns the accelerators for which each team may still ask in a pool.

        Where urgent queues use several pools, each holds its share by its size.
        """
        configuration = self._fleet_state.configuration
        urgent_pools = {
            queue.pool for queue in configuration.queues if queue.priority == HIGHEST_PRIORITY
        }
        size = sum(each.listed.capacity.accelerators for each in workers)
        total = sum(
            each.listed.capacity.accelerators
            for each in self._fleet_state.workers.values()
            if each.listed.pool in urgent_pools
        )
        if name not in urgent_pools or not total:
            return []
        used: Counter[TeamName] = Counter()
        for worker in workers:
            for group, _ in _held_tasks(worker):
                if self._order.is_within_guarantee(group):
                    used[group.job.accepted.team] += group.request.needs.accelerators
        return [
            max(0, -(-team.guaranteed_accelerators * size // total) - used[team.name])
            for team in configuration.teams
        ]


class _PoolRoom:
    """The room in one pool of workers."""

    def __init__(
        self, workers: list[FleetWorker], guarantees: list[int], order: QueueOrder
    ) -> None:
        self._order = order
        largest = max((each.listed.capacity.accelerators for each in workers), default=0)
        self._blocks = _to_blocks(guarantees, largest) if largest else []
        self._held: dict[FleetWorker, Resources] = {}
        """What tasks that may not be stopped in time occupy on each usable worker."""

        self._left_beside_more: dict[FleetWorker, dict[Resources, int]] = {}
        """The accelerators left on a worker if so much more is held there."""

        self._verdicts: dict[tuple[int, ...], bool] = {}
        for worker in workers:
            if _is_usable(worker):
                self._held[worker] = NO_RESOURCES
                for group, count in _held_tasks(worker):
                    self._held[worker] += group.occupied_resources.times(count)
        self._open = {each: _open_accelerators(each, held) for each, held in self._held.items()}
        for group in self._choose_stoppable(workers):
            for placement in group.placements.values():
                if placement.worker in self._held:
                    held = self._held[placement.worker].minus(group.occupied_resources)
                    self._set_held(placement.worker, held)
        self._room = self._measure(sorted(self._open.values()))

    def takes_no_room(self, group: TaskGroup, chosen: list[FleetWorker]) -> bool:
        """Returns whether there is as much room if a task of the group is added to each worker."""
        counts = Counter(chosen)
        before = [self._open.get(each, 0) for each in counts]
        after = [
            self._left_beside(group.occupied_resources.times(count), each)
            for each, count in counts.items()
        ]
        if before == after:
            return True
        key = (*before, *after)
        if key not in self._verdicts:
            opened = sorted(self._open.values())
            for accelerators in before:
                opened.remove(accelerators)
            self._verdicts[key] = not self._measure(sorted(opened + after)).is_less_than(self._room)
        return self._verdicts[key]

    def add(self, group: TaskGroup, chosen: list[FleetWorker]) -> None:
        """Adds the tasks of a group to the workers that were chosen for them."""
        if _may_be_stopped_itself(group):
            return
        for worker in chosen:
            self._set_held(worker, self._held_on(worker) + group.occupied_resources)
        self._room = self._measure(sorted(self._open.values()))
        self._verdicts.clear()

    def _set_held(self, worker: FleetWorker, held: Resources) -> None:
        self._held[worker] = held
        self._open[worker] = _open_accelerators(worker, held)
        self._left_beside_more.pop(worker, None)

    def _held_on(self, worker: FleetWorker) -> Resources:
        return self._held.get(worker, NO_RESOURCES)

    def _left_beside(self, needs: Resources, worker: FleetWorker) -> int:
        left = self._left_beside_more.setdefault(worker, {})
        if needs not in left:
            left[needs] = _open_accelerators(worker, self._held_on(worker) + needs)
        return left[needs]

    def _measure(self, opened: list[int]) -> _Room:
        """Returns the room on workers with so many accelerators left, in ascending order."""
        in_all = min(sum(opened), sum(self._blocks))
        as_blocks = 0
        for block in self._blocks:
            index = bisect_left(opened, block)
            if index < len(opened):
                as_blocks += block
                insort(opened, opened.pop(index) - block)
        return _Room(as_blocks, in_all)

    def _choose_stoppable(self, workers: list[FleetWorker]) -> Iterator[TaskGroup]:
        """Yields the tasks that may be stopped in time, those first that leave most room.

        Each must be applied before the next one is chosen.
        """
        steps: dict[StepKey, set[TaskGroup]] = {}
        for worker in workers:
            for group, _ in _held_tasks(worker):
                if group.placements and not self._order.is_within_guarantee(group):
                    steps.setdefault(group.step_key, set()).add(group)
        for groups in steps.values():
            first = next(iter(groups))
            left = _count_stoppable(first, _count_unplaced(first))
            while left > 0 and groups:
                group = max(groups, key=lambda each: (self._gain(each), each.key))
                groups.remove(group)
                if len(group.indexes) <= left:
                    left -= len(group.indexes)
                    yield group

    def _gain(self, group: TaskGroup) -> int:
        """Returns how many accelerators more are left if the group is stopped."""
        return sum(
            _open_accelerators(worker, self._held[worker].minus(group.occupied_resources))
            - self._open[worker]
            for placement in group.placements.values()
            if (worker := placement.worker) in self._held
        )


def _is_usable(worker: FleetWorker) -> bool:
    """Returns whether guaranteed work may be started on the worker, apart from short delays."""
    return (
        worker.is_listed
        and worker.is_registered
        and worker.is_reachable
        and not worker.listed.is_draining
        and not worker.is_awaiting_maintenance
        and not worker.is_zone_evacuated
    )


def _held_tasks(worker: FleetWorker) -> Iterator[tuple[TaskGroup, int]]:
    """Yields the groups of limited services on the worker, with the number of their tasks.

    Those for which capacity is reserved count, and those that are being stopped don't.
    """
    for (group, _), placement in worker.placements.items():
        if is_limited_service(group) and placement.phase is not Phase.STOPPING:
            yield group, 1
    for group in worker.reserving_groups:
        if is_limited_service(group):
            yield group, group.count_reserved_on(worker)


def _may_be_stopped_itself(group: TaskGroup) -> bool:
    """Returns whether more of its step may be stopped, by as many tasks as it has, once they work."""
    unplaced = _count_unplaced(group, but=group)
    tasks = len(group.indexes)
    gained = _count_stoppable(group, unplaced) - _count_stoppable(group, unplaced + tasks)
    return gained >= tasks


def _count_unplaced(group: TaskGroup, but: TaskGroup | None = None) -> int:
    """Returns how many tasks of the group's step have neither been placed nor a reservation."""
    return sum(
        len(each.indexes)
        for each in group.job.groups[group.occurrence, group.step]
        if each is not but and (each.is_stopping or not (each.placements or each.reserved_workers))
    )


def _count_stoppable(group: TaskGroup, unplaced: int) -> int:
    """Returns how many tasks of the step may be stopped together if all placed ones are at work."""
    return max(0, group.request.max_unavailable - unplaced)


def _open_accelerators(worker: FleetWorker, held: Resources) -> int:
    """Returns the accelerators that are left beside ``held``, with their share of the rest."""
    capacity = worker.listed.capacity
    left = capacity.minus(held)
    shares = [
        available / whole
        for available, whole in (
            (left.millicores, capacity.millicores),
            (left.memory_mb, capacity.memory_mb),
        )
        if whole
    ]
    return min(left.accelerators, round(capacity.accelerators * min(shares, default=1.0)))


def _to_blocks(guarantees: list[int], largest: int) -> list[int]:
    """Returns guarantees as whole workers of the largest size and remainders, largest first."""
    blocks = []
    for guaranteed in guarantees:
        blocks += [largest] * (guaranteed // largest)
        if guaranteed % largest:
            blocks.append(guaranteed % largest)
    return sorted(blocks, reverse=True)
