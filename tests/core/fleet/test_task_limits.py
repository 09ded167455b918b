"""A limit of tasks per worker counts what is placed, reserved or on its way, by every path."""

from __future__ import annotations

import random

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.core.fleet.decisions import ReserveCapacity
from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.fleet.suitability import Unsuitability
from jujubehall.core.fleet.suitability import find_start_obstacle
from jujubehall.core.fleet.task_limits import remaining_task_limit
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob

LONG_MS = 60_000


def most_on_one_worker(job: FleetJob) -> int:
    """Returns the largest number of the job's tasks, placed or reserved, on one worker."""
    counts: Counter[str] = Counter()
    for group in job.all_groups():
        counts.update(each.worker.name for each in group.placements.values())
        counts.update(each.name for each in group.reserved_workers.values())
    return max(counts.values(), default=0)


def fill(site: SmallSite, tasks: int, expected_ms: int = LONG_MS) -> list[TaskGroup]:
    """Fills workers with one task of lower priority each."""
    site.submit("large", step(tasks, EIGHT_GPUS, expected_ms=expected_ms))
    return site.start_groups()


@pytest.mark.parametrize("limit", [1, 2])
def test_urgent_tasks_preempt_on_as_many_workers_as_their_limit_asks_for(limit: int) -> None:
    """Guards against a burst of urgent tasks that all choose the worker preempted for the first."""
    site = SmallSite(workers=6)
    fill(site, 6)
    job = site.submit("urgent", step(3 * limit, tasks_per_worker=limit), queue=URGENT)
    stops = [each for each in site.run_scheduling_round() if isinstance(each, StopGroup)]
    assert most_on_one_worker(job) == limit
    for each in stops:
        site.end(each.group, EndKind.STOPPED)
    site.start_groups()
    assert all(group.placements for group in job.all_groups())
    assert most_on_one_worker(job) == limit


@pytest.mark.parametrize("limit", [1, 2])
def test_urgent_tasks_wait_for_ends_on_as_many_workers_as_their_limit_asks_for(limit: int) -> None:
    """Guards against tasks that reserve the one worker whose work ends soon beyond the limit."""
    site = SmallSite(workers=4)
    for group in fill(site, 4, expected_ms=10_000):
        for placement in group.placements.values():
            placement.confirm(site.now_ms)
            placement.progress.record(50, site.now_ms + 5_000)
            placement.progress.record(95, site.now_ms + 9_500)
    site.now_ms += 9_500
    needs = step(2 * limit, expected_ms=10_000, tasks_per_worker=limit)
    job = site.submit("urgent", needs, queue=URGENT)
    decisions = site.run_scheduling_round()
    assert any(isinstance(each, ReserveCapacity) for each in decisions)
    assert most_on_one_worker(job) == limit


def test_reserved_tasks_count_for_those_that_are_placed_on_free_capacity() -> None:
    """Guards against a sibling placed beside a reservation that starts a moment later."""
    site = SmallSite(workers=2)
    job = site.submit("urgent", step(2, tasks_per_worker=1), queue=URGENT)
    first, second = job.all_groups()
    first.reserve({0: site.worker(0)}, site.now_ms + 10_000)
    assert remaining_task_limit(first, site.worker(0)) == 1
    assert remaining_task_limit(second, site.worker(0)) == 0
    site.start_groups()
    assert most_on_one_worker(job) == 1


def test_reservation_beyond_the_limit_is_given_up_at_the_start() -> None:
    """Guards against a reservation whose worker was given a task of the step meanwhile."""
    site = SmallSite(workers=2)
    job = site.submit("urgent", step(2, tasks_per_worker=1), queue=URGENT)
    first, second = job.all_groups()
    first.reserve({0: site.worker(0)}, site.now_ms + 10_000)
    site.fleet_state.record_start(second, {1: site.worker(0)}, site.now_ms)
    site.start_groups()
    assert [each.worker for each in first.placements.values()] == [site.worker(1)]


def test_run_that_is_stopped_as_orphaned_counts() -> None:
    """Guards against a task started beside a late run of the same step that is still there."""
    site = SmallSite(workers=2)
    job = site.submit("urgent", step(2, tasks_per_worker=1), queue=URGENT)
    first, second = job.all_groups()
    site.fleet_state.record_start(first, {0: site.worker(1)}, site.now_ms)
    first.run = 2
    site.report(0, (RunningTask(first.task_id(0), 1),))
    assert remaining_task_limit(second, site.worker(0)) == 0
    assert not any(isinstance(each, StartGroup) for each in site.run_scheduling_round())
    site.report(0)
    assert site.start_groups() == [second]


def test_adopted_runs_count_and_end_the_reservation_of_their_group() -> None:
    """Guards against a takeover after which the runs of the earlier owner don't count."""
    site = SmallSite(workers=2)
    job = site.submit("urgent", step(2, tasks_per_worker=1), queue=URGENT)
    first, second = job.all_groups()
    first.reserve({0: site.worker(1)}, site.now_ms + 10_000)
    site.report(0, (RunningTask(first.task_id(0), 1),))
    assert not first.reserved_workers
    site.start_groups()
    assert [each.worker for each in second.placements.values()] == [site.worker(1)]


def test_start_is_not_sent_to_a_worker_that_has_become_unsuitable() -> None:
    """Guards against starts that were decided before the worker changed, and are sent later."""
    site = SmallSite(workers=1)
    job = site.submit("urgent", step(2, tasks_per_worker=1, required_label="a"), queue=URGENT)
    first, second = job.all_groups()
    worker = site.worker(0)
    site.fleet_state.record_start(first, {0: worker}, site.now_ms)
    assert find_start_obstacle(first, worker) is None
    listed = worker.listed
    for change, obstacle in (
        ({"is_draining": True}, Unsuitability.DRAINING),
        ({"labels": frozenset()}, Unsuitability.MISSING_LABEL),
        ({"pool": "other"}, Unsuitability.OTHER_POOL),
    ):
        worker.update_listing(msgspec.structs.replace(listed, **change))
        assert find_start_obstacle(first, worker) is obstacle
    worker.update_listing(listed)
    site.fleet_state.record_start(second, {1: worker}, site.now_ms)
    assert find_start_obstacle(first, worker) is Unsuitability.TASK_LIMIT


@pytest.mark.parametrize("seed", range(25))
def test_limits_hold_while_work_ends_drains_and_is_preempted(seed: int) -> None:
    """Guards against any order of bursts, ends, draining workers and stops that breaks a limit."""
    random_source = random.Random(seed)
    site = SmallSite(workers=5)
    jobs: list[tuple[FleetJob, int]] = []
    for number in range(40):
        limit = random_source.choice((1, 2))
        request = step(
            random_source.randint(1, 4),
            Resources(1_000, 1_000, random_source.choice((1, 2, 4, 8))),
            expected_ms=random_source.choice((1_000, 20_000)),
            is_gang=random_source.random() < 0.3,
            tasks_per_worker=limit,
        )
        queue = random_source.choice((URGENT, URGENT, OVERNIGHT))
        jobs.append((site.submit(f"job {number}", request, queue=queue), limit))
        for _ in range(2):
            stopped = [
                each.group
                for each in site.run_scheduling_round(random_source.choice((10, 200, 800)))
                if isinstance(each, StopGroup)
            ]
            assert all(most_on_one_worker(job) <= limit for job, limit in jobs)
            for group in stopped:
                if random_source.random() < 0.7:
                    site.end(group, EndKind.STOPPED)
        running = [each for job, _ in jobs for each in job.all_groups() if each.placements]
        for group in random_source.sample(running, len(running) // 3):
            kind = EndKind.STOPPED if group.is_stopping else EndKind.DONE
            site.end(group, kind)
        worker = site.worker(random_source.randrange(5))
        is_draining = not worker.listed.is_draining and random_source.random() < 0.3
        worker.update_listing(msgspec.structs.replace(worker.listed, is_draining=is_draining))
