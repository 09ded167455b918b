"""Chooses workers for the tasks of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.best_fit import fit_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import RackName


def eligible_workers(
    group: TaskGroup, workers: Iterable[FleetWorker], now_ms: int
) -> list[FleetWorker]:
    """The workers that the group's queue and labels allow and that accept work."""
    queue = group.job.queue
    label = group.request.required_label
    return [
        worker
        for worker in workers
        if queue is not None
        and worker.listed.pool == queue.pool
        and (not label or label in worker.listed.labels)
        and group.request.needs.fits_in(worker.listed.capacity)
        and worker.accepts_work(now_ms)
        and not _would_disturb(group, worker)
        and (not queue.asks_for_advice or _has_ticket(group, worker, now_ms))
    ]


def _would_disturb(group: TaskGroup, worker: FleetWorker) -> bool:
    """Whether a filler and a task that serves users within a target would share the worker."""
    request = group.request
    if request.is_filler:
        return any(other.request.target_latency_ms for other, _ in worker.placements)
    if request.target_latency_ms:
        return any(other.request.is_filler for other, _ in worker.placements)
    return False


def _has_ticket(group: TaskGroup, worker: FleetWorker, now_ms: int) -> bool:
    tickets = group.job.tickets(group.occurrence, group.step)
    return tickets.find(worker.name, worker.listed.life, now_ms) is not None


def task_bound(group: TaskGroup, worker: FleetWorker) -> int:
    """How many more tasks of the group's step the worker may run."""
    bound = group.request.tasks_per_worker
    if not bound:
        return len(group.indexes)
    present = sum(
        1
        for other, _ in worker.placements
        if other.job is group.job
        and other.occurrence == group.occurrence
        and other.step == group.step
    )
    return max(0, bound - present)


def place(
    group: TaskGroup, workers: list[FleetWorker], now_ms: int, may_go_far: bool
) -> dict[int, FleetWorker] | None:
    """Chooses a worker with free room for each task of the group, or returns None.

    Racks are tried whole first: the rack of the data, then the fullest rack with enough room, so
    that emptier racks stay whole for larger gangs. Only with ``may_go_far`` are tasks spread over
    racks or put away from their data.
    """
    request = group.request
    if len(group.indexes) == 1 and not request.data_rack:
        return _fill(group, workers, now_ms)
    racks: dict[RackName, list[FleetWorker]] = {}
    for worker in workers:
        racks.setdefault(worker.listed.rack, []).append(worker)
    if request.data_rack:
        near = _fill(group, racks.get(request.data_rack, []), now_ms)
        if near is not None or not may_go_far:
            return near
    if request.prefers_one_rack:
        candidates = [
            (_free_accelerators(rack), name, chosen)
            for name, rack in racks.items()
            if (chosen := _fill(group, rack, now_ms)) is not None
        ]
        if candidates:
            return min(candidates, key=lambda each: each[:2])[2]
        if not may_go_far:
            return None
    return _fill(group, workers, now_ms)


def _free_accelerators(rack: list[FleetWorker]) -> int:
    return sum(worker.free.accelerators for worker in rack)


def _fill(
    group: TaskGroup, workers: list[FleetWorker], now_ms: int
) -> dict[int, FleetWorker] | None:
    """Packs the tasks on the workers where the least room is left over afterwards."""
    needs = group.counted_needs
    rooms = []
    for worker in workers:
        free = worker.free_for(group)
        copies = min(needs.copies_in(free), task_bound(group, worker))
        if copies > 0:
            rooms.append((fit_of(worker, free, now_ms), copies, worker))
    if sum(copies for _, copies, _ in rooms) < len(group.indexes):
        return None
    rooms.sort(key=lambda room: room[0])
    chosen: dict[int, FleetWorker] = {}
    pending = list(group.indexes)
    for _, copies, worker in rooms:
        for index in pending[:copies]:
            chosen[index] = worker
        pending = pending[copies:]
        if not pending:
            return chosen
    return None
