"""Placement of the parts of a gang on workers with free capacity."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from jujubehall.core.jobs.job import JobSpec


class FreeResources(msgspec.Struct):
    """The free resources of one worker.

    ``total_accelerators`` is the number of all its accelerators, free or not.
    """

    worker: WorkerName
    rack: RackName
    accelerators: int
    cores: int
    memory_gb: int
    total_accelerators: int = 0

    def max_parts(self, spec: JobSpec) -> int:
        """Returns how many parts of a job fit, at most the job's number of parts."""
        fitting = spec.parts
        need = spec.accelerators_per_part
        if need and self.accelerators < need * fitting:
            fitting = self.accelerators // need
        need = spec.cores_per_part
        if need and self.cores < need * fitting:
            fitting = self.cores // need
        need = spec.memory_gb_per_part
        if need and self.memory_gb < need * fitting:
            fitting = self.memory_gb // need
        return max(0, fitting)

    def allocate(self, spec: JobSpec, parts: int = 1) -> None:
        """Subtracts the resources of ``parts`` parts; a negative number releases them."""
        self.accelerators -= spec.accelerators_per_part * parts
        self.cores -= spec.cores_per_part * parts
        self.memory_gb -= spec.memory_gb_per_part * parts

    def copy(self) -> FreeResources:
        """Returns an independent copy."""
        return FreeResources(
            self.worker,
            self.rack,
            self.accelerators,
            self.cores,
            self.memory_gb,
            self.total_accelerators,
        )


Score = tuple[int, ...]
"""Cost of a placement; lower is better."""


def place_gang(spec: JobSpec, workers: Iterable[FreeResources]) -> tuple[PartPlacement, ...] | None:
    """Finds workers for all parts of a job, or returns None.

    Within a rack, workers with the fewest free accelerators are filled first, so that entire
    workers stay free. An adjacent gang goes to the rack where it occupies the fewest free workers
    only in part; ties go to the rack with the fewest free accelerators.
    """
    return place_by_score(spec, workers, _fragmentation_score)


def place_by_score(
    spec: JobSpec,
    workers: Iterable[FreeResources],
    score: Callable[[JobSpec, Sequence[FreeResources], Sequence[tuple[FreeResources, int]]], Score],
) -> tuple[PartPlacement, ...] | None:
    """Finds the placement with the lowest score, or returns None.

    ``score`` is called with the job, the workers of a rack and the parts placed on each of them.
    """
    best: tuple[Score, list[tuple[FreeResources, int]]] | None = None
    for rack in group_racks(spec, workers):
        chosen = _fill_rack(spec, rack)
        if chosen is None:
            continue
        candidate_score = score(spec, rack, chosen)
        if best is None or candidate_score < best[0]:
            best = (candidate_score, chosen)
    if best is None:
        return None
    names = [space.worker for space, count in best[1] for _ in range(count)]
    return tuple(PartPlacement(part, worker) for part, worker in enumerate(names))


def group_racks(spec: JobSpec, workers: Iterable[FreeResources]) -> list[list[FreeResources]]:
    """Groups the workers by rack if the job must be adjacent, else into a single group."""
    racks: dict[str, list[FreeResources]] = defaultdict(list)
    for worker in workers:
        racks[worker.rack if spec.adjacent else ""].append(worker)
    return list(racks.values())


def _fill_rack(spec: JobSpec, rack: list[FreeResources]) -> list[tuple[FreeResources, int]] | None:
    chosen: list[tuple[FreeResources, int]] = []
    parts_left = spec.parts
    for worker in sorted(rack, key=lambda w: (w.accelerators, w.worker)):
        count = min(worker.max_parts(spec), parts_left)
        if count == 0:
            continue
        chosen.append((worker, count))
        parts_left -= count
        if parts_left == 0:
            return chosen
    return None


def _fragmentation_score(
    spec: JobSpec, rack: Sequence[FreeResources], chosen: Sequence[tuple[FreeResources, int]]
) -> Score:
    fragmented = 0
    for space, count in chosen:
        taken = count * spec.accelerators_per_part
        if 0 < taken < space.total_accelerators == space.accelerators:
            fragmented += 1
    return fragmented, sum(worker.accelerators for worker in rack)
