"""Chooses workers for the parts of a gang."""

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


class FreeSpace(msgspec.Struct):
    """What is free on one worker; ``whole`` is the number of its accelerators."""

    worker: WorkerName
    rack: RackName
    accelerators: int
    cores: int
    memory_gb: int
    whole: int = 0

    def parts(self, spec: JobSpec) -> int:
        """How many parts of a job fit."""
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

    def take(self, spec: JobSpec, parts: int = 1) -> None:
        """Takes the room of some parts; a negative number gives it back."""
        self.accelerators -= spec.accelerators_per_part * parts
        self.cores -= spec.cores_per_part * parts
        self.memory_gb -= spec.memory_gb_per_part * parts

    def copy(self) -> FreeSpace:
        """A space that changes independently of this one."""
        return FreeSpace(
            self.worker, self.rack, self.accelerators, self.cores, self.memory_gb, self.whole
        )


Score = tuple[int, ...]


def place_gang(spec: JobSpec, workers: Iterable[FreeSpace]) -> tuple[PartPlacement, ...] | None:
    """Finds workers for all parts, or returns None.

    Within a rack, the fullest workers come first, so that whole workers stay free. An adjacent
    gang goes into the rack where it breaks the fewest whole workers, and of these into the
    fullest one.
    """
    return place_best(spec, workers, _fewest_broken)


def place_best(
    spec: JobSpec,
    workers: Iterable[FreeSpace],
    score: Callable[[JobSpec, Sequence[FreeSpace], Sequence[tuple[FreeSpace, int]]], Score],
) -> tuple[PartPlacement, ...] | None:
    """Finds the placement of the lowest score, given a rack and the parts on its workers."""
    best: tuple[Score, list[tuple[FreeSpace, int]]] | None = None
    for rack in group_racks(spec, workers):
        chosen = _fill(spec, rack)
        if chosen is None:
            continue
        scored = score(spec, rack, chosen)
        if best is None or scored < best[0]:
            best = (scored, chosen)
    if best is None:
        return None
    names = [space.worker for space, count in best[1] for _ in range(count)]
    return tuple(PartPlacement(part, worker) for part, worker in enumerate(names))


def group_racks(spec: JobSpec, workers: Iterable[FreeSpace]) -> list[list[FreeSpace]]:
    """The groups of workers within which all parts of a job must lie."""
    racks: dict[str, list[FreeSpace]] = defaultdict(list)
    for worker in workers:
        racks[worker.rack if spec.adjacent else ""].append(worker)
    return list(racks.values())


def _fill(spec: JobSpec, rack: list[FreeSpace]) -> list[tuple[FreeSpace, int]] | None:
    chosen: list[tuple[FreeSpace, int]] = []
    left = spec.parts
    for worker in sorted(rack, key=lambda w: (w.accelerators, w.worker)):
        count = min(worker.parts(spec), left)
        if count == 0:
            continue
        chosen.append((worker, count))
        left -= count
        if left == 0:
            return chosen
    return None


def _fewest_broken(
    spec: JobSpec, rack: Sequence[FreeSpace], chosen: Sequence[tuple[FreeSpace, int]]
) -> Score:
    broken = 0
    for space, count in chosen:
        taken = count * spec.accelerators_per_part
        if 0 < taken < space.whole == space.accelerators:
            broken += 1
    return broken, sum(worker.accelerators for worker in rack)
