"""Finds the placement of a gang with the lowest preemption cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.placement import FreeResources
from jujubehall.core.jobs.placement import group_racks
from jujubehall.core.jobs.running_job import RunningJob
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.identifiers import JobId


class PreemptionPlan(msgspec.Struct, frozen=True):
    """A placement and the jobs to preempt for it.

    ``cost`` is the work lost in accelerator-milliseconds.
    """

    placement: tuple[PartPlacement, ...]
    victims: tuple[RunningJob, ...]
    cost: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key of plans: least lost work, then fewest victims, then youngest victims."""
        youngest = max((job.started_at_ms for job in self.victims), default=0)
        return self.cost, len(self.victims), -youngest


class _PartPlan(msgspec.Struct, frozen=True):
    """A plan to place one more part on a worker.

    ``cost`` is the work lost in accelerator-milliseconds, ``free_accelerators`` the worker's free
    accelerators before the placement, and ``victims`` the jobs to preempt.
    """

    cost: int
    free_accelerators: int
    victims: tuple[RunningJob, ...]

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """Sort key: least lost work, fewest victims, youngest victims, fewest free accelerators."""
        youngest = max((job.started_at_ms for job in self.victims), default=0)
        return self.cost, len(self.victims), -youngest, self.free_accelerators


CandidateVictims = dict[WorkerName, list[RunningJob]]
"""The jobs on each worker that may be preempted, in the order in which to consider them."""


def index_candidate_victims(
    victims: Iterable[RunningJob], *, immediate: bool = False
) -> CandidateVictims:
    """Groups preemptible jobs by worker, the cheapest first and the youngest of equal ones.

    With ``immediate``, the costs are those of a stop without a checkpoint.
    """
    if immediate:
        replace = msgspec.structs.replace
        victims = [replace(job, preemption_cost=job.cost_without_checkpoint) for job in victims]
    candidate_victims: CandidateVictims = {}
    for job in sorted(victims, key=lambda job: (job.preemption_cost, -job.started_at_ms)):
        for worker in job.parts_by_worker:
            candidate_victims.setdefault(worker, []).append(job)
    return candidate_victims


def plan_preemption(
    spec: JobSpec,
    spaces: Iterable[FreeResources],
    candidate_victims: CandidateVictims,
    part_limits: Mapping[WorkerName, int] | None = None,
) -> PreemptionPlan | None:
    """Finds the cheapest way to place a gang by preempting some of ``candidate_victims``.

    The cost of a victim is the work that it loses; of equally expensive victims, the youngest is
    preempted first. ``part_limits`` limits the number of parts per worker; other workers get none.
    The algorithm is greedy: it places one part at a time where that part is cheapest. For a single
    part on one worker the result is optimal, except where the optimal set of victims is neither a
    single job nor found by adding the cheapest jobs until the part fits.
    """
    if part_limits is not None:
        spaces = [space for space in spaces if part_limits.get(space.worker, 0) > 0]
    best: PreemptionPlan | None = None
    for rack in group_racks(spec, spaces):
        plan = _RackPlanner(spec, rack, candidate_victims, part_limits).plan()
        if plan is not None and (best is None or plan.rank < best.rank):
            best = plan
    return best


class _RackPlanner:
    """Plans the placement of one gang within one group of workers."""

    def __init__(
        self,
        spec: JobSpec,
        rack: Sequence[FreeResources],
        candidate_victims: Mapping[WorkerName, Sequence[RunningJob]],
        part_limits: Mapping[WorkerName, int] | None,
    ) -> None:
        self._spec = spec
        self._spaces = {space.worker: space.copy() for space in rack}
        self._candidate_victims = candidate_victims
        self._parts_left = {
            w: spec.parts if part_limits is None else part_limits[w] for w in self._spaces
        }
        self._part_plans: dict[WorkerName, _PartPlan | None] = {}
        self._chosen_victims: dict[JobId, RunningJob] = {}

    def plan(self) -> PreemptionPlan | None:
        """Returns a plan for all parts, or None if they don't fit."""
        chosen: list[WorkerName] = []
        for _ in range(self._spec.parts):
            worker = self._cheapest_worker()
            if worker is None:
                return None
            self._place_part(worker)
            chosen.append(worker)
        placement = tuple(PartPlacement(part, worker) for part, worker in enumerate(chosen))
        victims = tuple(self._required_victims())
        return PreemptionPlan(placement, victims, sum(job.preemption_cost for job in victims))

    def _required_victims(self) -> Iterable[RunningJob]:
        """Yields the victims that are needed; omits redundant ones, the most expensive first."""
        for job in sorted(self._chosen_victims.values(), key=lambda job: -job.preemption_cost):
            for worker, parts in job.parts_by_worker.items():
                if worker in self._spaces:
                    self._spaces[worker].allocate(job.spec, parts)
            if any(self._is_overcommitted(worker) for worker in job.parts_by_worker):
                for worker, parts in job.parts_by_worker.items():
                    if worker in self._spaces:
                        self._spaces[worker].allocate(job.spec, -parts)
                yield job

    def _is_overcommitted(self, worker: WorkerName) -> bool:
        space = self._spaces.get(worker)
        return space is not None and min(space.accelerators, space.cores, space.memory_gb) < 0

    def _cheapest_worker(self) -> WorkerName | None:
        best: tuple[tuple[int, int, int, int], WorkerName] | None = None
        for worker, parts_left in self._parts_left.items():
            if parts_left == 0:
                continue
            if worker not in self._part_plans:
                self._part_plans[worker] = self._plan_part(worker)
            part_plan = self._part_plans[worker]
            if part_plan is not None and (best is None or part_plan.rank < best[0]):
                best = (part_plan.rank, worker)
        return None if best is None else best[1]

    def _place_part(self, worker: WorkerName) -> None:
        part_plan = self._part_plans.pop(worker)
        assert part_plan is not None
        for job in part_plan.victims:
            self._chosen_victims[job.record.id] = job
            for other, parts in job.parts_by_worker.items():
                self._part_plans.pop(other, None)
                if other in self._spaces:
                    self._spaces[other].allocate(job.spec, -parts)
        self._spaces[worker].allocate(self._spec)
        self._parts_left[worker] -= 1

    def _plan_part(self, worker: WorkerName) -> _PartPlan | None:
        """Plans the cheapest preemption that makes one more part fit on a worker, or None."""
        space = self._spaces[worker]
        if _fits(self._spec, space):
            return _PartPlan(0, space.accelerators, ())
        jobs = [
            j
            for j in self._candidate_victims.get(worker, ())
            if j.record.id not in self._chosen_victims
        ]
        single_victim = next((j for j in jobs if self._suffices(worker, [j])), None)
        victims: list[RunningJob] = []
        for job in jobs:
            victims.append(job)
            if self._suffices(worker, victims):
                break
        else:
            return None
        for job in reversed(victims[:-1]):
            rest = [other for other in victims if other is not job]
            if self._suffices(worker, rest):
                victims = rest
        cost = sum(job.preemption_cost for job in victims)
        if single_victim is not None and single_victim.preemption_cost <= cost:
            return _PartPlan(single_victim.preemption_cost, space.accelerators, (single_victim,))
        return _PartPlan(cost, space.accelerators, tuple(victims))

    def _suffices(self, worker: WorkerName, victims: Sequence[RunningJob]) -> bool:
        space = self._spaces[worker].copy()
        for job in victims:
            space.allocate(job.spec, -job.parts_by_worker[worker])
        return _fits(self._spec, space)


def _fits(spec: JobSpec, space: FreeResources) -> bool:
    return (
        space.accelerators >= spec.accelerators_per_part
        and space.cores >= spec.cores_per_part
        and space.memory_gb >= spec.memory_gb_per_part
    )
