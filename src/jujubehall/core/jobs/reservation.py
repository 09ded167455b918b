"""Reserves space for a gang that has to wait, so that smaller jobs can't delay it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.placement import FreeSpace
from jujubehall.core.jobs.placement import place_gang
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.running_job import RunningJob


class Reservation(msgspec.Struct):
    """Where and when a waiting gang is expected to start.

    ``spare`` is what each of its workers will have free at that time beyond the gang's parts: a
    job that ends later than ``start_ms`` may take no more than this.
    """

    job: JobId
    start_ms: int
    placement: tuple[PartPlacement, ...]
    spare: dict[WorkerName, FreeSpace]

    def limit(self, space: FreeSpace, ends_at_ms: int) -> FreeSpace:
        """What a job that ends at a given time may take of a worker."""
        spare = self.spare.get(space.worker)
        if spare is None or ends_at_ms <= self.start_ms:
            return space
        return FreeSpace(
            space.worker,
            space.rack,
            min(space.accelerators, spare.accelerators),
            min(space.cores, spare.cores),
            min(space.memory_gb, spare.memory_gb),
            space.whole,
        )

    def take(self, spec: JobSpec, placement: Iterable[PartPlacement], ends_at_ms: int) -> None:
        """Counts a job that has been placed."""
        if ends_at_ms <= self.start_ms:
            return
        for part in placement:
            if part.worker in self.spare:
                self.spare[part.worker].take(spec)


def make_reservation(
    job: JobId, spec: JobSpec, spaces: Sequence[FreeSpace], running: Sequence[RunningJob]
) -> Reservation | None:
    """Finds the earliest time at which enough running jobs should have ended.

    Space only grows as jobs end, so the time is found by bisection over their ends.
    """
    ending = sorted(running, key=lambda job: job.ends_at_ms)
    low, high = 1, len(ending)
    if place_gang(spec, _after(spaces, ending)) is None:
        return None
    while low < high:
        middle = (low + high) // 2
        if place_gang(spec, _after(spaces, ending[:middle])) is None:
            low = middle + 1
        else:
            high = middle
    if not ending:
        return None
    start_ms = ending[low - 1].ends_at_ms
    later = _after(spaces, [job for job in ending if job.ends_at_ms <= start_ms])
    placement = place_gang(spec, later)
    assert placement is not None
    parts = Counter(part.worker for part in placement)
    spare = {space.worker: space for space in later if space.worker in parts}
    for worker, count in parts.items():
        spare[worker].take(spec, count)
    return Reservation(job, start_ms, placement, spare)


def _after(spaces: Sequence[FreeSpace], ended: Sequence[RunningJob]) -> list[FreeSpace]:
    later = {space.worker: space.copy() for space in spaces}
    for job in ended:
        for worker, parts in job.parts_on.items():
            if worker in later:
                later[worker].take(job.spec, -parts)
    return list(later.values())
