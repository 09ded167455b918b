"""Finds the cheapest work to stop so that a more urgent group gets room."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.placing import task_bound

if TYPE_CHECKING:
    from jujubehall.core.fleet.decisions import StopReason
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import RackName

RESTART_COST_MS = 300
"""What stopping work costs even if its checkpoint is kept, as time of the work: the stop, the
wait for room and the restore."""

SLACK_SHARE = 0.5
"""The share of the time to spare before its objective that a group waits for work to end by
itself; with more, ``benchmarks.site_load`` shows urgent jobs late."""

WAIT_WEIGHT = 2
"""What a group would do while it waits counts this many times as much as what is thrown away: a
late job is worse than repeated work."""

LONGEST_PATIENCE_MS = 1_200
"""After that there must be time for a stop (400 ms) within the 2.9 s in which the sites want
guaranteed work to begin, even if the room was not free when it was expected."""

END_MARGIN_MS = 150
"""Work that is expected to end by itself is given this much longer: a report of its end takes a few
milliseconds, and progress is reported in percents."""


MILLICORE_MS_PER_CORE_S = 1_000_000


class Room(NamedTuple):
    """Room that stopping ``victims`` makes, and what that throws away in millicore-ms."""

    cost: int
    workers: dict[int, FleetWorker]
    victims: frozenset[TaskGroup]
    wait_ms: float
    """Until work ends that is only waited for; 0 if there is none."""


class _Occupant(NamedTuple):
    """All tasks of one group on one worker that are not being stopped."""

    loss: int
    group: TaskGroup
    needs: Resources
    remaining_ms: float | None
    """Until the last of them ends by itself; None if that can't be told."""


class _Option(NamedTuple):
    """What one more task on a worker costs beyond what is decided already."""

    cost: int
    worker: FleetWorker
    victims: frozenset[TaskGroup]
    wait_ms: float


def loss_by_stopping(group: TaskGroup, now_ms: int) -> int:
    """What stopping a group throws away, in millicore-milliseconds."""
    lost_ms = RESTART_COST_MS
    if not group.request.saves_checkpoints:
        lost_ms += now_ms - min(each.started_ms for each in group.placements.values())
    return lost_ms * group.millicore_ms_per_ms


def stop_decision(
    group: TaskGroup, reason: StopReason, now_ms: int, by: JobId | None = None
) -> StopGroup:
    """The decision to stop a group, with what that throws away."""
    lost_core_s = loss_by_stopping(group, now_ms) // MILLICORE_MS_PER_CORE_S
    return StopGroup(group, reason, by, lost_core_s)


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

        Work that is being stopped already, or ends soon by itself, costs nothing and is waited
        for: on days with bursts of urgent work, work that has nearly ended is not thrown away. A
        group that prefers one rack, or the rack of its data, is only given room there.
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
        """The cheaper of stopping at once and of waiting for what ends soon."""
        at_once = self._choose(group, workers, 0.0)
        patience_ms = _patience_ms(group, self._now_ms)
        if patience_ms <= 0 or (at_once is not None and not at_once.cost):
            return at_once
        later = self._choose(group, workers, patience_ms)
        if at_once is None or (later is not None and later.cost < at_once.cost):
            return later
        return at_once

    def _choose(
        self, group: TaskGroup, workers: list[FleetWorker], patience_ms: float
    ) -> Room | None:
        cost = 0
        wait_ms = 0.0
        victims: set[TaskGroup] = set()
        chosen: dict[int, FleetWorker] = {}
        counts: dict[FleetWorker, int] = {}
        options: dict[FleetWorker, _Option] = {}
        stale = set(workers)
        for index in group.indexes:
            for worker in stale:
                option = self._option(group, worker, counts.get(worker, 0), victims, patience_ms)
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
            wait_ms = max(wait_ms, best.wait_ms)
            counts[best.worker] = counts.get(best.worker, 0) + 1
            stale = {best.worker}
            for victim in best.victims:
                # A gang that is stopped makes room on all its workers.
                stale.update(each.worker for each in victim.placements.values())
            stale &= set(workers)
        cost += round(wait_ms * WAIT_WEIGHT * group.millicore_ms_per_ms)
        return Room(cost, chosen, frozenset(victims), wait_ms)

    def _option(
        self,
        group: TaskGroup,
        worker: FleetWorker,
        present: int,
        victims: set[TaskGroup],
        patience_ms: float,
    ) -> _Option | None:
        if group.request.tasks_per_worker and present >= task_bound(group, worker):
            return None
        wanted = group.counted_needs.times(present + 1)
        if not wanted.fits_in(worker.listed.capacity):
            return None
        staying = worker.unknown_use + worker.reserved_for_others(group)
        candidates = []
        wait_ms = 0.0
        is_free = wanted.fits_in(worker.free_for(group))
        for occupant in () if is_free else self._occupants_of(worker):
            if occupant.group in victims:
                continue
            if _ends_within(occupant, patience_ms):
                wait_ms = max(wait_ms, occupant.remaining_ms or 0.0)
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
        return _Option(cost, worker, frozenset(extra), wait_ms)

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
                _remaining_ms(present, self._now_ms),
            )
            for group, present in placements.items()
        ]
        return sorted(occupants, key=lambda each: (each.loss, each.group.job.id, each.group.key))


def _patience_ms(group: TaskGroup, now_ms: int) -> float:
    """How long the group may wait for work that ends by itself."""
    queue = group.job.queue
    if queue is None or group.ready_since_ms is None:
        return 0.0
    waited_ms = now_ms - group.ready_since_ms
    slack_ms = queue.objective_ms + (queue.stretch - 1) * group.request.expected_ms
    return min(SLACK_SHARE * (slack_ms - waited_ms), LONGEST_PATIENCE_MS - waited_ms)


def _remaining_ms(placements: list[Placement], now_ms: int) -> float | None:
    """Until all of them should have ended by themselves; None if that can't be told, or is over."""
    longest_ms = 0.0
    for placement in placements:
        remaining_ms = placement.progress.remaining_ms(now_ms)
        if remaining_ms is None or placement.worker.is_standing(now_ms):
            return None
        longest_ms = max(longest_ms, remaining_ms + END_MARGIN_MS)
    return longest_ms or None


def _ends_within(occupant: _Occupant, within_ms: float) -> bool:
    return occupant.remaining_ms is not None and occupant.remaining_ms <= within_ms
