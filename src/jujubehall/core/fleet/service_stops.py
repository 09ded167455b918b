"""Which tasks of services to stop so that guaranteed work can start.

A service with a limit of unavailable tasks may only lose some of them at a time, so that not all of
them can make room at once. The load that this answers: services that fill a site, and a team that
then asks for what it is guaranteed. A greedy choice may use up the limit of a service without making
enough room, so that other choices are searched after it.
"""

from __future__ import annotations

from itertools import product
from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.disruption import count_available
from jujubehall.core.fleet.disruption import is_limited_service
from jujubehall.core.fleet.disruption import may_disrupt
from jujubehall.core.fleet.resources import NO_RESOURCES
from jujubehall.core.fleet.suitability import conflicts_in_latency
from jujubehall.core.fleet.suitability import has_reserved_conflict
from jujubehall.core.fleet.task_limits import remaining_task_limit

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jujubehall.core.fleet.groups import StepKey
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.occupants import Occupant
    from jujubehall.core.fleet.occupants import WorkerOccupants
    from jujubehall.core.fleet.queue_order import QueueOrder
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.workers import FleetWorker

MAX_EVALUATIONS = 10_000
"""Limit of the search: how often the room on a worker is computed, which takes some microseconds. On a
site of a few workers the search is complete before."""

Stops = frozenset["TaskGroup"]
NO_STOPS: Stops = frozenset()


class _Room(NamedTuple):
    """What bounds the number of tasks on a worker."""

    worker: FleetWorker
    capacity: Resources
    """The capacity beside all that may not be stopped."""

    max_tasks: int
    services: list[Occupant]
    """The tasks of limited services that may be stopped for the group, cheapest first."""


class _Extension(NamedTuple):
    """Further stops on one worker, and for how many more tasks they make room there."""

    worker: FleetWorker
    gain: int
    added: list[Occupant]


class ServiceStops:
    """Searches the tasks of limited services to stop for a number of tasks of one step.

    All other work that may be stopped for the group is considered stopped.
    """

    def __init__(
        self,
        group: TaskGroup,
        tasks: int,
        workers: list[FleetWorker],
        order: QueueOrder,
        occupants: WorkerOccupants,
    ) -> None:
        self._group = group
        self._tasks = tasks
        self._order = order
        self._occupants = occupants
        self._rooms = [room for each in workers if (room := self._room(each)) is not None]
        self._with_services = [room for room in self._rooms if room.services]
        self._evaluations = 0
        self._seen: set[Stops] = set()

    def is_enough_without_stops(self) -> bool:
        """Returns whether there is enough room without a stop of any limited service."""
        return self._count(NO_STOPS) >= self._tasks

    def is_enough_with_all_stops(self) -> bool:
        """Returns whether there would be enough room without any limits of the services."""
        all_stops = frozenset(each.group for room in self._with_services for each in room.services)
        return self._count(all_stops) >= self._tasks

    def find(self) -> Stops | None:
        """Returns tasks of services whose stop makes enough room; None if no allowed stops do.

        The stops that free most for the fewest tasks are tried first, on all workers at once. Only
        if they use up the limits is every other choice tried.
        """
        if not self._may_suffice():
            return None
        return self._choose_greedily() or self._search(NO_STOPS, self._count(NO_STOPS))

    def _may_suffice(self) -> bool:
        """Returns whether the allowed stops would free enough if it all were on one worker."""
        by_step: dict[StepKey, list[Occupant]] = {}
        free = NO_RESOURCES
        for room in self._rooms:
            left = room.capacity
            for occupant in room.services:
                by_step.setdefault(occupant.group.step_key, []).append(occupant)
                left = left.minus(occupant.needs)
            free = free + left
        for occupants in by_step.values():
            for occupant in self._allowed_of_step(_available_last(occupants), NO_STOPS):
                free = free + occupant.needs
        return self._group.occupied_resources.times(self._tasks).fits_in(free)

    def _choose_greedily(self) -> Stops | None:
        stops = NO_STOPS
        count = self._count(NO_STOPS)
        while True:
            used: set[FleetWorker] = set()
            for extension in sorted(self._extensions(stops), key=_by_disruption):
                if extension.worker in used or not self._is_allowed(extension.added, stops):
                    continue
                used.add(extension.worker)
                stops |= {each.group for each in extension.added}
                count += extension.gain
                if count >= self._tasks:
                    return stops
            if not used:
                return None

    def _is_allowed(self, added: list[Occupant], stops: Stops) -> bool:
        groups = {each.group for each in added}
        return all(may_disrupt(group, groups | stops) for group in groups)

    def _room(self, worker: FleetWorker) -> _Room | None:
        group = self._group
        retained = worker.untracked_usage + worker.reserved_for_others(group)
        services = []
        if has_reserved_conflict(group, worker):
            return None
        for occupant in self._occupants.of(worker):
            other = occupant.group
            if not self._order.may_reclaim(group, other):
                if conflicts_in_latency(group, other):
                    return None
                retained = retained + occupant.needs
            elif is_limited_service(other):
                services.append(occupant)
        max_tasks = self._tasks
        if group.request.tasks_per_worker:
            max_tasks = min(max_tasks, remaining_task_limit(group, worker))
        capacity = worker.listed.capacity.minus(retained)
        return _Room(worker, capacity, max_tasks, services)

    def _count(self, stops: Stops) -> int:
        return sum(self._count_on(room, stops) for room in self._rooms)

    def _count_on(self, room: _Room, stops: Stops) -> int:
        """Returns how many of the tasks fit on a worker after the stops."""
        self._evaluations += 1
        left = room.capacity
        for occupant in room.services:
            if occupant.group not in stops:
                if conflicts_in_latency(self._group, occupant.group):
                    return 0
                left = left.minus(occupant.needs)
        return min(self._group.occupied_resources.count_fitting(left), room.max_tasks)

    def _search(self, stops: Stops, count: int) -> Stops | None:
        if count >= self._tasks:
            return stops
        self._seen.add(stops)
        for extension in sorted(self._extensions(stops), key=_by_disruption):
            extended = stops | {each.group for each in extension.added}
            if extended in self._seen:
                continue
            if self._evaluations >= MAX_EVALUATIONS:
                return None
            found = self._search(extended, self._count(extended))
            if found is not None:
                return found
        return None

    def _extensions(self, stops: Stops) -> Iterator[_Extension]:
        """Yields the smallest allowed additions to the stops that make room for another task."""
        for room in self._with_services:
            before = self._count_on(room, stops)
            if before >= room.max_tasks:
                continue
            sufficient: list[tuple[int, ...]] = []
            for numbers, added in self._choices(room, stops):
                if any(
                    all(one <= other for one, other in zip(smaller, numbers, strict=True))
                    for smaller in sufficient
                ):
                    continue
                gain = self._count_on(room, stops | {each.group for each in added}) - before
                if gain > 0:
                    sufficient.append(numbers)
                    yield _Extension(room.worker, gain, added)

    def _choices(
        self, room: _Room, stops: Stops
    ) -> Iterator[tuple[tuple[int, ...], list[Occupant]]]:
        """Yields the allowed further stops on a worker, fewest first.

        The tasks of one step need the same resources, so that only their number matters, and those
        that aren't at work are taken first.
        """
        by_step: dict[StepKey, list[Occupant]] = {}
        for occupant in room.services:
            if occupant.group not in stops:
                by_step.setdefault(occupant.group.step_key, []).append(occupant)
        allowed = [self._allowed_of_step(_available_last(each), stops) for each in by_step.values()]
        numbers = product(*(range(len(each) + 1) for each in allowed))
        for chosen in sorted(numbers, key=sum):
            if any(chosen):
                yield (
                    chosen,
                    [
                        occupant
                        for step, number in zip(allowed, chosen, strict=True)
                        for occupant in step[:number]
                    ],
                )

    def _allowed_of_step(self, occupants: list[Occupant], stops: Stops) -> list[Occupant]:
        """Returns the occupants, all of one step, that may be stopped together with ``stops``."""
        planned = set(stops)
        allowed = []
        for occupant in occupants:
            if not may_disrupt(occupant.group, planned):
                break
            planned.add(occupant.group)
            allowed.append(occupant)
        return allowed


def _available_last(occupants: list[Occupant]) -> list[Occupant]:
    """Returns the occupants, those first that are not at work, since their stop disrupts nothing."""
    return sorted(occupants, key=lambda each: count_available(each.group))


def _by_disruption(extension: _Extension) -> tuple[float, float, str]:
    tasks = sum(count_available(each.group) for each in extension.added)
    loss = sum(sum(each.loss) for each in extension.added)
    return (tasks / extension.gain, loss, extension.worker.name)
