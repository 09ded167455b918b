"""Checks whether a gang fits into an availability zone, based on the zone's published summary."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.zone_summary import ZoneSummary


def fits_now(spec: JobSpec, zone: ZoneSummary) -> bool:
    """Whether all parts fit on the free accelerators of the zone's usable workers."""
    needed = spec.accelerators_per_part
    parts_by_rack: dict[str, int] = {}
    for worker in zone.workers:
        if worker.state == "usable":
            fitting = worker.free // needed if needed else spec.parts
            parts_by_rack[worker.rack] = parts_by_rack.get(worker.rack, 0) + fitting
    return _holds_all_parts(spec, parts_by_rack)


def can_ever_fit(spec: JobSpec, zone: ZoneSummary) -> bool:
    """Whether all parts would fit into the zone's racks if they were empty."""
    needed = spec.accelerators_per_part
    parts_by_rack: dict[str, int] = {}
    for rack in zone.racks:
        per_worker = rack.accelerators // rack.workers
        fitting = per_worker // needed if needed else spec.parts
        parts_by_rack[rack.rack] = rack.workers * fitting
    return _holds_all_parts(spec, parts_by_rack)


def queued_jobs_per_accelerator(zone: ZoneSummary) -> float:
    """Returns the number of queued jobs per accelerator; a lower load means a shorter wait."""
    accelerators = sum(rack.accelerators for rack in zone.racks)
    return zone.queued_jobs / max(1, accelerators)


def _holds_all_parts(spec: JobSpec, parts_by_rack: dict[str, int]) -> bool:
    max_parts = (
        max(parts_by_rack.values(), default=0) if spec.adjacent else sum(parts_by_rack.values())
    )
    return max_parts >= spec.parts
