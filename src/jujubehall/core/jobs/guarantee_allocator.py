"""Allocates the guaranteed blocks of the teams in one zone and keeps their packing feasible.

A guaranteed block is allocated while guaranteed jobs of its team run in it. For every unallocated
block, a feasible location is maintained on capacity that is free or used only by borrowed work,
which can be preempted. Borrowed work is therefore ignored here. A job is guaranteed work if its
parts fit into its team's blocks and all unallocated blocks can still be packed.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.blocks import Chunk
from jujubehall.core.jobs.blocks import RackCapacity
from jujubehall.core.jobs.blocks import find_block
from jujubehall.core.jobs.blocks import find_block_in_rack
from jujubehall.core.jobs.blocks import split_block
from jujubehall.core.jobs.guaranteed_blocks import AllocatedBlock
from jujubehall.core.jobs.guaranteed_blocks import BlockCandidate
from jujubehall.core.jobs.guaranteed_blocks import CandidateKind
from jujubehall.core.jobs.guaranteed_blocks import Slot
from jujubehall.core.jobs.guaranteed_blocks import UnallocatedBlock
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


class _Snapshot(msgspec.Struct):
    """State of the allocator before an allocation, restored if the allocation fails."""

    available_by_rack: dict[RackName, dict[WorkerName, int]]
    unallocated: dict[TeamName, list[UnallocatedBlock]]
    allocated: list[AllocatedBlock]


class GuaranteeAllocator:
    """Tracks the allocated and unallocated guaranteed blocks of all teams in one zone.

    ``previous_blocks`` are the unallocated blocks of the previous round. A block keeps its location
    if possible, so that a packing that was found once remains proof that all guarantees can be
    met.
    """

    def __init__(
        self,
        workers: Sequence[WorkerView],
        teams: Sequence[TeamView],
        previous_blocks: Sequence[UnallocatedBlock] = (),
    ) -> None:
        self._racks: dict[RackName, RackCapacity] = {}
        self._rack_of: dict[WorkerName, RackName] = {}
        self._usable = {worker.name for worker in workers if worker.usable}
        for worker in workers:
            rack = self._racks.setdefault(worker.rack, RackCapacity(worker.rack, 0, {}))
            rack.accelerators_per_worker = max(
                rack.accelerators_per_worker, worker.capacity.accelerators
            )
            self._rack_of[worker.name] = worker.rack
            if worker.usable:
                available = worker.capacity.accelerators - worker.foreign.accelerators
                rack.available[worker.name] = available
        self._shapes = {team.name: team.guarantee for team in teams if team.guarantee is not None}
        self._allocated: dict[TeamName, list[AllocatedBlock]] = {name: [] for name in self._shapes}
        self._unallocated: dict[TeamName, list[UnallocatedBlock]] = {}
        for name, shape in self._shapes.items():
            block = UnallocatedBlock(name, shape.accelerators_per_block)
            self._unallocated[name] = [block] * shape.blocks
        self._previous_blocks: dict[TeamName, list[UnallocatedBlock]] = {}
        for previous in previous_blocks:
            self._previous_blocks.setdefault(previous.team, []).append(previous)

    @property
    def unallocated(self) -> list[UnallocatedBlock]:
        """All unallocated blocks with their planned locations."""
        return [block for blocks in self._unallocated.values() for block in blocks]

    @property
    def unplaced(self) -> list[UnallocatedBlock]:
        """The unallocated blocks without a location; their guarantees can't be met now."""
        return [block for block in self.unallocated if not block.chunks]

    def allocated(self, team: TeamName) -> Sequence[AllocatedBlock]:
        """Returns a team's allocated blocks."""
        return self._allocated.get(team, ())

    def may_fit_part(self, team: TeamName, accelerators: int) -> bool:
        """Whether a part of ``accelerators`` accelerators may still fit a team's guarantee."""
        if self._unallocated.get(team):
            return True
        blocks = self._allocated.get(team, ())
        return any(slot.size - slot.used >= accelerators for b in blocks for slot in b.slots)

    def pack(self) -> None:
        """Assigns a worker to every chunk of the allocated and then of the unallocated blocks.

        Unallocated blocks keep their previous locations where possible. Must be called once, after
        blocks were allocated to all jobs that were guaranteed in an earlier round.
        """
        for allocated in (block for blocks in self._allocated.values() for block in blocks):
            self._assign_workers(allocated)
        for team, blocks in self._unallocated.items():
            previous_blocks = self._previous_blocks.get(team, [])
            for index, block in enumerate(blocks):
                if block.chunks:
                    continue
                previous = next((p for p in previous_blocks if self._can_keep(block, p)), None)
                if previous is None:
                    continue
                previous_blocks.remove(previous)
                self._racks[previous.rack].allocate(previous.chunks)
                blocks[index] = previous
        if not self._place_unplaced():
            self._repack()

    def allocate(
        self, spec: JobSpec, placement: Sequence[PartPlacement], *, forced: bool = False
    ) -> bool:
        """Allocates blocks to a job, making it guaranteed work; returns whether that succeeded.

        It fails without effect if the job doesn't fit into its team's blocks or if the remaining
        unallocated blocks could no longer be packed. Set ``forced`` for jobs that were guaranteed
        in an earlier round: they remain guaranteed even if the older scheduler has since taken
        their capacity or the guarantee was reduced.
        """
        team = spec.team
        if team not in self._shapes or spec.accelerators_per_part == 0:
            return False
        snapshot = self._take_snapshot(team)
        unplaced = len(self.unplaced)
        new_blocks = self._assign_slots(spec, placement)
        if new_blocks is not None and not forced:
            blocks_used = len(new_blocks) + self._existing_blocks_used(team, snapshot.allocated)
            if blocks_used > self.blocks_needed(spec):
                new_blocks = None
        succeeded = new_blocks is not None and self._commit_blocks(team, new_blocks, forced)
        if succeeded and not forced:
            succeeded = (
                self._resolve_overcommitment(snapshot.available_by_rack)
                and len(self.unplaced) <= unplaced
            )
        if not succeeded:
            self._restore(team, snapshot)
        return succeeded

    def candidates(self, spec: JobSpec) -> list[BlockCandidate]:
        """Returns current and possible locations of the team's blocks that can hold job parts."""
        size = spec.accelerators_per_part
        found = []
        for block in self._allocated[spec.team]:
            parts = Counter[WorkerName]()
            for slot in block.slots:
                if slot.worker in self._usable:
                    parts[slot.worker] += (slot.size - slot.used) // size
            found.append(BlockCandidate(CandidateKind.ALLOCATED, block.rack, dict(parts)))
        for unallocated in self._unallocated[spec.team]:
            if unallocated.chunks:
                found.append(
                    make_candidate(
                        CandidateKind.PLANNED, unallocated.rack, unallocated.chunks, size
                    )
                )
        if self._unallocated[spec.team]:
            found += self._alternative_locations(self._unallocated[spec.team][0].size, size)
        return [candidate for candidate in found if candidate.total_parts]

    def blocks_needed(self, spec: JobSpec) -> int:
        """Returns how many blocks a job needs; spread over more, it would waste the guarantee."""
        parts_per_block = (
            self._shapes[spec.team].accelerators_per_block // spec.accelerators_per_part
        )
        return -(-spec.parts // max(1, parts_per_block))

    def block_accelerators(self) -> Counter[WorkerName]:
        """Returns the accelerators of each usable worker that all blocks together occupy."""
        block_accelerators = Counter[WorkerName]()
        for blocks in self._allocated.values():
            for slot in (slot for block in blocks for slot in block.slots):
                if slot.worker in self._usable:
                    block_accelerators[slot.worker] += slot.size
        for unallocated in self.unallocated:
            for chunk in unallocated.chunks:
                block_accelerators[chunk.worker] += chunk.accelerators
        return block_accelerators

    def _alternative_locations(self, block_size: int, part_size: int) -> list[BlockCandidate]:
        """Returns further locations for an unallocated block.

        Some of them require other unallocated blocks to be relocated.
        """
        packed = Counter[WorkerName]()
        for block in self.unallocated:
            for chunk in block.chunks:
                packed[chunk.worker] += chunk.accelerators
        found = []
        for rack in self._racks.values():
            chunks: Sequence[Chunk] | None
            if block_size > rack.accelerators_per_worker:
                chunks = find_block_in_rack(block_size, rack)
                if chunks:
                    found.append(make_candidate(CandidateKind.FREE, rack.rack, chunks, part_size))
                continue
            for worker, available in rack.available.items():
                chunks = (Chunk(worker, block_size),)
                if available >= block_size:
                    found.append(make_candidate(CandidateKind.FREE, rack.rack, chunks, part_size))
                elif available + packed[worker] >= block_size:
                    found.append(
                        make_candidate(CandidateKind.OVERLAPPING, rack.rack, chunks, part_size)
                    )
        return found

    def _can_keep(self, block: UnallocatedBlock, previous: UnallocatedBlock) -> bool:
        rack = self._racks.get(previous.rack)
        if rack is None or previous.size != block.size or not previous.chunks:
            return False
        return all(rack.available.get(c.worker, 0) >= c.accelerators for c in previous.chunks)

    def _place_unplaced(self) -> bool:
        """Finds locations for unplaced blocks, largest first; returns whether all were placed."""
        missing = [
            (block.size, team, index)
            for team, blocks in self._unallocated.items()
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
            rack.allocate(chunks)
            self._unallocated[team][index] = UnallocatedBlock(team, size, rack.rack, chunks)
        return placed_all

    def _repack(self) -> None:
        """Packs all unallocated blocks from scratch; reverts if that places fewer of them."""
        available_by_rack = {name: dict(rack.available) for name, rack in self._racks.items()}
        before = {team: list(blocks) for team, blocks in self._unallocated.items()}
        previously_unplaced = len(self.unplaced)
        for team, blocks in self._unallocated.items():
            for index, block in enumerate(blocks):
                self._release(block)
                blocks[index] = UnallocatedBlock(team, block.size)
        self._place_unplaced()
        if len(self.unplaced) > previously_unplaced:
            self._unallocated = before
            for name, rack in self._racks.items():
                rack.available = available_by_rack[name]

    def _resolve_overcommitment(self, before: dict[RackName, dict[WorkerName, int]]) -> bool:
        """Relocates unallocated blocks from workers that a new allocation has overcommitted.

        ``before`` is the available capacity before the allocation. Returns False if a worker stays
        overcommitted.
        """
        overcommitted = {
            worker
            for rack in self._racks.values()
            for worker, available in rack.available.items()
            if available < 0 and available < before[rack.rack][worker]
        }
        for team, blocks in self._unallocated.items():
            for index, block in enumerate(blocks):
                if not overcommitted or overcommitted.isdisjoint(
                    chunk.worker for chunk in block.chunks
                ):
                    continue
                self._release(block)
                blocks[index] = UnallocatedBlock(team, block.size)
                overcommitted -= {
                    c.worker for c in block.chunks if self._available_on(c.worker) >= 0
                }
        if overcommitted:
            return False
        if not self._place_unplaced():
            self._repack()
        return True

    def _available_on(self, worker: WorkerName) -> int:
        return self._racks[self._rack_of[worker]].available[worker]

    def _release(self, block: UnallocatedBlock) -> None:
        if block.chunks:
            self._racks[block.rack].release(block.chunks)

    def _assign_slots(
        self, spec: JobSpec, placement: Sequence[PartPlacement]
    ) -> list[AllocatedBlock] | None:
        """Assigns all parts to slots; returns the additional blocks needed, or None on failure."""
        size = spec.accelerators_per_part
        new_blocks: list[AllocatedBlock] = []
        parts = Counter(part.worker for part in placement)
        for worker, count in sorted(parts.items(), key=lambda entry: (-entry[1], entry[0])):
            parts_left = self._assign_to_allocated(spec, worker, count)
            while parts_left > 0:
                slot = self._find_or_open_slot(
                    spec.team, worker, size, parts_left * size, new_blocks
                )
                if slot is None:
                    return None
                slot.worker = worker
                fitting = min(parts_left, slot.size // size)
                slot.used += fitting * size
                parts_left -= fitting
        return new_blocks

    def _existing_blocks_used(self, team: TeamName, before: Sequence[AllocatedBlock]) -> int:
        """Counts the previously allocated blocks in which parts of the new job were placed."""
        return sum(
            1
            for old, new in zip(before, self._allocated[team], strict=True)
            if any(a.used != b.used for a, b in zip(old.slots, new.slots, strict=True))
        )

    def _assign_to_allocated(self, spec: JobSpec, worker: WorkerName, count: int) -> int:
        slots = [s for b in self._allocated[spec.team] for s in b.slots if s.worker == worker]
        for slot in sorted(slots, key=lambda s: s.size - s.used):
            fitting = min(count, (slot.size - slot.used) // spec.accelerators_per_part)
            slot.used += fitting * spec.accelerators_per_part
            count -= fitting
        return count

    def _find_or_open_slot(
        self,
        team: TeamName,
        worker: WorkerName,
        size: int,
        preferred_size: int,
        new_blocks: list[AllocatedBlock],
    ) -> Slot | None:
        rack = self._racks.get(self._rack_of.get(worker, RackName("")))
        shape = self._shapes[team]
        if rack is None or rack.accelerators_per_worker == 0:
            return None
        for block in (*self._allocated[team], *new_blocks):
            slot = (
                block.find_unassigned_slot(worker, size, preferred_size)
                if block.rack == rack.rack
                else None
            )
            if slot is None:
                continue
            if block not in new_blocks and worker in rack.available:
                rack.available[worker] -= slot.size
            return slot
        if len(new_blocks) == len(self._unallocated[team]):
            return None
        sizes = split_block(shape.accelerators_per_block, rack.accelerators_per_worker)
        if size > sizes[0]:
            return None
        new_blocks.append(AllocatedBlock(rack.rack, [Slot(None, part) for part in sizes]))
        return new_blocks[-1].find_unassigned_slot(worker, size, preferred_size)

    def _commit_blocks(
        self, team: TeamName, new_blocks: list[AllocatedBlock], forced: bool
    ) -> bool:
        """Replaces unallocated blocks by the newly allocated ones and takes up their capacity.

        If ``forced``, workers for the unused slots are chosen later in ``pack``, since jobs that
        are processed after this one may already run in them.
        """
        for block in new_blocks:
            self._remove_unallocated(team, block)
            self._allocated[team].append(block)
            rack = self._racks[block.rack]
            for slot in block.slots:
                if slot.worker in rack.available:
                    rack.available[slot.worker] -= slot.size
        return forced or all(self._assign_workers(block) for block in new_blocks)

    def _assign_workers(self, block: AllocatedBlock) -> bool:
        """Assigns workers to the slots of an allocated block that have none yet."""
        rack = self._racks[block.rack]
        for slot in block.slots:
            if slot.worker is not None:
                continue
            used = {other.worker for other in block.slots}
            fitting = [w for w, r in rack.available.items() if r >= slot.size and w not in used]
            if not fitting:
                return False
            slot.worker = min(fitting, key=lambda w: (rack.available[w], w))
            rack.available[slot.worker] -= slot.size
        return True

    def _remove_unallocated(self, team: TeamName, block: AllocatedBlock) -> None:
        """Removes the unallocated block that shares the most workers with an allocated one."""
        workers = {slot.worker for slot in block.slots}
        blocks = self._unallocated[team]

        def distance(unallocated: UnallocatedBlock) -> tuple[int, bool]:
            shared = sum(1 for chunk in unallocated.chunks if chunk.worker in workers)
            return -shared, bool(unallocated.chunks)

        nearest = min(range(len(blocks)), key=lambda index: distance(blocks[index]))
        self._release(blocks.pop(nearest))

    def _take_snapshot(self, team: TeamName) -> _Snapshot:
        return _Snapshot(
            {name: dict(rack.available) for name, rack in self._racks.items()},
            {name: list(blocks) for name, blocks in self._unallocated.items()},
            [AllocatedBlock(b.rack, [s.copy() for s in b.slots]) for b in self._allocated[team]],
        )

    def _restore(self, team: TeamName, snapshot: _Snapshot) -> None:
        for name, available in snapshot.available_by_rack.items():
            self._racks[name].available = available
        self._unallocated = snapshot.unallocated
        self._allocated[team] = snapshot.allocated
