"""Measures the CPU time of scheduling rounds and worker reports, by the size of the site.

``python -m benchmarks.site_rounds`` fills a fleet state with running batch tasks and a queue. It
then times rounds in which an urgent gang arrives, and the processing of single reports.
"""

from __future__ import annotations

import time

from random import Random
from typing import TYPE_CHECKING

from benchmarks.site_state import POOL
from benchmarks.site_state import make_fleet_state
from jujubehall.core.fleet.configuration import Queue
from jujubehall.core.fleet.reconciliation import Reconciliation
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.reports import WorkerReport
from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import JobId
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import TeamName

if TYPE_CHECKING:
    from jujubehall.core.fleet.state import FleetState

WORKER_COUNTS = (24, 176, 816)
REPEATS = 5
WAITING_JOBS_PER_WORKER = 0.5
CAPACITY = Resources(64_000, 262_144, 8)
QUEUES = tuple(
    Queue(QueueName(name), "h", f"/{name}/", POOL, priority=priority, max_failures=3)
    for priority, name in enumerate(("urgent", "normal", "overnight"))
)
GANG = StepRequest(4, Resources(8_000, 20_000, 4), 2_500, is_gang=True, prefers_one_rack=True)
BATCH = StepRequest(12, Resources(6_000, 16_000, 1), 9_500)


def make_full_fleet_state(workers: int) -> FleetState:
    """Makes a site with all accelerators in use and more jobs waiting."""
    fleet_state = make_fleet_state(workers, CAPACITY, QUEUES)
    jobs = round(workers * 8 / BATCH.tasks + workers * WAITING_JOBS_PER_WORKER)
    for number in range(jobs):
        submit(fleet_state, f"{number:016x}", "overnight", BATCH, 0)
    fleet_state.run_scheduling_round(1)
    for worker in fleet_state.workers.values():
        for placement in worker.placements.values():
            placement.confirmed_ms = 1
    return fleet_state


def submit(fleet_state: FleetState, job: str, queue: str, step: StepRequest, now_ms: int) -> None:
    """Adds an accepted job to the fleet state."""
    accepted = AcceptedJob(
        JobId(job), QueueName(queue), TeamName("t"), JobRequest("s", (step,)), now_ms
    )
    fleet_state.add_job(accepted, None, now_ms, now_ms)


def time_rounds(fleet_state: FleetState) -> float:
    """Returns the mean CPU time, in ms, of a round in which an urgent gang has arrived."""
    cpu_s = 0.0
    for number in range(REPEATS):
        submit(fleet_state, f"f{number:015x}", "urgent", GANG, 100 + number)
        started_s = time.process_time()
        fleet_state.run_scheduling_round(200 + number)
        cpu_s += time.process_time() - started_s
    return cpu_s * 1_000 / REPEATS


def time_reports(fleet_state: FleetState, random: Random) -> float:
    """Returns the mean CPU time, in ms, to process the report of one worker."""
    cpu_s = 0.0
    workers = list(fleet_state.workers.values())
    for number in range(REPEATS):
        worker = random.choice(workers)
        running = tuple(
            RunningTask(group.task_id(index), placement.run, percent=number)
            for (group, index), placement in worker.placements.items()
        )
        report = WorkerReport(1, number, running)
        started_s = time.process_time()
        Reconciliation(fleet_state, worker, report, 1_000 + number, 1_001 + number).apply()
        cpu_s += time.process_time() - started_s
    return cpu_s * 1_000 / REPEATS


def main() -> None:
    """Prints one row for each size of the site."""
    print("| workers | tasks running | groups waiting | round ms | report ms |")
    print("|---|---|---|---|---|")
    for workers in WORKER_COUNTS:
        fleet_state = make_full_fleet_state(workers)
        running = sum(len(worker.placements) for worker in fleet_state.workers.values())
        waiting = sum(1 for _ in fleet_state.waiting_groups(100))
        report_ms = time_reports(fleet_state, Random(1))
        round_ms = time_rounds(fleet_state)
        print(f"| {workers} | {running} | {waiting} | {round_ms:.1f} | {report_ms:.2f} |")


if __name__ == "__main__":
    main()
