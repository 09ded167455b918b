"""Placement of a group's tasks on workers."""

from __future__ import annotations

from itertools import accumulate
from typing import TYPE_CHECKING

from jujubehall.core.fleet.best_fit import fit_key
from jujubehall.core.fleet.expected_end import preference_among
from jujubehall.core.fleet.suitability import find_unsuitability
from jujubehall.core.fleet.suitability import has_latency_conflict
from jujubehall.core.fleet.suitability import is_in_pool
from jujubehall.core.fleet.task_limits import remaining_task_limit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.fleet.best_fit import FitKey
    from jujubehall.core.fleet.expected_end import SpeedPreference
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import RackName


def eligible_workers(
    group: TaskGroup,
    workers: Iterable[FleetWorker],
    now_ms: int,
    allow_conflicts: bool = False,
) -> list[FleetWorker]:
    """Returns the workers that may run the group's tasks and that accept new tasks.

    The pool of the queue, the required label, the capacity of the worker and, where the queue
    requires one, a valid ticket decide this. Free capacity isn't considered. Nothing is started
    beside a run that is just starting and may crash the worker. Unless ``allow_conflicts`` is set,
    nothing there may be in conflict with the group, see ``has_latency_conflict``.
    """
    queue = group.job.queue
    return [
        worker
        for worker in workers
        if queue is not None
        and find_unsuitability(group, worker) is None
        and group.request.needs.fits_in(worker.listed.capacity)
        and worker.accepts_work(now_ms)
        and not worker.hosts_suspect_start(now_ms)
        and (allow_conflicts or not has_latency_conflict(group, worker))
        and (not queue.asks_for_advice or _has_ticket(group, worker, now_ms))
    ]


def _has_ticket(group: TaskGroup, worker: FleetWorker, now_ms: int) -> bool:
    tickets = group.job.tickets(group.occurrence, group.step)
    return tickets.find(worker.name, worker.incarnation, now_ms) is not None


def can_be_local(group: TaskGroup, workers: Iterable[FleetWorker]) -> bool:
    """Returns whether one rack, that of its data if it has any, would hold the whole group if empty.

    A worker that is out of reach counts, since it may be back soon; one that is leaving doesn't. True
    for a group to which it doesn't matter where it runs.
    """
    request = group.request
    tasks = len(group.indexes)
    if not request.data_rack and (not request.prefers_one_rack or tasks == 1):
        return True
    copies_by_rack: dict[RackName, int] = {}
    for worker in workers:
        rack = worker.listed.rack
        is_staying = worker.is_listed and not (
            worker.listed.is_draining or worker.is_zone_evacuated
        )
        if is_staying and is_in_pool(group, worker) and request.data_rack in ("", rack):
            copies = group.occupied_resources.count_fitting(worker.listed.capacity)
            copies = min(copies, request.tasks_per_worker or copies)
            copies_by_rack[rack] = copies_by_rack.get(rack, 0) + copies
    return max(copies_by_rack.values(), default=0) >= tasks


def choose_workers(
    group: TaskGroup, workers: list[FleetWorker], now_ms: int, relax_locality: bool
) -> dict[int, FleetWorker] | None:
    """Chooses a worker with enough free capacity for each task, or returns None if that fails.

    Single racks are tried first: the rack that holds the data, then, among the racks that fit the
    group on workers of the most suitable speed, the one with the fewest free accelerators, which
    keeps emptier racks available for larger gangs. Only with ``relax_locality`` may tasks span
    racks or run away from their data.
    """
    request = group.request
    preference = preference_among(group, workers, now_ms)
    if len(group.indexes) == 1 and not request.data_rack:
        return _pack(group, workers, now_ms, preference)
    racks: dict[RackName, list[FleetWorker]] = {}
    for worker in workers:
        racks.setdefault(worker.listed.rack, []).append(worker)
    if request.data_rack:
        local = _pack(group, racks.get(request.data_rack, []), now_ms, preference)
        if local is not None or not relax_locality:
            return local
    if request.prefers_one_rack:
        candidates = [
            (preference.rank_all(chosen.values()), _free_accelerators(rack), name, chosen)
            for name, rack in racks.items()
            if (chosen := _pack(group, rack, now_ms, preference)) is not None
        ]
        if candidates:
            return min(candidates, key=lambda each: each[:3])[3]
        if not relax_locality:
            return None
    return _pack(group, workers, now_ms, preference)


def _free_accelerators(rack: list[FleetWorker]) -> int:
    return sum(worker.free.accelerators for worker in rack)


def _pack(
    group: TaskGroup, workers: list[FleetWorker], now_ms: int, preference: SpeedPreference
) -> dict[int, FleetWorker] | None:
    """Packs the tasks onto suitable workers, preferring those with the least free capacity."""
    needs = group.occupied_resources
    options = []
    for worker in workers:
        free = worker.free_for(group)
        copies = min(needs.count_fitting(free), remaining_task_limit(group, worker))
        if copies > 0:
            options.append((fit_key(worker, free, now_ms, preference), copies, worker))
    if sum(copies for _, copies, _ in options) < len(group.indexes):
        return None
    options.sort(key=lambda option: option[0])
    if preference.prefers_fast and len(group.indexes) > 1:
        options = _without_excess_speed(options, len(group.indexes))
    chosen: dict[int, FleetWorker] = {}
    unplaced = list(group.indexes)
    for _, copies, worker in options:
        for index in unplaced[:copies]:
            chosen[index] = worker
        unplaced = unplaced[copies:]
        if not unplaced:
            return chosen
    return None


def _without_excess_speed(
    options: list[tuple[FitKey, int, FleetWorker]], tasks: int
) -> list[tuple[FitKey, int, FleetWorker]]:
    """Returns the options, sorted fastest first, without unnecessary use of the fastest workers.

    A group ends with its slowest worker. If it needs some of a slow class, it takes as many as
    possible of that class, and leaves the faster ones to others.
    """
    placed_by_then = accumulate(copies for _, copies, _ in options)
    last = next(
        key for (key, _, _), placed in zip(options, placed_by_then, strict=True) if placed >= tasks
    )
    if options[0][0][:2] == last[:2]:
        return options
    suitable = [each for each in options if each[0][:2] <= last[:2]]
    return sorted(suitable, key=lambda each: (each[0].slowness, -each[0].speed_rank, each[0]))
