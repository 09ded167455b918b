"""Where a job would be placed now, and why, without submitting it.

Operators ask this when a caller complains that a job waits. The preview reads the state of the owner
and changes nothing; the next scheduling round may decide otherwise, since work ends and arrives.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.fleet.delay_cost import DelayCost
from jujubehall.core.fleet.guarantee_room import GuaranteeRoom
from jujubehall.core.fleet.jobs import FleetJob
from jujubehall.core.fleet.occupants import WorkerOccupants
from jujubehall.core.fleet.placement import can_be_local
from jujubehall.core.fleet.placement import choose_workers
from jujubehall.core.fleet.placement import eligible_workers
from jujubehall.core.fleet.preemption import PreemptionPlanner
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY
from jujubehall.core.fleet.queue_order import QueueOrder
from jujubehall.core.fleet.reclaiming import ReclaimPlanner
from jujubehall.core.fleet.task_limits import remaining_task_limit
from jujubehall.identifiers import JobId
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.preemption import PreemptionPlan
    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.core.fleet.workers import FleetWorker


class Verdict(Enum):
    """What would happen to a step now."""

    STARTS = "starts"
    PREEMPTS = "preempts"
    """It starts once less urgent work has been stopped."""

    WAITS_FOR_CAPACITY = "waits for capacity"
    WAITS_FOR_STEPS = "waits for earlier steps"
    WAITS_FOR_DUE_TIME = "waits until it is due"
    IMPOSSIBLE = "no worker can run it"


class Exclusion(Enum):
    """Why a worker can't run a task of a step now. The first reason that applies is given."""

    OTHER_POOL = "belongs to another pool"
    MISSING_LABEL = "lacks the required label"
    TOO_SMALL = "is too small"
    DRAINING = "is draining"
    ZONE_EVACUATED = "is in an evacuated availability zone"
    AWAITING_MAINTENANCE = "awaits maintenance"
    UNREACHABLE = "is unreachable or not registered"
    NOT_ACCEPTING = "accepts no work"
    NOT_ELIGIBLE = "has no ticket, or runs work that excludes it"
    DEGRADED = "is slow or stalled"
    OCCUPIED = "has no free capacity"
    KEPT_FOR_GUARANTEES = "is kept for guarantees, since the task could not be stopped in time"
    NOT_CHOSEN = "was not needed, or is in a rack that the step would not fit in"


class StepPreview(msgspec.Struct, frozen=True):
    """What would happen to one step now."""

    step: int
    tasks: int
    verdict: Verdict
    tasks_by_worker: dict[WorkerName, int] = {}
    racks: tuple[RackName, ...] = ()
    passed_over: dict[str, int] = {}
    """Number of workers by the text of their ``Exclusion``."""

    stopped_jobs: tuple[JobId, ...] = ()
    """Jobs of which work would be stopped."""

    wait_ms: int | None = None
    """How long work that ends by itself would be waited for; None if it isn't known."""


class JobPreview(msgspec.Struct, frozen=True):
    """What would happen to a job now."""

    queue: str
    team: str
    priority: int
    standing: str
    objective_ms: int | None
    """When the job is expected to end, from now, to be in time; None without an objective."""

    groups_ahead: int
    """Number of waiting groups that would be placed before it."""

    steps: tuple[StepPreview, ...]


def preview_job(fleet_state: FleetState, accepted: AcceptedJob, now_ms: int) -> JobPreview:
    """Returns what would happen to a job that arrives now.

    ``accepted`` is the job as it would be stored; it isn't added to the state.
    """
    job = FleetJob(accepted, fleet_state.configuration.queue(accepted.queue), now_ms)
    job.create_due_occurrences(now_ms, accepted.accepted_unix_ms)
    waiting = list(fleet_state.waiting_groups(now_ms))
    own_groups = [group for group in job.all_groups() if group.is_waiting]
    delay_cost = DelayCost(now_ms, fleet_state.work_history)
    order = QueueOrder(
        fleet_state.configuration.teams,
        fleet_state.workers.values(),
        [*waiting, *own_groups],
        delay_cost,
        now_ms,
    )
    first_key = min((order.sort_key(group) for group in own_groups), default=None)
    preview = _Preview(fleet_state, order, delay_cost, now_ms)
    return JobPreview(
        accepted.queue,
        accepted.team,
        job.priority,
        order.standing(own_groups[0]).name.lower() if own_groups else "not due",
        _objective_ms(job),
        sum(order.sort_key(group) < first_key for group in waiting) if first_key else 0,
        tuple(preview.step(job, number) for number in range(len(accepted.request.steps))),
    )


def _objective_ms(job: FleetJob) -> int | None:
    queue = job.queue
    if queue is None or job.accepted.request.occurrences:
        return None
    return round(queue.objective_ms + queue.objective_factor * job.expected_chain_ms())


class _Preview:
    def __init__(
        self, fleet_state: FleetState, order: QueueOrder, delay_cost: DelayCost, now_ms: int
    ) -> None:
        self._fleet_state = fleet_state
        self._order = order
        self._delay_cost = delay_cost
        self._now_ms = now_ms
        self._room = GuaranteeRoom(fleet_state, order)

    def step(self, job: FleetJob, number: int) -> StepPreview:
        """Returns what would happen to one step of the first occurrence."""
        groups = job.groups.get((0, number), [])
        tasks = job.accepted.request.steps[number].tasks
        if not groups:
            return StepPreview(number, tasks, Verdict.WAITS_FOR_DUE_TIME)
        if groups[0].ready_since_ms is None:
            return StepPreview(number, tasks, Verdict.WAITS_FOR_STEPS)
        group = groups[0]
        workers = self._fleet_state.workers.values()
        eligible = eligible_workers(group, workers, self._now_ms)
        healthy = [each for each in eligible if not each.is_degraded(self._now_ms)]
        healthy = self._room.leaving_room(group, healthy)
        warm = [each for each in healthy if not each.is_cold(self._now_ms)]
        chosen = self._choose(groups, warm) or self._choose(groups, healthy)
        passed_over = Counter(
            self._exclusion(group, worker, set(eligible)).value
            for worker in workers
            if worker.name not in chosen
        )
        if chosen:
            return StepPreview(
                number, tasks, Verdict.STARTS, chosen, self._racks(chosen), passed_over
            )
        plan = self._plan(group, healthy) if job.priority == HIGHEST_PRIORITY else None
        if plan is None:
            verdict = Verdict.WAITS_FOR_CAPACITY if eligible else Verdict.IMPOSSIBLE
            return StepPreview(number, tasks, verdict, passed_over=passed_over)
        planned = Counter(worker.name for worker in plan.workers.values())
        return StepPreview(
            number,
            tasks,
            Verdict.PREEMPTS if plan.victims else Verdict.WAITS_FOR_CAPACITY,
            dict(planned),
            self._racks(planned),
            passed_over,
            tuple(sorted({victim.job.id for victim in plan.victims})),
            round(plan.wait_ms),
        )

    def _plan(self, group: TaskGroup, workers: list[FleetWorker]) -> PreemptionPlan | None:
        occupants = WorkerOccupants(self._now_ms, self._delay_cost)
        planner = PreemptionPlanner(self._now_ms, self._order, self._delay_cost, occupants)
        plan = planner.find(group, workers)
        if plan is None and self._order.is_guaranteed(group):
            reclaim_planner = ReclaimPlanner(self._order, planner, occupants)
            plan = reclaim_planner.find([group], workers).get(group)
        return plan

    def _choose(self, groups: list[TaskGroup], workers: list[FleetWorker]) -> dict[WorkerName, int]:
        """Returns the number of tasks by worker: of the whole gang, or of single tasks that fit."""
        group = groups[0]
        if not group.request.is_gang:
            return self._choose_for_tasks(group, len(groups), workers)
        relax_locality = group.job.priority == HIGHEST_PRIORITY or not can_be_local(
            group, self._fleet_state.workers.values()
        )
        chosen = choose_workers(group, workers, self._now_ms, relax_locality)
        return dict(Counter(worker.name for worker in (chosen or {}).values()))

    def _choose_for_tasks(
        self, group: TaskGroup, count: int, workers: list[FleetWorker]
    ) -> dict[WorkerName, int]:
        chosen: dict[WorkerName, int] = {}
        candidates = list(workers)
        while count > 0 and (found := choose_workers(group, candidates, self._now_ms, True)):
            worker = next(iter(found.values()))
            fitting = min(count, group.occupied_resources.count_fitting(worker.free))
            if group.request.tasks_per_worker:
                fitting = min(fitting, remaining_task_limit(group, worker))
            chosen[worker.name] = max(1, fitting)
            count -= chosen[worker.name]
            candidates.remove(worker)
        return chosen

    def _racks(self, names: Iterable[WorkerName]) -> tuple[RackName, ...]:
        return tuple(sorted({self._fleet_state.workers[name].listed.rack for name in names}))

    def _exclusion(
        self, group: TaskGroup, worker: FleetWorker, eligible: set[FleetWorker]
    ) -> Exclusion:
        queue = group.job.queue
        label = group.request.required_label
        if queue is None or worker.listed.pool != queue.pool:
            return Exclusion.OTHER_POOL
        if label and label not in worker.listed.labels:
            return Exclusion.MISSING_LABEL
        if not group.request.needs.fits_in(worker.listed.capacity):
            return Exclusion.TOO_SMALL
        if worker.listed.is_draining:
            return Exclusion.DRAINING
        if worker.is_zone_evacuated:
            return Exclusion.ZONE_EVACUATED
        if worker.is_awaiting_maintenance:
            return Exclusion.AWAITING_MAINTENANCE
        if not (worker.is_listed and worker.is_registered and worker.is_reachable):
            return Exclusion.UNREACHABLE
        if not worker.accepts_work(self._now_ms):
            return Exclusion.NOT_ACCEPTING
        if worker not in eligible:
            return Exclusion.NOT_ELIGIBLE
        if worker.is_degraded(self._now_ms):
            return Exclusion.DEGRADED
        if not group.occupied_resources.fits_in(worker.free):
            return Exclusion.OCCUPIED
        if not self._room.leaves_room(group, [worker]):
            return Exclusion.KEPT_FOR_GUARANTEES
        return Exclusion.NOT_CHOSEN
