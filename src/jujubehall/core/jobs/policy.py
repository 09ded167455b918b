"""The scheduling policy of one availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.jobs.decisions import Decision
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.placement import FreeSpace
from jujubehall.core.jobs.placement import place_gang

if TYPE_CHECKING:
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.core.jobs.job import PartPlacement
    from jujubehall.core.jobs.zone_view import WorkerView
    from jujubehall.core.jobs.zone_view import ZoneView


class Policy:
    """Decides which jobs to place, preempt, move or refuse.

    It may learn from finished jobs, but all that it decides on is in the view, its own memory and
    the time passed in.
    """

    def decide(self, view: ZoneView) -> list[Decision]:
        """Decides for one moment; called again whenever the view has changed."""
        free = [_free_space(worker) for worker in view.workers if worker.usable]
        decisions: list[Decision] = []
        for job in view.queued:
            placement = place_gang(job.record.spec, free)
            if placement is None:
                continue
            decisions.append(Place(job.record.id, placement))
            _take(job.record, placement, free)
        return decisions

    def record_finished(self, record: JobRecord, run_time_ms: int) -> None:
        """Learns how long a job really ran."""


def _free_space(worker: WorkerView) -> FreeSpace:
    return FreeSpace(
        worker.name,
        worker.rack,
        worker.capacity.accelerators - worker.held.accelerators - worker.foreign.accelerators,
        worker.capacity.cores - worker.held.cores - worker.foreign.cores,
        worker.capacity.memory_gb - worker.held.memory_gb - worker.foreign.memory_gb,
    )


def _take(record: JobRecord, placement: tuple[PartPlacement, ...], free: list[FreeSpace]) -> None:
    by_name = {space.worker: space for space in free}
    for part in placement:
        space = by_name[part.worker]
        space.accelerators -= record.spec.accelerators_per_part
        space.cores -= record.spec.cores_per_part
        space.memory_gb -= record.spec.memory_gb_per_part


def make_policy() -> Policy:
    """Makes the policy that the daemons use."""
    return Policy()
