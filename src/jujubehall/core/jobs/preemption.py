"""Finds the place for a gang whose preemption costs least."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import PartPlacement
from jujubehall.core.jobs.placement import FreeSpace
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
    """A placement and the jobs to stop for it; ``cost`` is in accelerator-milliseconds."""

    placement: tuple[PartPlacement, ...]
    victims: tuple[RunningJob, ...]
    cost: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Orders plans: least lost work, fewest jobs, youngest jobs."""
        youngest = max((job.started_at_ms for job in self.victims), default=0)
        return self.cost, len(self.victims), -youngest


class _Step(msgspec.Struct, frozen=True):
    """One more part on a worker: what it costs, what is free there now, and whom to stop."""

    cost: int
    left: int
    victims: tuple[RunningJob, ...]

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """Orders steps: least lost work, fewest jobs, youngest jobs, fullest worker."""
        youngest = max((job.started_at_ms for job in self.victims), default=0)
        return self.cost, len(self.victims), -youngest, self.left


Occupants = dict[WorkerName, list[RunningJob]]


def index_victims(victims: Iterable[RunningJob], *, at_once: bool = False) -> Occupants:
    """The jobs that may be stopped on each worker, the cheapest and then the youngest first.

    With ``at_once``, there is no time for a checkpoint.
    """
    if at_once:
        replace = msgspec.structs.replace
        victims = [replace(job, preemption_cost=job.at_once_cost) for job in victims]
    occupants: Occupants = {}
    for job in sorted(victims, key=lambda job: (job.preemption_cost, -job.started_at_ms)):
        for worker in job.parts_on:
            occupants.setdefault(worker, []).append(job)
    return occupants


def plan_preemption(
    spec: JobSpec,
    spaces: Iterable[FreeSpace],
    occupants: Occupants,
    allowance: Mapping[WorkerName, int] | None = None,
) -> PreemptionPlan | None:
    """Finds the cheapest way to place a gang by stopping some of the ``occupants``.

    The cost of a victim is the work that it loses; among equal ones the youngest goes first.
    ``allowance`` limits the parts on each worker. Parts are placed one at a time where the next
    one costs least, a greedy choice that is exact for a single part on one worker but for sets of
    victims of which neither one alone nor the cheapest together suffice.
    """
    if allowance is not None:
        spaces = [space for space in spaces if allowance.get(space.worker, 0) > 0]
    best: PreemptionPlan | None = None
    for rack in group_racks(spec, spaces):
        plan = _RackPlanner(spec, rack, occupants, allowance).plan()
        if plan is not None and (best is None or plan.rank < best.rank):
            best = plan
    return best


class _RackPlanner:
    """Places the parts of one gang within one group of workers."""

    def __init__(
        self,
        spec: JobSpec,
        rack: Sequence[FreeSpace],
        occupants: Mapping[WorkerName, Sequence[RunningJob]],
        allowance: Mapping[WorkerName, int] | None,
    ) -> None:
        self._spec = spec
        self._spaces = {space.worker: space.copy() for space in rack}
        self._occupants = occupants
        self._left = {w: spec.parts if allowance is None else allowance[w] for w in self._spaces}
        self._steps: dict[WorkerName, _Step | None] = {}
        self._victims: dict[JobId, RunningJob] = {}

    def plan(self) -> PreemptionPlan | None:
        """Places all parts, or returns None."""
        chosen: list[WorkerName] = []
        for _ in range(self._spec.parts):
            worker = self._cheapest()
            if worker is None:
                return None
            self._take(worker)
            chosen.append(worker)
        placement = tuple(PartPlacement(part, worker) for part, worker in enumerate(chosen))
        victims = tuple(self._needed())
        return PreemptionPlan(placement, victims, sum(job.preemption_cost for job in victims))

    def _needed(self) -> Iterable[RunningJob]:
        """Drops victims whose room other victims made superfluous, the dearest first."""
        for job in sorted(self._victims.values(), key=lambda job: -job.preemption_cost):
            for worker, parts in job.parts_on.items():
                if worker in self._spaces:
                    self._spaces[worker].take(job.spec, parts)
            if any(self._overfull(worker) for worker in job.parts_on):
                for worker, parts in job.parts_on.items():
                    if worker in self._spaces:
                        self._spaces[worker].take(job.spec, -parts)
                yield job

    def _overfull(self, worker: WorkerName) -> bool:
        space = self._spaces.get(worker)
        return space is not None and min(space.accelerators, space.cores, space.memory_gb) < 0

    def _cheapest(self) -> WorkerName | None:
        best: tuple[tuple[int, int, int, int], WorkerName] | None = None
        for worker, left in self._left.items():
            if left == 0:
                continue
            if worker not in self._steps:
                self._steps[worker] = self._step(worker)
            step = self._steps[worker]
            if step is not None and (best is None or step.rank < best[0]):
                best = (step.rank, worker)
        return None if best is None else best[1]

    def _take(self, worker: WorkerName) -> None:
        step = self._steps.pop(worker)
        assert step is not None
        for job in step.victims:
            self._victims[job.record.id] = job
            for other, parts in job.parts_on.items():
                self._steps.pop(other, None)
                if other in self._spaces:
                    self._spaces[other].take(job.spec, -parts)
        self._spaces[worker].take(self._spec)
        self._left[worker] -= 1

    def _step(self, worker: WorkerName) -> _Step | None:
        """The cheapest jobs to stop so that one more part fits on a worker."""
        space = self._spaces[worker]
        if _fits(self._spec, space):
            return _Step(0, space.accelerators, ())
        jobs = [j for j in self._occupants.get(worker, ()) if j.record.id not in self._victims]
        single = next((j for j in jobs if self._suffices(worker, [j])), None)
        several: list[RunningJob] = []
        for job in jobs:
            several.append(job)
            if self._suffices(worker, several):
                break
        else:
            return None
        for job in reversed(several[:-1]):
            rest = [other for other in several if other is not job]
            if self._suffices(worker, rest):
                several = rest
        cost = sum(job.preemption_cost for job in several)
        if single is not None and single.preemption_cost <= cost:
            return _Step(single.preemption_cost, space.accelerators, (single,))
        return _Step(cost, space.accelerators, tuple(several))

    def _suffices(self, worker: WorkerName, victims: Sequence[RunningJob]) -> bool:
        space = self._spaces[worker].copy()
        for job in victims:
            space.take(job.spec, -job.parts_on[worker])
        return _fits(self._spec, space)


def _fits(spec: JobSpec, space: FreeSpace) -> bool:
    return (
        space.accelerators >= spec.accelerators_per_part
        and space.cores >= spec.cores_per_part
        and space.memory_gb >= spec.memory_gb_per_part
    )
