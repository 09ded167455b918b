"""Plans moves of running jobs that free adjacent space for a waiting gang, where they pay."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.placement import FreeSpace
from jujubehall.core.jobs.placement import place_gang
from jujubehall.core.jobs.preemption import index_victims
from jujubehall.core.jobs.preemption import plan_preemption
from jujubehall.core.jobs.running_job import RunningJob

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.jobs.job import JobSpec

MAX_MOVES = 4
"""Jobs moved for one gang."""

PAYOFF_FACTOR = 2
"""The waiting saved must be worth so many times the work lost."""


class MovePlan(msgspec.Struct, frozen=True):
    """Jobs with their new places, and the place that the gang gets once they have left."""

    moves: tuple[tuple[RunningJob, tuple[PartPlacement, ...]], ...]
    placement: tuple[PartPlacement, ...]


def plan_moves(
    spec: JobSpec,
    spaces: Iterable[FreeSpace],
    movable: Iterable[RunningJob],
    wait_ms: int,
) -> MovePlan | None:
    """Finds jobs to move aside for a gang that would otherwise wait for ``wait_ms``.

    Every job moved must find a place that is free now and that the gang doesn't need. Waiting is
    counted as the gang's accelerators times the time.
    """
    worth = wait_ms * max(1, spec.parts * spec.accelerators_per_part)
    spaces = [space.copy() for space in spaces]
    plan = plan_preemption(spec, spaces, index_victims(movable))
    if plan is None or not plan.victims or len(plan.victims) > MAX_MOVES:
        return None
    if plan.cost * PAYOFF_FACTOR > worth:
        return None
    by_worker = {space.worker: space for space in spaces}
    for part in plan.placement:
        by_worker[part.worker].take(spec)
    moves: list[tuple[RunningJob, tuple[PartPlacement, ...]]] = []
    for job in plan.victims:
        placement = place_gang(job.spec, spaces)
        if placement is None:
            return None
        for part in placement:
            by_worker[part.worker].take(job.spec)
        moves.append((job, placement))
    return MovePlan(tuple(moves), plan.placement)
