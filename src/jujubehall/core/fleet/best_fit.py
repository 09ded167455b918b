"""Finds the worker with the least room left for one equal task after the other."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import WorkerName

SLOWNESS_STEPS = 2
"""Workers are told apart by slowness in steps of a half; smaller differences are noise."""


class Fit(NamedTuple):
    """Orders workers: the fastest first, among these the fullest."""

    slowness: int
    free_accelerators: int
    free_millicores: int
    name: WorkerName


def fit_of(worker: FleetWorker, free: Resources, now_ms: int) -> Fit:
    """How well a worker with ``free`` room is suited for small tasks."""
    return Fit(
        round(worker.slowness(now_ms) * SLOWNESS_STEPS),
        free.accelerators,
        free.millicores,
        worker.name,
    )


class BestFit:
    """The workers with room for a task of given needs, in order, while tasks are being placed.

    A round that starts hundreds of equal tasks on hundreds of workers would otherwise look at all
    workers for each of them.
    """

    def __init__(self, needs: Resources, workers: list[FleetWorker], now_ms: int) -> None:
        self._needs = needs
        self._now_ms = now_ms
        self._workers = {worker.name: worker for worker in workers}
        self._heap = [fit_of(each, each.free, now_ms) for each in workers if self._has_room(each)]
        heapq.heapify(self._heap)

    def find(self) -> FleetWorker | None:
        """The best worker with room for one more task."""
        while self._heap:
            fit = self._heap[0]
            worker = self._workers[fit.name]
            if self._has_room(worker) and fit == fit_of(worker, worker.free, self._now_ms):
                return worker
            heapq.heappop(self._heap)
        return None

    def note_change(self, worker: FleetWorker) -> None:
        """Takes in that what is free on a worker has changed."""
        if worker.name in self._workers and self._has_room(worker):
            heapq.heappush(self._heap, fit_of(worker, worker.free, self._now_ms))

    def _has_room(self, worker: FleetWorker) -> bool:
        return self._needs.fits_in(worker.free)
