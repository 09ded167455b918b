"""The blocks of a guarantee: in use, unused, and where an unused one could lie."""

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
    """A chunk of an anchored block: its worker, and how much of it guaranteed jobs use.

    ``worker`` is None while no worker of the rack has room for the chunk.
    """

    worker: WorkerName | None
    size: int
    used: int = 0

    def copy(self) -> Slot:
        """A slot that changes independently of this one."""
        return Slot(self.worker, self.size, self.used)


class AnchoredBlock(msgspec.Struct):
    """A block in use, fixed to a rack."""

    rack: RackName
    slots: list[Slot]

    def free_slot_for(self, worker: WorkerName, accelerators: int, wanted: int) -> Slot | None:
        """The slot without a worker that suits ``wanted`` accelerators best, if any."""
        if any(slot.worker == worker for slot in self.slots):
            return None
        open_slots = [s for s in self.slots if s.worker is None and s.size >= accelerators]
        return min(open_slots, key=lambda s: (s.size < wanted, abs(s.size - wanted)), default=None)


class FloatingBlock(msgspec.Struct, frozen=True):
    """An unused block; ``chunks`` is its present place, empty if there is none."""

    team: TeamName
    size: int
    rack: RackName = RackName("")
    chunks: tuple[Chunk, ...] = ()


class BlockKind(IntEnum):
    """How a place for a block stands to the packing; the lower one is taken at equal cost."""

    ANCHORED = 0
    """In a block that the team uses already."""

    OWN = 1
    """Where the standing packing keeps a block of the team."""

    FREE = 2
    """On room that no block takes."""

    MOVABLE = 3
    """On room of other teams' floating blocks, which would have to go elsewhere."""


class BlockCandidate(msgspec.Struct, frozen=True):
    """A possible place for a block, with the parts of a job that each worker could hold."""

    kind: BlockKind
    rack: RackName
    parts: dict[WorkerName, int]

    @property
    def capacity(self) -> int:
        """How many parts fit in all."""
        return sum(self.parts.values())


def make_candidate(
    kind: BlockKind, rack: RackName, chunks: Sequence[Chunk], part_size: int
) -> BlockCandidate:
    """A place made of the chunks of a block."""
    parts = {chunk.worker: chunk.accelerators // part_size for chunk in chunks}
    return BlockCandidate(kind, rack, parts)
