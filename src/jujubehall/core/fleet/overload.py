"""Which jobs are refused because there is too little room for them.

The load that this answers: for minutes, more work arrives than the workers can do. Jobs that can't
be of use any more would still be accepted and run, and their callers would learn nothing until then.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from jujubehall.clock import MS_PER_SECOND
from jujubehall.core.fleet.admission_limits import NO_LIMITS
from jujubehall.core.fleet.admission_limits import AdmissionLimits
from jujubehall.core.fleet.admission_limits import is_beyond_use
from jujubehall.core.fleet.delay_cost import DelayCost
from jujubehall.core.fleet.job_demand import start_limit_ms
from jujubehall.core.fleet.left_capacity import RunningTask
from jujubehall.core.fleet.pool_load import JobLoad
from jujubehall.core.fleet.pool_load import PoolLoad
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY
from jujubehall.core.fleet.progress import COMPLETE_PERCENT
from jujubehall.core.fleet.refused_jobs import RefusedJobs
from jujubehall.core.fleet.resources import NO_RESOURCES
from jujubehall.core.fleet.work import NO_WORK
from jujubehall.core.fleet.work import UNLIMITED_WORK
from jujubehall.core.fleet.work import work_of

if TYPE_CHECKING:
    from jujubehall.core.fleet.configuration import Queue
    from jujubehall.core.fleet.delay_cost import Lateness
    from jujubehall.core.fleet.job_demand import JobDemand
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import PoolName
    from jujubehall.identifiers import TeamName

SETTLING_MS = 5_000
"""How long a new owner refuses nothing, until the workers have reported what runs."""

RELEASE_SHARE = 0.8
"""A queue is no longer limited once the wait is below this share of the one that limited it."""

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000
"""The range of Retry-After: callers are sent whole seconds, and a load may change within a minute."""


class Overload:
    """Derives from the state of the site which jobs to refuse, and when their callers may return.

    It must be updated about once a second. ``now_ms`` at the construction is the start of the term.
    """

    def __init__(self, now_ms: int) -> None:
        self._started_ms = now_ms
        self._pools: dict[PoolName, PoolLoad] = {}
        self._refused = RefusedJobs()
        self._limits = NO_LIMITS

    @property
    def limits(self) -> AdmissionLimits:
        """The limits in force."""
        return self._limits

    @property
    def refused_jobs(self) -> RefusedJobs:
        """The jobs that were refused and not accepted since."""
        return self._refused

    def update(self, fleet_state: FleetState, now_ms: int) -> AdmissionLimits:
        """Takes in the present state and returns the limits that apply now."""
        history = fleet_state.work_history
        delay_cost = DelayCost(now_ms, history)
        self._pools = _empty_pools(fleet_state, now_ms)
        start_limits_ms: dict[Queue, float] = {}
        for job in fleet_state.jobs.values():
            queue = job.queue
            load = self._pools.get(queue.pool) if queue is not None else None
            if queue is None or load is None or job.is_final:
                continue
            factor = history.duration_factor(job)
            load.add(job.id, _job_load(job, factor, delay_cost.standing(job), load.free, now_ms))
            limit_ms = start_limit_ms(queue, round(factor * job.expected_chain_ms()))
            start_limits_ms[queue] = min(limit_ms, start_limits_ms.get(queue, limit_ms))
        self._limits = AdmissionLimits(
            {
                queue.name: math.ceil(wait_ms)
                for queue, limit_ms in start_limits_ms.items()
                if (wait_ms := self._limiting_wait_ms(queue, limit_ms, now_ms)) is not None
            }
        )
        return self._limits

    def decide(
        self,
        fleet_state: FleetState,
        job: JobId,
        queue: Queue,
        team: TeamName,
        demand: JobDemand,
        now_ms: int,
    ) -> int | None:
        """Returns None to admit a job, or the time in ms after which its caller may try again.

        The caller is asked to return in the middle of the time in which the job could still start
        and be of use, or, if there is none left, when the work ahead of it should be done.
        """
        load = self._pools.get(queue.pool)
        if load is None or queue.name not in self._limits.waits_ms or job in fleet_state.jobs:
            return None
        factor = fleet_state.work_history.team_duration_factor(queue.name, team)
        demand = demand.corrected(factor)
        first_ms = self._refused.first_refused_ms(job)
        submitted_ms = now_ms if first_ms is None else first_ms
        waited_ms = now_ms - submitted_ms
        wait_ms = load.least_wait_ms(
            queue.priority,
            submitted_ms,
            demand.work,
            demand.first_needs,
            demand.in_time_slack_ms(queue) - waited_ms,
        )
        remaining_ms = demand.start_limit_ms(queue) - waited_ms
        if not is_beyond_use(wait_ms, remaining_ms) or _is_guaranteed(
            fleet_state, queue, team, demand
        ):
            load.add(
                job, JobLoad(submitted_ms, queue.priority, (), demand.work, demand.first_needs)
            )
            return None
        self._refused.record(job, now_ms)
        return _retry_after_ms(wait_ms, remaining_ms)

    def _limiting_wait_ms(self, queue: Queue, limit_ms: float, now_ms: int) -> float | None:
        """Returns the wait in a queue if jobs that must start within ``limit_ms`` are too late."""
        if not queue.objective_ms or now_ms - self._started_ms < SETTLING_MS:
            return None
        load = self._pools[queue.pool]
        if queue.name in self._limits.waits_ms:
            limit_ms *= RELEASE_SHARE
        if not is_beyond_use(load.total_ms, limit_ms):
            return None
        wait_ms = load.least_wait_ms(
            queue.priority, now_ms, UNLIMITED_WORK, None, queue.objective_ms
        )
        return wait_ms if is_beyond_use(wait_ms, limit_ms) else None


def _empty_pools(fleet_state: FleetState, now_ms: int) -> dict[PoolName, PoolLoad]:
    """Returns the loads, without jobs, of the pools of which any worker accepts work."""
    capacities: dict[PoolName, Resources] = {}
    free: dict[PoolName, Resources] = {}
    for worker in fleet_state.workers.values():
        if worker.accepts_work(now_ms):
            pool = worker.listed.pool
            capacities[pool] = capacities.get(pool, NO_RESOURCES) + worker.listed.capacity
            free[pool] = free.get(pool, NO_RESOURCES) + worker.free
    return {pool: PoolLoad(capacity, free[pool]) for pool, capacity in capacities.items()}


def _job_load(
    job: FleetJob, factor: float, standing: Lateness, free: Resources, now_ms: int
) -> JobLoad:
    """Returns the work of a job, if its tasks take ``factor`` times as long as estimated.

    Steps that aren't ready are left out, since a new job may start before them, and runs on workers
    that accept no work, whose capacity doesn't count either.
    """
    running: list[RunningTask] = []
    waiting = NO_WORK
    waiting_needs = NO_RESOURCES
    for groups in job.groups.values():
        request = groups[0].request
        if request.runs_until_cancelled:
            continue
        occupied = groups[0].occupied_resources
        task_ms = factor * request.expected_ms
        waiting_tasks = fitting_tasks = 0
        for group in groups:
            if group.placements:
                running.extend(
                    RunningTask(occupied, task_ms * (1 - each.progress.percent / COMPLETE_PERCENT))
                    for each in group.placements.values()
                    if each.worker.accepts_work(now_ms)
                )
            elif group.is_waiting:
                waiting_tasks += len(group.indexes)
                if occupied.times(len(group.indexes)).fits_in(free):
                    fitting_tasks += len(group.indexes)
        waiting = waiting.plus(work_of(occupied, task_ms), waiting_tasks)
        waiting_needs = waiting_needs + occupied.times(fitting_tasks)
    return JobLoad(job.accepted_ms, job.priority, tuple(running), waiting, waiting_needs, standing)


def _is_guaranteed(
    fleet_state: FleetState, queue: Queue, team: TeamName, demand: JobDemand
) -> bool:
    """Returns whether an urgent job fits in what its team is guaranteed and doesn't use yet.

    As in the order of the queue, groups that exceed what is left of the guarantee take nothing.
    """
    if queue.priority != HIGHEST_PRIORITY:
        return False
    left = sum(
        each.guaranteed_accelerators
        for each in fleet_state.configuration.teams
        if each.name == team
    )
    groups = [
        group
        for job in fleet_state.jobs.values()
        if job.accepted.team == team and job.priority == HIGHEST_PRIORITY and not job.is_final
        for group in job.all_groups()
        if group.placements or group.is_waiting
    ]
    for group in sorted(groups, key=lambda each: (not each.placements, each.ready_since_ms or 0)):
        required = group.request.needs.accelerators * len(group.indexes)
        if required <= left:
            left -= required
    return demand.first_needs.accelerators <= left


def _retry_after_ms(wait_ms: float, remaining_ms: float) -> int:
    # Whole seconds, as callers are sent, and rounded down so that they don't return too late.
    best_ms = remaining_ms / 2 if remaining_ms >= MIN_RETRY_AFTER_MS else wait_ms
    seconds = math.floor(best_ms / MS_PER_SECOND)
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, seconds * MS_PER_SECOND))
