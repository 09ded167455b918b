"""Plans moves of running jobs that free adjacent capacity for a waiting gang."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.placement import FreeResources
from jujubehall.core.jobs.placement import place_gang
from jujubehall.core.jobs.preemption import index_candidate_victims
from jujubehall.core.jobs.preemption import plan_preemption
from jujubehall.core.jobs.running_job import RunningJob

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.jobs.job import JobSpec

MAX_MOVES_PER_GANG = 4
"""Limit on the number of jobs moved for one gang."""

MIN_PAYOFF_RATIO = 2
"""Minimum ratio of the waiting cost saved to the work lost by moving jobs."""


class MovePlan(msgspec.Struct, frozen=True):
    """Jobs to move with their new placements, and the gang's placement once they have stopped."""

    moves: tuple[tuple[RunningJob, tuple[PartPlacement, ...]], ...]
    placement: tuple[PartPlacement, ...]


def plan_moves(
    spec: JobSpec,
    spaces: Iterable[FreeResources],
    movable: Iterable[RunningJob],
    wait_ms: int,
) -> MovePlan | None:
    """Plans moves for a gang that would otherwise wait for ``wait_ms``, or returns None.

    Each moved job needs a placement on capacity that is free now and that the gang doesn't use.
    The waiting cost is the wait times the gang's accelerators, in accelerator-milliseconds. The
    moves must pay off by ``MIN_PAYOFF_RATIO``.
    """
    waiting_cost = wait_ms * max(1, spec.parts * spec.accelerators_per_part)
    spaces = [space.copy() for space in spaces]
    plan = plan_preemption(spec, spaces, index_candidate_victims(movable))
    if plan is None or not plan.victims or len(plan.victims) > MAX_MOVES_PER_GANG:
        return None
    if plan.cost * MIN_PAYOFF_RATIO > waiting_cost:
        return None
    by_worker = {space.worker: space for space in spaces}
    for part in plan.placement:
        by_worker[part.worker].allocate(spec)
    moves: list[tuple[RunningJob, tuple[PartPlacement, ...]]] = []
    for job in plan.victims:
        placement = place_gang(job.spec, spaces)
        if placement is None:
            return None
        for part in placement:
            by_worker[part.worker].allocate(job.spec)
        moves.append((job, placement))
    return MovePlan(tuple(moves), plan.placement)
