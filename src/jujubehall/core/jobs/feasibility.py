"""Tells jobs that can never run from those that only have to wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.jobs.placement import FreeSpace
from jujubehall.core.jobs.placement import group_racks

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.zone_view import WorkerView
    from jujubehall.identifiers import RackName
    from jujubehall.identifiers import WorkerName
    from jujubehall.workers.messages import Resources

Shape = tuple[int, int, int, int, bool]


MAX_SHAPES = 1_000


class Feasibility:
    """Remembers which shapes of jobs a zone can hold, until its workers change."""

    def __init__(self) -> None:
        self._workers: list[tuple[WorkerName, RackName, Resources]] = []
        self._empty: list[FreeSpace] = []
        self._reasons: dict[Shape, str | None] = {}

    def read_workers(self, workers: Sequence[WorkerView]) -> None:
        """Takes in the workers that jobs are held against."""
        seen = [(worker.name, worker.rack, worker.capacity) for worker in workers]
        if seen != self._workers:
            self._workers = seen
            self._empty = [_empty(worker) for worker in workers]
            self._reasons.clear()

    def reason_impossible(self, spec: JobSpec, accelerator_quota: int | None) -> str | None:
        """Why a job can never run in the zone or within its team's quota, or None if it can."""
        accelerators = spec.parts * spec.accelerators_per_part
        if accelerator_quota is not None and accelerators > accelerator_quota:
            return f"it needs {accelerators} accelerators; team {spec.team} may use {accelerator_quota}"
        shape = shape_of(spec)
        if shape not in self._reasons:
            if len(self._reasons) >= MAX_SHAPES:
                self._reasons.clear()
            self._reasons[shape] = _reason(spec, self._empty)
        return self._reasons[shape]


def shape_of(spec: JobSpec) -> Shape:
    """What placing a job depends on."""
    return (
        spec.parts,
        spec.accelerators_per_part,
        spec.cores_per_part,
        spec.memory_gb_per_part,
        spec.adjacent,
    )


def _reason(spec: JobSpec, empty: Sequence[FreeSpace]) -> str | None:
    """Why a job could not run even if all workers were empty and usable."""
    if not any(space.parts(spec) for space in empty):
        return (
            f"no worker holds a part of {spec.accelerators_per_part} accelerators, "
            f"{spec.cores_per_part} cores and {spec.memory_gb_per_part} GB"
        )
    most = max(sum(space.parts(spec) for space in rack) for rack in group_racks(spec, empty))
    if most < spec.parts:
        where = "one rack" if spec.adjacent else "the availability zone"
        return f"{where} holds at most {most} of its {spec.parts} parts"
    return None


def _empty(worker: WorkerView) -> FreeSpace:
    have = worker.capacity
    return FreeSpace(worker.name, worker.rack, have.accelerators, have.cores, have.memory_gb)
