"""The workers on which the groups of one round may run, each question answered once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.best_fit import BestFit
from jujubehall.core.fleet.placing import eligible_workers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.fleet.book import FleetBook
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker

Key = tuple[object, ...]


class RoundWorkers:
    """Keeps its answers for groups that may run on the same workers, as most groups may.

    Within a round only the free room of workers changes, which ``note_changed`` takes in.
    """

    def __init__(self, book: FleetBook, now_ms: int) -> None:
        self._book = book
        self._now_ms = now_ms
        self._accepting: dict[Key, list[FleetWorker]] = {}
        self._sound: dict[Key, list[FleetWorker]] = {}
        self._free_accelerators: dict[Key, int] = {}
        self._best_fits: dict[Key, BestFit] = {}

    def accepting(self, group: TaskGroup) -> list[FleetWorker]:
        """The workers that accept the group."""
        key = _key(group)
        if key is None:
            return eligible_workers(group, self._book.workers.values(), self._now_ms)
        if key not in self._accepting:
            self._accepting[key] = eligible_workers(
                group, self._book.workers.values(), self._now_ms
            )
        return self._accepting[key]

    def sound(self, group: TaskGroup) -> list[FleetWorker]:
        """The workers for the group, without those that are slow or on which it has failed."""
        sound = self._sound_for_all(group)
        if group.failed_on:
            return [each for each in sound if each.name not in group.failed_on]
        return sound

    def free_accelerators(self, group: TaskGroup) -> int:
        """How many accelerators are free on the sound workers together."""
        key = _key(group)
        if key is None or group.failed_on:
            return sum(worker.free.accelerators for worker in self.sound(group))
        if key not in self._free_accelerators:
            self._free_accelerators[key] = sum(
                worker.free.accelerators for worker in self.sound(group)
            )
        return self._free_accelerators[key]

    def best_fit(self, group: TaskGroup) -> BestFit | None:
        """The sound workers in the order in which single tasks are placed; None if not kept."""
        key = _key(group)
        if key is None:
            return None
        if key not in self._best_fits:
            needs = group.counted_needs
            self._best_fits[key] = BestFit(needs, self._sound_for_all(group), self._now_ms)
        return self._best_fits[key]

    def note_changed(self, workers: Iterable[FleetWorker]) -> None:
        """Takes in that the free room of some workers has changed."""
        self._free_accelerators.clear()
        for worker in set(workers):
            for best_fit in self._best_fits.values():
                best_fit.note_change(worker)

    def _sound_for_all(self, group: TaskGroup) -> list[FleetWorker]:
        key = _key(group)
        if key is not None and key in self._sound:
            return self._sound[key]
        sound = [each for each in self.accepting(group) if not each.is_troubled(self._now_ms)]
        if key is not None:
            self._sound[key] = sound
        return sound


def _key(group: TaskGroup) -> Key | None:
    """Names what decides on which workers a group may run; None if that changes in a round."""
    request = group.request
    queue = group.job.queue
    if request.is_filler or request.target_latency_ms:
        # What is started in this round may make a worker unfit for the next.
        return None
    key: Key = (queue.pool if queue is not None else None, request.required_label, request.needs)
    if queue is not None and queue.asks_for_advice:
        key += (group.job.id, group.occurrence, group.step)
    return key
