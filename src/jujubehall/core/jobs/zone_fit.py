"""Whether a gang fits into an availability zone, as far as its published summary tells."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.zone_summary import ZoneSummary


def fits_now(spec: JobSpec, zone: ZoneSummary) -> bool:
    """Whether the free accelerators of the zone's usable workers hold all parts."""
    needed = spec.accelerators_per_part
    parts: dict[str, int] = {}
    for worker in zone.workers:
        if worker.state == "usable":
            held = worker.free // needed if needed else spec.parts
            parts[worker.rack] = parts.get(worker.rack, 0) + held
    return _enough(spec, parts)


def can_ever_fit(spec: JobSpec, zone: ZoneSummary) -> bool:
    """Whether the zone's racks would hold all parts if they were empty."""
    needed = spec.accelerators_per_part
    parts: dict[str, int] = {}
    for rack in zone.racks:
        per_worker = rack.accelerators // rack.workers
        held = per_worker // needed if needed else spec.parts
        parts[rack.rack] = rack.workers * held
    return _enough(spec, parts)


def load(zone: ZoneSummary) -> float:
    """Waiting jobs for each accelerator: the less, the sooner a new job runs."""
    accelerators = sum(rack.accelerators for rack in zone.racks)
    return zone.queued_jobs / max(1, accelerators)


def _enough(spec: JobSpec, parts: dict[str, int]) -> bool:
    counted = max(parts.values(), default=0) if spec.adjacent else sum(parts.values())
    return counted >= spec.parts
