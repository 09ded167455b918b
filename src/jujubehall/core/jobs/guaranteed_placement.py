"""Finds the cheapest place for a job within its team's guaranteed blocks."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.guaranteed_blocks import BlockKind
from jujubehall.core.jobs.preemption import plan_preemption
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from jujubehall.core.jobs.guarantee_book import GuaranteeBook
    from jujubehall.core.jobs.guaranteed_blocks import BlockCandidate
    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.placement import FreeSpace
    from jujubehall.core.jobs.preemption import Occupants
    from jujubehall.core.jobs.preemption import PreemptionPlan

MAX_ATTEMPTS = 8
"""Places tried beside those of the standing packing, which come last and can't fail."""


def plan_guaranteed(
    spec: JobSpec, book: GuaranteeBook, spaces: Mapping[WorkerName, FreeSpace], occupants: Occupants
) -> PreemptionPlan | None:
    """Places a job in its team's blocks and anchors it in the book, or returns None.

    The places that lose the least work are tried first; a place counts only if all other unused
    guarantees can still be packed.
    """
    candidates = book.candidates(spec)
    if book.blocks_needed(spec) == 1:
        whole = [candidate for candidate in candidates if candidate.capacity >= spec.parts]
        singles = _rank_candidates(spec, whole, spaces, occupants)
        own = [entry for entry in singles if entry[1].kind is BlockKind.OWN]
        for single, _ in singles[:MAX_ATTEMPTS] + own:
            if book.anchor(spec, single.placement):
                return single
        return None
    ranked = _rank_candidates(spec, candidates, spaces, occupants)
    for union in _unions([candidate for _, candidate in ranked], spec):
        allowance = _allow(union, spec.parts)
        chosen = [spaces[worker] for worker in allowance]
        plan = plan_preemption(spec, chosen, occupants, allowance)
        if plan is not None and book.anchor(spec, plan.placement):
            return plan
    return None


def _rank_candidates(
    spec: JobSpec,
    candidates: Sequence[BlockCandidate],
    spaces: Mapping[WorkerName, FreeSpace],
    occupants: Occupants,
) -> list[tuple[PreemptionPlan, BlockCandidate]]:
    """The candidates that hold parts of the job, the cheapest to fill first."""
    ranked = []
    for candidate in candidates:
        parts = min(spec.parts, candidate.capacity)
        share = msgspec.structs.replace(spec, parts=parts) if parts < spec.parts else spec
        chosen = [spaces[worker] for worker in candidate.parts]
        plan = plan_preemption(share, chosen, occupants, candidate.parts)
        if plan is not None:
            ranked.append((plan, candidate))
    room = {worker: space.accelerators for worker, space in spaces.items()}
    ranked.sort(key=lambda e: (*e[0].rank, e[1].kind, sum(room[w] for w in e[1].parts)))
    return ranked


def _unions(ranked: Sequence[BlockCandidate], spec: JobSpec) -> Iterable[Sequence[BlockCandidate]]:
    """Sets of blocks that hold the job together: in each rack if adjacent, then the own ones.

    Whole blocks come before those in use, so that the job enters no more than it fills.
    """
    most = max((candidate.capacity for candidate in ranked), default=0)
    ranked = sorted(ranked, key=lambda candidate: candidate.capacity < most)
    racks = sorted({candidate.rack for candidate in ranked}) if spec.adjacent else [None]
    for kinds in ((BlockKind.ANCHORED, BlockKind.OWN, BlockKind.FREE), tuple(BlockKind)[:2]):
        for rack in racks:
            union = [c for c in ranked if c.kind in kinds and rack in (None, c.rack)]
            if sum(candidate.capacity for candidate in union) >= spec.parts:
                yield union


def _allow(candidates: Sequence[BlockCandidate], parts: int) -> dict[WorkerName, int]:
    """The parts that the cheapest candidates allow on each worker, up to the number needed."""
    allowance = Counter[WorkerName]()
    for candidate in candidates:
        if allowance.total() >= parts:
            break
        allowance.update(candidate.parts)
    return dict(allowance)
