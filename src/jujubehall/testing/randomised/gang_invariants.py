"""Invariants of jobs, checked against the run times that the workers recorded."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from jujubehall.core.jobs.gang_timing import PARTIAL_GANG_BOUND_MS
from jujubehall.core.jobs.job import JOBS_PREFIX
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import archive_key
from jujubehall.core.jobs.job import job_key
from jujubehall.identifiers import JobId
from jujubehall.testing.randomised.registry import invariant_check
from jujubehall.testing.randomised.simulation import JOBS_END_TIMEOUT_MS
from jujubehall.testing.randomised.violation import Violation
from jujubehall.workers.messages import TaskState

if TYPE_CHECKING:
    from jujubehall.testing.randomised.simulation import Simulation
    from jujubehall.testing.virtual.site import VirtualSite
    from jujubehall.testing.worker_state import TaskRun
    from jujubehall.workers.messages import TaskKey

NO_INCOMPLETE_GANGS = "no gang runs with only some of its parts"
NO_CONCURRENT_RUNS = "no job runs twice at the same time"
ACCEPTED_JOBS_PERSIST = "no accepted job is lost, and no final job state changes"

RunsByAttempt = dict[tuple[JobId, int], dict["TaskKey", "TaskRun"]]


@invariant_check(NO_INCOMPLETE_GANGS)
def gangs_run_complete(simulation: Simulation) -> None:
    """Checks every attempt of a job that any worker has run."""
    check_gang_invariants(simulation.site)


@invariant_check(ACCEPTED_JOBS_PERSIST)
def final_job_states_are_stable(simulation: Simulation) -> None:
    """Checks that the final state of a job never changes."""
    recorded = recorded_jobs(simulation.site)
    for job, state in simulation.final_job_states.items():
        if recorded.get(job, state) is not state:
            raise Violation(
                ACCEPTED_JOBS_PERSIST,
                f"{job} had the final state {state}, now has {recorded[job]}",
            )
    simulation.final_job_states.update(
        (job, state) for job, state in recorded.items() if state.is_final
    )


@invariant_check(ACCEPTED_JOBS_PERSIST, at_end=True)
def accepted_jobs_reach_a_final_state(simulation: Simulation) -> None:
    """Checks that every accepted job reaches a final state once all failures have ended."""
    simulation.site.run_until(lambda: not _unfinished_jobs(simulation.site), JOBS_END_TIMEOUT_MS)
    recorded = recorded_jobs(simulation.site)
    for job in simulation.accepted_jobs:
        if job not in recorded and job not in simulation.final_job_states:
            raise Violation(ACCEPTED_JOBS_PERSIST, f"{job} was accepted but has no record")
    check_gang_invariants(simulation.site)


def recorded_jobs(site: VirtualSite) -> dict[JobId, JobState]:
    """Returns the states of all recorded jobs, including archived ones."""
    prefixes = [archive_key(JobId("")), job_key(JobId(""))]
    entries = [entry for prefix in prefixes for entry in site.store.list_entries(prefix).entries]
    return {JobId(entry.value["id"]): JobState(entry.value["state"]) for entry in entries}


def _unfinished_jobs(site: VirtualSite) -> list[JobId]:
    return [job for job, state in recorded_jobs(site).items() if not state.is_final]


def runs_by_attempt(site: VirtualSite) -> RunsByAttempt:
    """Returns the runs of the parts of each attempt.

    Raises:
        Violation: a part of an attempt was started on two workers.
    """
    attempts: RunsByAttempt = defaultdict(dict)
    for worker in site.workers.values():
        assert worker.tasks is not None
        for key, run in worker.runs_by_task.items():
            if key in attempts[key.job, key.attempt]:
                raise Violation(NO_CONCURRENT_RUNS, f"{key} started on two workers")
            attempts[key.job, key.attempt][key] = run
    return attempts


def check_gang_invariants(site: VirtualSite, bound_ms: int = PARTIAL_GANG_BOUND_MS) -> None:
    """Checks the invariants of gangs and attempts against the records of all workers.

    Raises:
        Violation: an attempt ran with only some of its parts for longer than ``bound_ms``, started
            before all parts were reserved or before the previous attempt had ended, or had a part
            that was started twice.
    """
    now_ms = site.clock.now_ms
    gang_sizes = {
        JobId(entry.key.removeprefix(JOBS_PREFIX)): entry.value["spec"]["parts"]
        for entry in site.store.list_entries(JOBS_PREFIX).entries
    }
    last_end_ms: dict[JobId, int] = {}
    for (job, attempt), parts in sorted(runs_by_attempt(site).items(), key=lambda item: item[0]):
        _check_attempt(f"{job} attempt {attempt}", parts, gang_sizes.get(job), now_ms, bound_ms)
        started_at_ms = min(run.started_at_ms for run in parts.values())
        if started_at_ms < last_end_ms.get(job, 0):
            raise Violation(
                NO_CONCURRENT_RUNS,
                f"{job}: attempt {attempt} started before the previous one had ended",
            )
        last_end_ms[job] = max(_end_or_now_ms(run, now_ms) for run in parts.values())
    _check_started_once(site)
    _check_reserved_before_start(site, gang_sizes)


def _check_attempt(
    name: str, parts: dict[TaskKey, TaskRun], gang_size: int | None, now_ms: int, bound_ms: int
) -> None:
    """Checks for how long parts ran after another part had failed or had not been started."""
    lost_at_ms = [
        run.ended_at_ms
        for run in parts.values()
        if run.ended_at_ms is not None and run.outcome is not TaskState.SUCCEEDED
    ]
    if gang_size is not None and len(parts) < gang_size:
        lost_at_ms.append(min(run.started_at_ms for run in parts.values()))
    if not lost_at_ms:
        return
    partial_ms = max(_end_or_now_ms(run, now_ms) for run in parts.values()) - min(lost_at_ms)
    if partial_ms > bound_ms:
        raise Violation(
            NO_INCOMPLETE_GANGS, f"{name} ran incomplete for {partial_ms} ms, limit {bound_ms} ms"
        )


def _check_started_once(site: VirtualSite) -> None:
    for worker in site.workers.values():
        for key, count in worker.start_counts.items():
            if count != 1:
                raise Violation(NO_CONCURRENT_RUNS, f"{key} was started {count} times")


def _check_reserved_before_start(site: VirtualSite, gang_sizes: dict[JobId, int]) -> None:
    reserved_at_ms: dict[tuple[JobId, int], dict[int, int]] = defaultdict(dict)
    for worker in site.workers.values():
        for key, at_ms in worker.reserved_at_ms.items():
            reserved_at_ms[key.job, key.attempt][key.part] = at_ms
    for attempt, parts in runs_by_attempt(site).items():
        part_reserved_at_ms = reserved_at_ms[attempt]
        started_at_ms = min(run.started_at_ms for run in parts.values())
        if (
            len(part_reserved_at_ms) < gang_sizes.get(attempt[0], 0)
            or max(part_reserved_at_ms.values()) > started_at_ms
        ):
            raise Violation(
                NO_INCOMPLETE_GANGS, f"{attempt}: a part started before all parts were reserved"
            )


def _end_or_now_ms(run: TaskRun, now_ms: int) -> int:
    return now_ms if run.ended_at_ms is None else run.ended_at_ms
