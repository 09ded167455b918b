"""Chooses workers for the parts of a gang."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.jobs.job import JobSpec


class FreeSpace(msgspec.Struct):
    """What is free on one worker."""

    worker: WorkerName
    rack: RackName
    accelerators: int
    cores: int
    memory_gb: int

    def parts(self, spec: JobSpec) -> int:
        """How many parts of a job fit."""
        limits = [
            have // need
            for have, need in (
                (self.accelerators, spec.accelerators_per_part),
                (self.cores, spec.cores_per_part),
                (self.memory_gb, spec.memory_gb_per_part),
            )
            if need
        ]
        return max(0, min(limits, default=spec.parts))


def place_gang(spec: JobSpec, workers: Iterable[FreeSpace]) -> tuple[PartPlacement, ...] | None:
    """Finds workers for all parts, or returns None.

    An adjacent gang goes into the rack that it fills best; within a rack, the fullest workers
    come first, so that whole workers stay free.
    """
    racks: dict[str, list[FreeSpace]] = defaultdict(list)
    for worker in workers:
        racks[worker.rack if spec.adjacent else ""].append(worker)
    fitting = [rack for rack in racks.values() if sum(w.parts(spec) for w in rack) >= spec.parts]
    if not fitting:
        return None
    best = min(fitting, key=lambda rack: (sum(w.accelerators for w in rack), rack[0].rack))
    return _fill(spec, best)


def _fill(spec: JobSpec, rack: list[FreeSpace]) -> tuple[PartPlacement, ...]:
    chosen: list[PartPlacement] = []
    for worker in sorted(rack, key=lambda w: (w.accelerators, w.worker)):
        count = min(worker.parts(spec), spec.parts - len(chosen))
        for _ in range(count):
            chosen.append(PartPlacement(len(chosen), worker.worker))
    return tuple(chosen)
