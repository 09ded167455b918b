"""Measures the CPU time of rounds in which a team asks for its guarantee on a site full of services.

``python -m benchmarks.reclaim_rounds`` prints a row for each size of the site and kind of service:
services that may be stopped at any time, services of which half the tasks may be unavailable,
and services of which only one task may be, so that no allowed stops are enough.
"""

from __future__ import annotations

import time

from typing import TYPE_CHECKING

import msgspec

from benchmarks.site_rounds import CAPACITY
from benchmarks.site_rounds import QUEUES
from benchmarks.site_rounds import WORKER_COUNTS
from benchmarks.site_rounds import submit
from benchmarks.site_state import make_fleet_state
from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import TeamName

if TYPE_CHECKING:
    from jujubehall.core.fleet.state import FleetState

HALF_WORKER = Resources(8_000, 16_000, 4)
WHOLE_WORKER = Resources(8_000, 16_000, 8)
TASKS_PER_SERVICE = 20
REPEATS = 5


def make_service_site(workers: int, max_unavailable: int) -> FleetState:
    """Makes a site on which services at work use all accelerators, and half are guaranteed."""
    fleet_state = make_fleet_state(workers, CAPACITY, QUEUES)
    service = StepRequest(
        TASKS_PER_SERVICE,
        HALF_WORKER,
        runs_until_cancelled=True,
        max_unavailable=max_unavailable,
    )
    for number in range(-(-workers * 2 // TASKS_PER_SERVICE)):
        submit(fleet_state, f"{number:016x}", "normal", service, 0)
    now_ms = 1
    while any(True for _ in fleet_state.waiting_groups(now_ms)) and now_ms < 10_000:
        # Rounds start a limited number of tasks; sending the starts lets the next one go on.
        fleet_state.run_scheduling_round(now_ms)
        now_ms += 100
        for worker in fleet_state.workers.values():
            for placement in worker.placements.values():
                placement.confirm(now_ms)
                placement.progress.record(100, now_ms)
        if not any(each.free.accelerators for each in fleet_state.workers.values()):
            break
    team = Team(TeamName("t"), frozenset(), workers * 4)
    fleet_state.apply_configuration(
        msgspec.structs.replace(fleet_state.configuration, version=2, teams=(team,))
    )
    return fleet_state


def time_rounds(workers: int, max_unavailable: int) -> tuple[float, int]:
    """Returns the mean CPU time of a round in ms, and the groups stopped in the last one."""
    cpu_s = 0.0
    stopped = 0
    for number in range(REPEATS):
        fleet_state = make_service_site(workers, max_unavailable)
        step = StepRequest(min(64, workers // 2), WHOLE_WORKER, 2_500, is_gang=True)
        submit(fleet_state, f"f{number:015x}", "urgent", step, 20_000)
        started_s = time.process_time()
        decisions = fleet_state.run_scheduling_round(20_010)
        cpu_s += time.process_time() - started_s
        stopped = sum(isinstance(each, StopGroup) for each in decisions)
    return cpu_s * 1_000 / REPEATS, stopped


def main() -> None:
    """Prints the figures as a table."""
    print("| workers | tasks that may be unavailable | groups stopped | round ms |")
    print("|---|---|---|---|")
    for workers in WORKER_COUNTS:
        for max_unavailable in (0, TASKS_PER_SERVICE // 2, 1):
            round_ms, stopped = time_rounds(workers, max_unavailable)
            print(f"| {workers} | {max_unavailable or 'any'} | {stopped} | {round_ms:.1f} |")


if __name__ == "__main__":
    main()
