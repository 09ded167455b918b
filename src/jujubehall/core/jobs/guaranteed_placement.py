"""Finds the cheapest placement for a job within its team's guaranteed blocks."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.guaranteed_blocks import CandidateKind
from jujubehall.core.jobs.preemption import plan_preemption
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from jujubehall.core.jobs.guarantee_allocator import GuaranteeAllocator
    from jujubehall.core.jobs.guaranteed_blocks import BlockCandidate
    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.placement import FreeResources
    from jujubehall.core.jobs.preemption import CandidateVictims
    from jujubehall.core.jobs.preemption import PreemptionPlan

MAX_CANDIDATES = 8
"""Number of cheapest candidates tried before falling back to the planned locations.

The planned locations can't fail, since the current packing already accounts for them.
"""


def plan_guaranteed_placement(
    spec: JobSpec,
    allocator: GuaranteeAllocator,
    spaces: Mapping[WorkerName, FreeResources],
    candidate_victims: CandidateVictims,
) -> PreemptionPlan | None:
    """Places a job in its team's blocks and allocates them, or returns None.

    Candidates whose preemptions lose the least work are tried first. A candidate is accepted only
    if all remaining unallocated blocks can still be packed.
    """
    candidates = allocator.candidates(spec)
    if allocator.blocks_needed(spec) == 1:
        large_enough = [
            candidate for candidate in candidates if candidate.total_parts >= spec.parts
        ]
        ranked_plans = _rank_candidates(spec, large_enough, spaces, candidate_victims)
        planned = [entry for entry in ranked_plans if entry[1].kind is CandidateKind.PLANNED]
        for single_plan, _ in ranked_plans[:MAX_CANDIDATES] + planned:
            if allocator.allocate(spec, single_plan.placement):
                return single_plan
        return None
    ranked = _rank_candidates(spec, candidates, spaces, candidate_victims)
    for block_set in _block_sets([candidate for _, candidate in ranked], spec):
        part_limits = _part_limits(block_set, spec.parts)
        chosen = [spaces[worker] for worker in part_limits]
        plan = plan_preemption(spec, chosen, candidate_victims, part_limits)
        if plan is not None and allocator.allocate(spec, plan.placement):
            return plan
    return None


def _rank_candidates(
    spec: JobSpec,
    candidates: Sequence[BlockCandidate],
    spaces: Mapping[WorkerName, FreeResources],
    candidate_victims: CandidateVictims,
) -> list[tuple[PreemptionPlan, BlockCandidate]]:
    """Returns a plan for each candidate that can hold parts of the job, cheapest first."""
    ranked = []
    for candidate in candidates:
        parts = min(spec.parts, candidate.total_parts)
        partial_spec = msgspec.structs.replace(spec, parts=parts) if parts < spec.parts else spec
        chosen = [spaces[worker] for worker in candidate.parts_by_worker]
        plan = plan_preemption(partial_spec, chosen, candidate_victims, candidate.parts_by_worker)
        if plan is not None:
            ranked.append((plan, candidate))
    free_accelerators = {worker: space.accelerators for worker, space in spaces.items()}
    ranked.sort(
        key=lambda e: (
            *e[0].rank,
            e[1].kind,
            sum(free_accelerators[w] for w in e[1].parts_by_worker),
        )
    )
    return ranked


def _block_sets(
    ranked: Sequence[BlockCandidate], spec: JobSpec
) -> Iterable[Sequence[BlockCandidate]]:
    """Yields sets of candidates that can hold the whole job, per rack if it must be adjacent.

    Sets that use free capacity come first, then sets of the team's own blocks only. Within a set,
    the largest candidates come before partly used blocks, so that the job is spread over no more
    blocks than it needs.
    """
    largest = max((candidate.total_parts for candidate in ranked), default=0)
    ranked = sorted(ranked, key=lambda candidate: candidate.total_parts < largest)
    racks = sorted({candidate.rack for candidate in ranked}) if spec.adjacent else [None]
    for kinds in (
        (CandidateKind.ALLOCATED, CandidateKind.PLANNED, CandidateKind.FREE),
        tuple(CandidateKind)[:2],
    ):
        for rack in racks:
            block_set = [c for c in ranked if c.kind in kinds and rack in (None, c.rack)]
            if sum(candidate.total_parts for candidate in block_set) >= spec.parts:
                yield block_set


def _part_limits(candidates: Sequence[BlockCandidate], parts: int) -> dict[WorkerName, int]:
    """Returns the parts that the first candidates allow per worker, until ``parts`` are covered."""
    part_limits = Counter[WorkerName]()
    for candidate in candidates:
        if part_limits.total() >= parts:
            break
        part_limits.update(candidate.parts_by_worker)
    return dict(part_limits)
