"""Best-fit worker selection for identical tasks that are placed one after another."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from jujubehall.core.fleet.expected_end import SpeedPreference
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import WorkerName

SLOWNESS_BUCKETS_PER_UNIT = 2
"""Number of slowness buckets per unit: workers are compared in steps of 0.5, because smaller
differences are measurement noise."""


class FitKey(NamedTuple):
    """Sort key of a worker: healthy workers of the preferred speed first, then the fullest ones."""

    slowness: int
    speed_rank: int
    free_accelerators: int
    free_millicores: int
    name: WorkerName


def fit_key(
    worker: FleetWorker, free: Resources, now_ms: int, preference: SpeedPreference
) -> FitKey:
    """Returns the sort key of ``worker`` when ``free`` is available on it."""
    return FitKey(
        round(worker.slowness(now_ms) * SLOWNESS_BUCKETS_PER_UNIT),
        preference.rank(worker),
        free.accelerators,
        free.millicores,
        worker.name,
    )


class BestFitHeap:
    """A heap of the workers that have capacity for a task with the given needs.

    Without it, a round that starts hundreds of identical tasks on hundreds of workers would examine
    every worker for each task.

    Entries whose key is out of date are discarded lazily by ``find``.
    """

    def __init__(
        self,
        needs: Resources,
        workers: list[FleetWorker],
        now_ms: int,
        preference: SpeedPreference,
    ) -> None:
        self._needs = needs
        self._preference = preference
        self._now_ms = now_ms
        self._workers = {worker.name: worker for worker in workers}
        self._heap = [self._key(each) for each in workers if self._fits_on(each)]
        heapq.heapify(self._heap)

    def find(self) -> FleetWorker | None:
        """Returns the best worker with capacity for one more task, or None if there is none."""
        while self._heap:
            key = self._heap[0]
            worker = self._workers[key.name]
            if self._fits_on(worker) and key == self._key(worker):
                return worker
            heapq.heappop(self._heap)
        return None

    def refresh(self, worker: FleetWorker) -> None:
        """Updates the entry of ``worker`` after its free capacity has changed."""
        if worker.name in self._workers and self._fits_on(worker):
            heapq.heappush(self._heap, self._key(worker))

    def _key(self, worker: FleetWorker) -> FitKey:
        return fit_key(worker, worker.free, self._now_ms, self._preference)

    def _fits_on(self, worker: FleetWorker) -> bool:
        return self._needs.fits_in(worker.free)
