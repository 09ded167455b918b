"""Reservations of future capacity for waiting gangs, so that backfilled jobs can't delay them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.placement import FreeResources
from jujubehall.core.jobs.placement import place_gang
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.running_job import RunningJob


class Reservation(msgspec.Struct):
    """The expected start time and placement of a waiting gang.

    ``spare`` is the capacity that each of its workers will have free at ``start_ms`` beyond the
    gang's parts. Jobs that end after ``start_ms`` may use no more than this.
    """

    job: JobId
    start_ms: int
    placement: tuple[PartPlacement, ...]
    spare: dict[WorkerName, FreeResources]

    def limit(self, space: FreeResources, ends_at_ms: int) -> FreeResources:
        """Returns the free capacity of a worker that a job ending at ``ends_at_ms`` may use."""
        spare = self.spare.get(space.worker)
        if spare is None or ends_at_ms <= self.start_ms:
            return space
        return FreeResources(
            space.worker,
            space.rack,
            min(space.accelerators, spare.accelerators),
            min(space.cores, spare.cores),
            min(space.memory_gb, spare.memory_gb),
            space.total_accelerators,
        )

    def record_placement(
        self, spec: JobSpec, placement: Iterable[PartPlacement], ends_at_ms: int
    ) -> None:
        """Subtracts a newly placed job from the spare capacity if it ends after the start."""
        if ends_at_ms <= self.start_ms:
            return
        for part in placement:
            if part.worker in self.spare:
                self.spare[part.worker].allocate(spec)


def make_reservation(
    job: JobId, spec: JobSpec, spaces: Sequence[FreeResources], running: Sequence[RunningJob]
) -> Reservation | None:
    """Finds the earliest expected time at which enough jobs have ended for a gang to start.

    Free capacity only grows as jobs end, so the time is found by bisection over their expected
    ends. Returns None if the gang would not fit even after all of them, or if no jobs run.
    """
    by_end_time = sorted(running, key=lambda job: job.ends_at_ms)
    low, high = 1, len(by_end_time)
    if place_gang(spec, _spaces_after(spaces, by_end_time)) is None:
        return None
    while low < high:
        middle = (low + high) // 2
        if place_gang(spec, _spaces_after(spaces, by_end_time[:middle])) is None:
            low = middle + 1
        else:
            high = middle
    if not by_end_time:
        return None
    start_ms = by_end_time[low - 1].ends_at_ms
    future_spaces = _spaces_after(
        spaces, [job for job in by_end_time if job.ends_at_ms <= start_ms]
    )
    placement = place_gang(spec, future_spaces)
    assert placement is not None
    parts = Counter(part.worker for part in placement)
    spare = {space.worker: space for space in future_spaces if space.worker in parts}
    for worker, count in parts.items():
        spare[worker].allocate(spec, count)
    return Reservation(job, start_ms, placement, spare)


def _spaces_after(
    spaces: Sequence[FreeResources], ended: Sequence[RunningJob]
) -> list[FreeResources]:
    future_spaces = {space.worker: space.copy() for space in spaces}
    for job in ended:
        for worker, parts in job.parts_by_worker.items():
            if worker in future_spaces:
                future_spaces[worker].allocate(job.spec, -parts)
    return list(future_spaces.values())
