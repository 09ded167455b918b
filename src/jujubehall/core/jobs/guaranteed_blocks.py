"""Guaranteed blocks, allocated and unallocated, and candidate locations for them."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.blocks import Chunk
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Sequence


class Slot(msgspec.Struct):
    """A chunk of an allocated block: its worker, its size and its use in accelerators.

    ``used`` counts the accelerators that guaranteed jobs use. ``worker`` is None until a worker has
    been assigned, which fails while no worker of the rack has enough capacity.
    """

    worker: WorkerName | None
    size: int
    used: int = 0

    def copy(self) -> Slot:
        """Returns an independent copy."""
        return Slot(self.worker, self.size, self.used)


class AllocatedBlock(msgspec.Struct):
    """A block in which guaranteed jobs run; it can't leave its rack."""

    rack: RackName
    slots: list[Slot]

    def find_unassigned_slot(
        self, worker: WorkerName, accelerators: int, preferred_size: int
    ) -> Slot | None:
        """Returns the best slot to assign to ``worker``, or None.

        The slot has no worker yet and holds at least ``accelerators``; slots that hold
        ``preferred_size`` accelerators are preferred, the closest in size first. A worker holds at
        most one slot of a block.
        """
        if any(slot.worker == worker for slot in self.slots):
            return None
        unassigned = [s for s in self.slots if s.worker is None and s.size >= accelerators]
        return min(
            unassigned,
            key=lambda s: (s.size < preferred_size, abs(s.size - preferred_size)),
            default=None,
        )


class UnallocatedBlock(msgspec.Struct, frozen=True):
    """A block in which no guaranteed job runs.

    ``chunks`` is its planned location in ``rack``, empty if it has none. ``size`` is in
    accelerators.
    """

    team: TeamName
    size: int
    rack: RackName = RackName("")
    chunks: tuple[Chunk, ...] = ()


class CandidateKind(IntEnum):
    """How a candidate location relates to the current packing; lower values win ties on cost."""

    ALLOCATED = 0
    """Within a block that is already allocated to the team's jobs."""

    PLANNED = 1
    """The planned location of an unallocated block of the team."""

    FREE = 2
    """On capacity that no block occupies."""

    OVERLAPPING = 3
    """Overlaps unallocated blocks, which would have to be relocated."""


class BlockCandidate(msgspec.Struct, frozen=True):
    """A candidate location for a block, with the number of job parts that each worker can hold."""

    kind: CandidateKind
    rack: RackName
    parts_by_worker: dict[WorkerName, int]

    @property
    def total_parts(self) -> int:
        """The number of parts that fit on all workers together."""
        return sum(self.parts_by_worker.values())


def make_candidate(
    kind: CandidateKind, rack: RackName, chunks: Sequence[Chunk], part_size: int
) -> BlockCandidate:
    """Makes a candidate from the chunks of a block."""
    parts_by_worker = {chunk.worker: chunk.accelerators // part_size for chunk in chunks}
    return BlockCandidate(kind, rack, parts_by_worker)
