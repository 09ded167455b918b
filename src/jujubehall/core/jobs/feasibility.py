"""Detects jobs that can never run, as opposed to jobs that have to wait for capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.jobs.placement import FreeResources
from jujubehall.core.jobs.placement import group_racks

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.zone_view import WorkerView
    from jujubehall.identifiers import RackName
    from jujubehall.identifiers import WorkerName
    from jujubehall.workers.messages import Resources

JobShape = tuple[int, int, int, int, bool]

MAX_CACHED_SHAPES = 1_000
"""Number of job shapes cached; the cache is cleared when it is full."""


class FeasibilityCache:
    """Caches which job shapes fit into a zone until its workers change."""

    def __init__(self) -> None:
        self._workers: list[tuple[WorkerName, RackName, Resources]] = []
        self._empty_workers: list[FreeResources] = []
        self._cached_reasons: dict[JobShape, str | None] = {}

    def update_workers(self, workers: Sequence[WorkerView]) -> None:
        """Sets the workers to check jobs against; clears the cache if they have changed."""
        current = [(worker.name, worker.rack, worker.capacity) for worker in workers]
        if current != self._workers:
            self._workers = current
            self._empty_workers = [_empty_worker(worker) for worker in workers]
            self._cached_reasons.clear()

    def infeasibility_reason(self, spec: JobSpec, accelerator_quota: int | None) -> str | None:
        """Returns why a job can never run in the zone or its team's quota, or None if it can."""
        accelerators = spec.parts * spec.accelerators_per_part
        if accelerator_quota is not None and accelerators > accelerator_quota:
            return (
                f"needs {accelerators} accelerators; "
                f"the quota of team {spec.team} is {accelerator_quota}"
            )
        shape = job_shape(spec)
        if shape not in self._cached_reasons:
            if len(self._cached_reasons) >= MAX_CACHED_SHAPES:
                self._cached_reasons.clear()
            self._cached_reasons[shape] = _capacity_shortfall(spec, self._empty_workers)
        return self._cached_reasons[shape]


def job_shape(spec: JobSpec) -> JobShape:
    """Returns the properties of a job that determine where it can be placed."""
    return (
        spec.parts,
        spec.accelerators_per_part,
        spec.cores_per_part,
        spec.memory_gb_per_part,
        spec.adjacent,
    )


def _capacity_shortfall(spec: JobSpec, empty: Sequence[FreeResources]) -> str | None:
    """Returns why a job would not fit even if all workers were empty and usable, or None."""
    if not any(space.max_parts(spec) for space in empty):
        return (
            f"no worker has the {spec.accelerators_per_part} accelerators, "
            f"{spec.cores_per_part} cores and {spec.memory_gb_per_part} GB of memory of a part"
        )
    max_parts = max(
        sum(space.max_parts(spec) for space in rack) for rack in group_racks(spec, empty)
    )
    if max_parts < spec.parts:
        where = "one rack" if spec.adjacent else "the availability zone"
        return f"{where} holds at most {max_parts} of the job's {spec.parts} parts"
    return None


def _empty_worker(worker: WorkerView) -> FreeResources:
    capacity = worker.capacity
    return FreeResources(
        worker.name, worker.rack, capacity.accelerators, capacity.cores, capacity.memory_gb
    )
