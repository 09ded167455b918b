"""Blocks of adjacent accelerators and the capacity that workers have for them.

A block lies within one rack. A block that fits on one worker is placed on a single worker. A
larger block takes whole workers and, for the remainder, part of one more worker of the same rack:
a block of 20 accelerators in a rack of 8-accelerator workers takes 8, 8 and 4.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Sequence


class Chunk(msgspec.Struct, frozen=True):
    """The accelerators of a block that lie on one worker."""

    worker: WorkerName
    accelerators: int


class RackCapacity(msgspec.Struct):
    """The capacity of a rack for blocks.

    ``available`` maps each worker to the number of its accelerators that blocks may still take.
    """

    rack: RackName
    accelerators_per_worker: int
    available: dict[WorkerName, int]

    def allocate(self, chunks: Sequence[Chunk]) -> None:
        """Subtracts a block's chunks from the available accelerators."""
        for chunk in chunks:
            self.available[chunk.worker] -= chunk.accelerators

    def release(self, chunks: Sequence[Chunk]) -> None:
        """Adds a block's chunks back to the available accelerators."""
        for chunk in chunks:
            self.available[chunk.worker] += chunk.accelerators


def split_block(size: int, accelerators_per_worker: int) -> tuple[int, ...]:
    """Returns the sizes of a block's chunks in accelerators, largest first.

    For example, ``split_block(20, 8)`` returns ``(8, 8, 4)``.
    """
    whole_workers, rest = divmod(size, accelerators_per_worker)
    return (accelerators_per_worker,) * whole_workers + ((rest,) if rest else ())


def find_block(
    size: int, racks: Sequence[RackCapacity]
) -> tuple[RackCapacity, tuple[Chunk, ...]] | None:
    """Finds the best-fit location for a block, or returns None if no rack can hold it.

    A block that fits on one worker goes to the worker with the least sufficient capacity. A larger
    block minimises the accelerators left over on its workers, then prefers the rack with the
    fewest entirely available workers.
    """
    best: tuple[tuple[int, int], RackCapacity, tuple[Chunk, ...]] | None = None
    for rack in racks:
        chunks = find_block_in_rack(size, rack)
        if chunks is None:
            continue
        leftover = sum(rack.available[chunk.worker] - chunk.accelerators for chunk in chunks)
        whole_workers = 0
        if len(chunks) > 1:
            whole_workers = sum(
                1
                for available in rack.available.values()
                if available >= rack.accelerators_per_worker
            )
        if best is None or (leftover, whole_workers) < best[0]:
            best = ((leftover, whole_workers), rack, chunks)
    return None if best is None else (best[1], best[2])


def find_block_in_rack(size: int, rack: RackCapacity) -> tuple[Chunk, ...] | None:
    """Finds the best-fit workers for a block within one rack, or returns None."""
    if rack.accelerators_per_worker <= 0:
        return None
    chosen: list[Chunk] = []
    used: set[WorkerName] = set()
    for accelerators in split_block(size, rack.accelerators_per_worker):
        worker: WorkerName | None = None
        for name, available in rack.available.items():
            if available < accelerators or name in used:
                continue
            if worker is None or available < rack.available[worker]:
                worker = name
        if worker is None:
            return None
        used.add(worker)
        chosen.append(Chunk(worker, accelerators))
    return tuple(chosen)
