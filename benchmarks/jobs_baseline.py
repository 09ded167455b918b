"""Provides the baseline policy of the job benchmarks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.placement import FreeResources
from jujubehall.core.jobs.placement import place_gang

if TYPE_CHECKING:
    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.core.jobs.zone_view import ZoneView


class FirstComeFirstFit:
    """Places each queued job that fits, in order of arrival, as the project's first policy did."""

    def decide(self, view: ZoneView) -> list[Decision]:
        """Places the jobs that fit now, without guarantees, reservations or refusals."""
        free = {
            worker.name: FreeResources(
                worker.name,
                worker.rack,
                worker.capacity.accelerators - worker.held.accelerators,
                worker.capacity.cores - worker.held.cores,
                worker.capacity.memory_gb - worker.held.memory_gb,
            )
            for worker in view.workers
        }
        decisions: list[Decision] = []
        for job in view.queued:
            placement = place_gang(job.record.spec, free.values())
            if placement is None:
                continue
            decisions.append(Place(job.record.id, placement))
            for part in placement:
                free[part.worker].allocate(job.record.spec)
        return decisions

    def record_finished(self, record: JobRecord, run_time_ms: int) -> None:
        """Ignores the run time: this policy doesn't estimate run times."""
