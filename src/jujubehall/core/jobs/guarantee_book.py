"""Keeps the standing packing of one zone's guarantees.

Every guaranteed block is either anchored, when guaranteed jobs of its team run in it, or
floating: it is unused, and a feasible place is kept for it on space that holds only free
accelerators or borrowed, preemptible work. Borrowed work plays no part here. A job is guaranteed
work if its parts fit into its team's blocks and all floating blocks can still be packed.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.blocks import Chunk
from jujubehall.core.jobs.blocks import RackRoom
from jujubehall.core.jobs.blocks import find_block
from jujubehall.core.jobs.blocks import find_block_in_rack
from jujubehall.core.jobs.blocks import split_block
from jujubehall.core.jobs.guaranteed_blocks import AnchoredBlock
from jujubehall.core.jobs.guaranteed_blocks import BlockCandidate
from jujubehall.core.jobs.guaranteed_blocks import BlockKind
from jujubehall.core.jobs.guaranteed_blocks import FloatingBlock
from jujubehall.core.jobs.guaranteed_blocks import Slot
from jujubehall.core.jobs.guaranteed_blocks import make_candidate
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.job import PartPlacement
    from jujubehall.core.jobs.zone_view import TeamView
    from jujubehall.core.jobs.zone_view import WorkerView


class _Saved(msgspec.Struct):
    rooms: dict[RackName, dict[WorkerName, int]]
    floating: dict[TeamName, list[FloatingBlock]]
    anchored: list[AnchoredBlock]


class GuaranteeBook:
    """The anchored and floating blocks of all teams in one zone.

    ``hints`` are the floating blocks of an earlier round: a block stays where it was if it can,
    so that the packing found once remains the proof that the guarantees can be kept.
    """

    def __init__(
        self,
        workers: Sequence[WorkerView],
        teams: Sequence[TeamView],
        hints: Sequence[FloatingBlock] = (),
    ) -> None:
        self._racks: dict[RackName, RackRoom] = {}
        self._rack_of: dict[WorkerName, RackName] = {}
        self._usable = {worker.name for worker in workers if worker.usable}
        for worker in workers:
            rack = self._racks.setdefault(worker.rack, RackRoom(worker.rack, 0, {}))
            rack.per_worker = max(rack.per_worker, worker.capacity.accelerators)
            self._rack_of[worker.name] = worker.rack
            if worker.usable:
                room = worker.capacity.accelerators - worker.foreign.accelerators
                rack.room[worker.name] = room
        self._shape = {team.name: team.guarantee for team in teams if team.guarantee is not None}
        self._anchored: dict[TeamName, list[AnchoredBlock]] = {name: [] for name in self._shape}
        self._floating: dict[TeamName, list[FloatingBlock]] = {}
        for name, shape in self._shape.items():
            block = FloatingBlock(name, shape.accelerators_per_block)
            self._floating[name] = [block] * shape.blocks
        self._hints: dict[TeamName, list[FloatingBlock]] = {}
        for hint in hints:
            self._hints.setdefault(hint.team, []).append(hint)

    @property
    def floating(self) -> list[FloatingBlock]:
        """All unused blocks, with their places."""
        return [block for blocks in self._floating.values() for block in blocks]

    @property
    def unpacked(self) -> list[FloatingBlock]:
        """The unused blocks that have no place: these guarantees can't be kept now."""
        return [block for block in self.floating if not block.chunks]

    def anchored(self, team: TeamName) -> Sequence[AnchoredBlock]:
        """A team's blocks in use."""
        return self._anchored.get(team, ())

    def has_unused(self, team: TeamName, accelerators: int) -> bool:
        """Whether a part of so many accelerators may still fit into a team's guarantee."""
        if self._floating.get(team):
            return True
        blocks = self._anchored.get(team, ())
        return any(slot.size - slot.used >= accelerators for b in blocks for slot in b.slots)

    def pack(self) -> None:
        """Gives every chunk of the used and of the unused blocks a place, if possible its earlier.

        Called once, after all jobs that were guaranteed before are anchored.
        """
        for used in (block for blocks in self._anchored.values() for block in blocks):
            self._fill(used)
        for team, blocks in self._floating.items():
            hints = self._hints.get(team, [])
            for index, block in enumerate(blocks):
                if block.chunks:
                    continue
                hint = next((h for h in hints if self._still_valid(block, h)), None)
                if hint is None:
                    continue
                hints.remove(hint)
                self._racks[hint.rack].take(hint.chunks)
                blocks[index] = hint
        if not self._place_missing():
            self._pack_anew()

    def anchor(
        self, spec: JobSpec, placement: Sequence[PartPlacement], *, forced: bool = False
    ) -> bool:
        """Makes a job guaranteed work if it fits and all floating blocks still pack.

        ``forced`` is for jobs that were guaranteed before: they stay so, even where the older
        scheduler or a smaller guarantee has taken their room meanwhile.
        """
        team = spec.team
        if team not in self._shape or spec.accelerators_per_part == 0:
            return False
        saved = self._save(team)
        unpacked = len(self.unpacked)
        opened = self._use_slots(spec, placement)
        if opened is not None and not forced:
            entered = len(opened) + self._blocks_entered(team, saved.anchored)
            if entered > self.blocks_needed(spec):
                opened = None
        done = opened is not None and self._open(team, opened, forced)
        if done and not forced:
            done = self._repair(saved.rooms) and len(self.unpacked) <= unpacked
        if not done:
            self._restore(team, saved)
        return done

    def candidates(self, spec: JobSpec) -> list[BlockCandidate]:
        """The places where a block of a job's team lies or could lie, with the parts it holds."""
        size = spec.accelerators_per_part
        found = []
        for block in self._anchored[spec.team]:
            parts = Counter[WorkerName]()
            for slot in block.slots:
                if slot.worker in self._usable:
                    parts[slot.worker] += (slot.size - slot.used) // size
            found.append(BlockCandidate(BlockKind.ANCHORED, block.rack, dict(parts)))
        for floating in self._floating[spec.team]:
            if floating.chunks:
                found.append(make_candidate(BlockKind.OWN, floating.rack, floating.chunks, size))
        if self._floating[spec.team]:
            found += self._other_places(self._floating[spec.team][0].size, size)
        return [candidate for candidate in found if candidate.capacity]

    def blocks_needed(self, spec: JobSpec) -> int:
        """How many blocks a job fills; scattered over more, it would waste the guarantee."""
        parts_per_block = (
            self._shape[spec.team].accelerators_per_block // spec.accelerators_per_part
        )
        return -(-spec.parts // max(1, parts_per_block))

    def claimed(self) -> Counter[WorkerName]:
        """The accelerators of each usable worker that blocks take, used or not."""
        claimed = Counter[WorkerName]()
        for blocks in self._anchored.values():
            for slot in (slot for block in blocks for slot in block.slots):
                if slot.worker in self._usable:
                    claimed[slot.worker] += slot.size
        for floating in self.floating:
            for chunk in floating.chunks:
                claimed[chunk.worker] += chunk.accelerators
        return claimed

    def _other_places(self, block_size: int, part_size: int) -> list[BlockCandidate]:
        """Where an unused block could lie instead, if need be by moving other floating blocks."""
        packed = Counter[WorkerName]()
        for block in self.floating:
            for chunk in block.chunks:
                packed[chunk.worker] += chunk.accelerators
        found = []
        for rack in self._racks.values():
            chunks: Sequence[Chunk] | None
            if block_size > rack.per_worker:
                chunks = find_block_in_rack(block_size, rack)
                if chunks:
                    found.append(make_candidate(BlockKind.FREE, rack.rack, chunks, part_size))
                continue
            for worker, room in rack.room.items():
                chunks = (Chunk(worker, block_size),)
                if room >= block_size:
                    found.append(make_candidate(BlockKind.FREE, rack.rack, chunks, part_size))
                elif room + packed[worker] >= block_size:
                    found.append(make_candidate(BlockKind.MOVABLE, rack.rack, chunks, part_size))
        return found

    def _still_valid(self, block: FloatingBlock, hint: FloatingBlock) -> bool:
        rack = self._racks.get(hint.rack)
        if rack is None or hint.size != block.size or not hint.chunks:
            return False
        return all(rack.room.get(c.worker, 0) >= c.accelerators for c in hint.chunks)

    def _place_missing(self) -> bool:
        """Finds places for floating blocks without one, the largest first."""
        missing = [
            (block.size, team, index)
            for team, blocks in self._floating.items()
            for index, block in enumerate(blocks)
            if not block.chunks
        ]
        placed_all = True
        racks = list(self._racks.values())
        for size, team, index in sorted(missing, key=lambda entry: -entry[0]):
            found = find_block(size, racks)
            if found is None:
                placed_all = False
                continue
            rack, chunks = found
            rack.take(chunks)
            self._floating[team][index] = FloatingBlock(team, size, rack.rack, chunks)
        return placed_all

    def _pack_anew(self) -> None:
        """Packs all floating blocks from nothing, and keeps whichever packing misses less."""
        rooms = {name: dict(rack.room) for name, rack in self._racks.items()}
        before = {team: list(blocks) for team, blocks in self._floating.items()}
        missed = len(self.unpacked)
        for team, blocks in self._floating.items():
            for index, block in enumerate(blocks):
                self._remove(block)
                blocks[index] = FloatingBlock(team, block.size)
        self._place_missing()
        if len(self.unpacked) > missed:
            self._floating = before
            for name, rack in self._racks.items():
                rack.room = rooms[name]

    def _repair(self, before: dict[RackName, dict[WorkerName, int]]) -> bool:
        """Moves floating blocks away from workers that are now claimed twice."""
        over = {
            worker
            for rack in self._racks.values()
            for worker, room in rack.room.items()
            if room < 0 and room < before[rack.rack][worker]
        }
        for team, blocks in self._floating.items():
            for index, block in enumerate(blocks):
                if not over or over.isdisjoint(chunk.worker for chunk in block.chunks):
                    continue
                self._remove(block)
                blocks[index] = FloatingBlock(team, block.size)
                over -= {c.worker for c in block.chunks if self._room(c.worker) >= 0}
        if over:
            return False
        if not self._place_missing():
            self._pack_anew()
        return True

    def _room(self, worker: WorkerName) -> int:
        return self._racks[self._rack_of[worker]].room[worker]

    def _remove(self, block: FloatingBlock) -> None:
        if block.chunks:
            self._racks[block.rack].give_back(block.chunks)

    def _use_slots(
        self, spec: JobSpec, placement: Sequence[PartPlacement]
    ) -> list[AnchoredBlock] | None:
        """Puts all parts into slots; returns the newly opened blocks, None if they don't fit."""
        size = spec.accelerators_per_part
        opened: list[AnchoredBlock] = []
        parts = Counter(part.worker for part in placement)
        for worker, count in sorted(parts.items(), key=lambda entry: (-entry[1], entry[0])):
            left = self._use_anchored(spec, worker, count)
            while left > 0:
                slot = self._open_slot(spec.team, worker, size, left * size, opened)
                if slot is None:
                    return None
                slot.worker = worker
                fitting = min(left, slot.size // size)
                slot.used += fitting * size
                left -= fitting
        return opened

    def _blocks_entered(self, team: TeamName, before: Sequence[AnchoredBlock]) -> int:
        """How many blocks that were in use already have got parts of a further job."""
        return sum(
            1
            for old, new in zip(before, self._anchored[team], strict=True)
            if any(a.used != b.used for a, b in zip(old.slots, new.slots, strict=True))
        )

    def _use_anchored(self, spec: JobSpec, worker: WorkerName, count: int) -> int:
        slots = [s for b in self._anchored[spec.team] for s in b.slots if s.worker == worker]
        for slot in sorted(slots, key=lambda s: s.size - s.used):
            fitting = min(count, (slot.size - slot.used) // spec.accelerators_per_part)
            slot.used += fitting * spec.accelerators_per_part
            count -= fitting
        return count

    def _open_slot(
        self,
        team: TeamName,
        worker: WorkerName,
        size: int,
        wanted: int,
        opened: list[AnchoredBlock],
    ) -> Slot | None:
        rack = self._racks.get(self._rack_of.get(worker, RackName("")))
        shape = self._shape[team]
        if rack is None or rack.per_worker == 0:
            return None
        for block in (*self._anchored[team], *opened):
            slot = block.free_slot_for(worker, size, wanted) if block.rack == rack.rack else None
            if slot is None:
                continue
            if block not in opened and worker in rack.room:
                rack.room[worker] -= slot.size
            return slot
        if len(opened) == len(self._floating[team]):
            return None
        sizes = split_block(shape.accelerators_per_block, rack.per_worker)
        if size > sizes[0]:
            return None
        opened.append(AnchoredBlock(rack.rack, [Slot(None, part) for part in sizes]))
        return opened[-1].free_slot_for(worker, size, wanted)

    def _open(self, team: TeamName, opened: list[AnchoredBlock], forced: bool) -> bool:
        """Turns floating blocks into the opened ones and claims their room.

        Forced ones get workers for their unused chunks in ``pack``, since jobs that are anchored
        after this one may already run in them.
        """
        for block in opened:
            self._remove_floating(team, block)
            self._anchored[team].append(block)
            rack = self._racks[block.rack]
            for slot in block.slots:
                if slot.worker in rack.room:
                    rack.room[slot.worker] -= slot.size
        return forced or all(self._fill(block) for block in opened)

    def _fill(self, block: AnchoredBlock) -> bool:
        """Finds workers for the chunks of an opened block that hold no part yet."""
        rack = self._racks[block.rack]
        for slot in block.slots:
            if slot.worker is not None:
                continue
            used = {other.worker for other in block.slots}
            fitting = [w for w, r in rack.room.items() if r >= slot.size and w not in used]
            if not fitting:
                return False
            slot.worker = min(fitting, key=lambda w: (rack.room[w], w))
            rack.room[slot.worker] -= slot.size
        return True

    def _remove_floating(self, team: TeamName, block: AnchoredBlock) -> None:
        """Drops the floating block that lies nearest to an opened one."""
        workers = {slot.worker for slot in block.slots}
        blocks = self._floating[team]

        def distance(floating: FloatingBlock) -> tuple[int, bool]:
            shared = sum(1 for chunk in floating.chunks if chunk.worker in workers)
            return -shared, bool(floating.chunks)

        nearest = min(range(len(blocks)), key=lambda index: distance(blocks[index]))
        self._remove(blocks.pop(nearest))

    def _save(self, team: TeamName) -> _Saved:
        return _Saved(
            {name: dict(rack.room) for name, rack in self._racks.items()},
            {name: list(blocks) for name, blocks in self._floating.items()},
            [AnchoredBlock(b.rack, [s.copy() for s in b.slots]) for b in self._anchored[team]],
        )

    def _restore(self, team: TeamName, saved: _Saved) -> None:
        for name, room in saved.rooms.items():
            self._racks[name].room = room
        self._floating = saved.floating
        self._anchored[team] = saved.anchored
