"""Blocks of adjacent accelerators and the room that workers have for them.

A block lies in one rack. One that fits on a worker lies on one worker; a larger one takes whole
workers and, for what is left over, a part of one more worker of the same rack. So a block of 20
in a rack of workers with 8 accelerators takes 8, 8 and 4.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Sequence


class Chunk(msgspec.Struct, frozen=True):
    """The part of a block that lies on one worker."""

    worker: WorkerName
    accelerators: int


class RackRoom(msgspec.Struct):
    """A rack's workers with the accelerators of each that blocks may still take."""

    rack: RackName
    per_worker: int
    room: dict[WorkerName, int]

    def take(self, chunks: Sequence[Chunk]) -> None:
        """Takes the room of a block."""
        for chunk in chunks:
            self.room[chunk.worker] -= chunk.accelerators

    def give_back(self, chunks: Sequence[Chunk]) -> None:
        """Gives the room of a block back."""
        for chunk in chunks:
            self.room[chunk.worker] += chunk.accelerators


def split_block(size: int, per_worker: int) -> tuple[int, ...]:
    """The sizes of a block's chunks, largest first.

    For example ``split_block(20, 8)`` is ``(8, 8, 4)``.
    """
    whole, rest = divmod(size, per_worker)
    return (per_worker,) * whole + ((rest,) if rest else ())


def find_block(size: int, racks: Sequence[RackRoom]) -> tuple[RackRoom, tuple[Chunk, ...]] | None:
    """Finds the place for a block that leaves the least room unusable, or None.

    A small block goes to the fullest worker that holds it, a large one to the rack that is left
    with the fewest whole workers.
    """
    best: tuple[tuple[int, int], RackRoom, tuple[Chunk, ...]] | None = None
    for rack in racks:
        chunks = find_block_in_rack(size, rack)
        if chunks is None:
            continue
        left = sum(rack.room[chunk.worker] - chunk.accelerators for chunk in chunks)
        whole = 0
        if len(chunks) > 1:
            whole = sum(1 for room in rack.room.values() if room >= rack.per_worker)
        if best is None or (left, whole) < best[0]:
            best = ((left, whole), rack, chunks)
    return None if best is None else (best[1], best[2])


def find_block_in_rack(size: int, rack: RackRoom) -> tuple[Chunk, ...] | None:
    """Finds the fullest workers of a rack that hold a block, or None."""
    if rack.per_worker <= 0:
        return None
    chosen: list[Chunk] = []
    used: set[WorkerName] = set()
    for accelerators in split_block(size, rack.per_worker):
        worker: WorkerName | None = None
        for name, room in rack.room.items():
            if room < accelerators or name in used:
                continue
            if worker is None or room < rack.room[worker]:
                worker = name
        if worker is None:
            return None
        used.add(worker)
        chosen.append(Chunk(worker, accelerators))
    return tuple(chosen)
