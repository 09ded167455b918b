"""Tells jobs that can never run from those that only have to wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.jobs.placement import FreeSpace
from jujubehall.core.jobs.placement import group_racks

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.zone_view import WorkerView


def reason_impossible(
    spec: JobSpec, workers: Sequence[WorkerView], accelerator_quota: int | None
) -> str | None:
    """Why a job could not run even if all workers were empty and usable, or None if it could."""
    accelerators = spec.parts * spec.accelerators_per_part
    if accelerator_quota is not None and accelerators > accelerator_quota:
        return f"it needs {accelerators} accelerators; team {spec.team} may use {accelerator_quota}"
    empty = [_empty(worker) for worker in workers]
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
