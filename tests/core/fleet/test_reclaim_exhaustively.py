"""A guaranteed job gets a plan whenever some set of allowed stops could start it.

The reference tries every set of stops on small sites.
"""

from __future__ import annotations

import random

from collections import Counter
from itertools import chain
from itertools import combinations
from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.resources import NO_RESOURCES
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.core.fleet.workers import FleetWorker

OWNER, HOLDER, BORROWER = TeamName("owner"), TeamName("holder"), TeamName("borrower")
OWNER_GUARANTEE = 16
HOLDER_GUARANTEE = 8
MAX_STOPPABLE = 9
SEEDS_PER_TEST = 100


class FilledSite:
    """A random small site that work of several kinds fills, and a guaranteed job for it."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.site = SmallSite(self.random.randint(1, 4), rack_size=self.random.randint(1, 2))
        teams = (
            Team(OWNER, frozenset(), OWNER_GUARANTEE),
            Team(HOLDER, frozenset(), HOLDER_GUARANTEE),
        )
        self.site.fleet_state.apply_configuration(
            msgspec.structs.replace(CONFIGURATION, version=2, teams=teams)
        )
        self.workers = list(self.site.fleet_state.workers.values())
        self.within_guarantee: set[TaskGroup] = set()
        self.stoppable: list[TaskGroup] = []
        for number in range(self.random.randint(2, 6)):
            self._add_work(number)
        for worker in self.workers:
            running = tuple(
                RunningTask(group.task_id(index), placement.run, percent=100)
                for (group, index), placement in worker.placements.items()
                if group.request.runs_until_cancelled and self.random.random() < 0.95
            )
            others = tuple(
                RunningTask(group.task_id(index), placement.run)
                for (group, index), placement in worker.placements.items()
                if not any(each.task == group.task_id(index) for each in running)
            )
            self.site.report(int(worker.name[1:]), running + others)

    def _needs(self) -> Resources:
        return Resources(
            self.random.choice((1_000, 8_000, 30_000)), 1_000, self.random.choice((1, 2, 4, 4, 8))
        )

    def _add_work(self, number: int) -> None:
        kind = self.random.choice(("batch", "service", "limited", "limited", "holder", "borrower"))
        needs = self._needs()
        tasks = self.random.randint(1, 4)
        queue, team = self.random.choice((NORMAL, OVERNIGHT)), OWNER
        if kind == "holder":
            used = sum(each.request.needs.accelerators for each in self.within_guarantee)
            if used + needs.accelerators > HOLDER_GUARANTEE:
                return
            queue, team, tasks = URGENT, HOLDER, 1
        elif kind == "borrower":
            queue, team = URGENT, BORROWER
        request = step(
            tasks,
            needs,
            expected_ms=60_000,
            runs_until_cancelled=kind in ("service", "limited") or self.random.random() < 0.2,
            max_unavailable=self.random.randint(1, 2) if kind == "limited" else 0,
        )
        job = self.site.submit(f"work {number}", request, queue=queue, team=team)
        for group in job.all_groups():
            fitting = [each for each in self.workers if needs.fits_in(each.free)]
            if not fitting or len(self.stoppable) >= MAX_STOPPABLE:
                # Nothing else waits for the same room.
                group.not_before_ms = self.site.now_ms + 60_000
                continue
            chosen = self.random.choice(fitting)
            self.site.fleet_state.record_start(
                group, {group.indexes.start: chosen}, self.site.now_ms
            )
            if kind == "holder":
                self.within_guarantee.add(group)
            else:
                self.stoppable.append(group)

    def request(self) -> StepRequest:
        """Returns a step of a job within the owner's guarantee."""
        needs = self._needs()
        tasks = self.random.randint(1, max(1, OWNER_GUARANTEE // needs.accelerators))
        return step(
            min(tasks, 6),
            needs,
            expected_ms=2_000,
            is_gang=self.random.random() < 0.4,
            prefers_one_rack=self.random.random() < 0.4,
            tasks_per_worker=self.random.choice((0, 0, 1, 2)),
            data_rack=RackName(self.random.choice(("", "", "r0", "r9"))),
        )

    def can_start(self, request: StepRequest) -> bool:
        """Returns whether some set of allowed stops makes room for the whole step."""
        subsets = chain.from_iterable(
            combinations(self.stoppable, size) for size in range(len(self.stoppable) + 1)
        )
        return any(
            self._count_tasks(request, set(stopped)) >= request.tasks
            for stopped in subsets
            if self._is_allowed(set(stopped))
        )

    def _is_allowed(self, stopped: set[TaskGroup]) -> bool:
        """Returns whether the stops leave enough of each service; counts what is away already."""
        return all(
            sum(
                each in stopped or not _is_at_work(each)
                for each in group.job.groups[group.occurrence, group.step]
            )
            <= group.request.max_unavailable
            for group in stopped
            if group.request.max_unavailable and group.request.runs_until_cancelled
        )

    def _count_tasks(self, request: StepRequest, stopped: set[TaskGroup]) -> int:
        return sum(self._count_on(worker, request, stopped) for worker in self.workers)

    def _count_on(self, worker: FleetWorker, request: StepRequest, stopped: set[TaskGroup]) -> int:
        used = NO_RESOURCES
        for group, _ in worker.placements:
            if group not in stopped:
                used = used + group.request.needs
        fitting = request.needs.count_fitting(worker.listed.capacity.minus(used))
        return min(fitting, request.tasks_per_worker or fitting)


def _is_at_work(group: TaskGroup) -> bool:
    return any(each.progress.percent == 100 for each in group.placements.values())


def check_plan(filled: FilledSite, job: FleetJob) -> None:
    """Checks that the decisions of a round start the job and stop only what they may."""
    stopped = {
        each.group for each in filled.site.run_scheduling_round(1) if isinstance(each, StopGroup)
    }
    assert stopped <= set(filled.stoppable)
    chosen: Counter[FleetWorker] = Counter()
    for group in job.all_groups():
        placed = {index: each.worker for index, each in group.placements.items()}
        workers = placed or group.reserved_workers
        assert len(workers) == len(group.indexes), "no plan"
        chosen.update(workers.values())
    limit = job.accepted.request.steps[0].tasks_per_worker
    for worker, tasks in chosen.items():
        assert not limit or tasks <= limit
        used = sum(
            (group.request.needs for group, _ in worker.placements if group not in stopped),
            NO_RESOURCES,
        )
        for group in job.all_groups():
            used = used + group.request.needs.times(group.count_reserved_on(worker))
        assert used.fits_in(worker.listed.capacity)


@pytest.mark.parametrize("batch", range(10))
def test_plan_is_found_if_some_allowed_stops_suffice(batch: int) -> None:
    """Guards against a guaranteed job that waits although it could be started."""
    startable = 0
    for seed in range(batch * SEEDS_PER_TEST, (batch + 1) * SEEDS_PER_TEST):
        filled = FilledSite(seed)
        request = filled.request()
        can_start = filled.can_start(request)
        job = filled.site.submit("reclaim", request, queue=URGENT, team=OWNER)
        if not can_start:
            filled.site.run_scheduling_round(1)
            assert not all(
                each.placements or each.reserved_workers for each in job.all_groups()
            ), seed
            continue
        startable += 1
        try:
            check_plan(filled, job)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
    assert startable > SEEDS_PER_TEST // 4
