"""The usual speed of each worker is learned from few runs, and only from its own."""

from __future__ import annotations

import math

from random import Random

import pytest

from jujubehall.core.fleet.gang_evidence import Member
from jujubehall.core.fleet.gang_evidence import evidence_of_end
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import RackName
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import step
from tests.core.fleet.uneven_site import UnevenSite

UNEVEN = [0.6, 1.0, 1.6, 1.0, 1.6, 0.6, 1.0, 1.6]
ALIKE = [1.0] * 8
WHOLE_RACK = step(tasks=8, needs=EIGHT_GPUS, is_gang=True, expected_ms=5_000)


def assert_learned(site: UnevenSite) -> None:
    learned = [site.factor(number) for number in range(len(site.factors))]
    assert learned == pytest.approx(site.factors, rel=0.15)


def run_mixed_load(site: UnevenSite, random: Random, jobs: int) -> None:
    """Runs gangs and single tasks with wrong estimates, some of seven times the work."""
    for number in range(jobs):
        work_ms = 3_000 * math.exp(random.gauss(0, 0.4))
        expected_ms = round(work_ms * math.exp(random.gauss(0, 0.25)))
        is_gang = number % 2 == 0
        tasks = 6 if is_gang else 24
        works = [
            work_ms * random.uniform(0.85, 1.15) * (7 if random.random() < 0.03 else 1)
            for _ in range(tasks)
        ]
        request = step(
            tasks,
            EIGHT_GPUS if is_gang else Resources(1_000, 1_000, 1),
            is_gang=is_gang,
            expected_ms=expected_ms,
        )
        site.run_step(f"job {number}", request, works, URGENT if is_gang else OVERNIGHT)


def test_speeds_are_learned_from_the_progress_of_one_gang_on_all_workers() -> None:
    site = UnevenSite(UNEVEN)
    site.learn(1, WHOLE_RACK, 5_000)
    assert_learned(site)


def test_speeds_are_learned_from_the_ends_of_single_tasks() -> None:
    site = UnevenSite(UNEVEN)
    tasks = step(tasks=64, expected_ms=1_500)
    site.run_step("tasks", tasks, [1_500.0] * 64, OVERNIGHT, with_reports=False)
    assert_learned(site)


@pytest.mark.parametrize("seed", range(4))
def test_speeds_are_learned_in_spite_of_wrong_estimates_and_long_tasks(seed: int) -> None:
    site = UnevenSite(UNEVEN * 2)
    run_mixed_load(site, Random(seed), jobs=24)
    classes = [site.worker(number).speed.speed_class for number in range(16)]
    signs = [(each > 0) - (each < 0) for each in classes]
    assert signs == [(each > 1) - (each < 1) for each in site.factors]


@pytest.mark.parametrize("seed", range(4))
def test_like_workers_keep_the_usual_speed(seed: int) -> None:
    site = UnevenSite(ALIKE * 2)
    run_mixed_load(site, Random(seed), jobs=24)
    assert not site.fleet_state.speeds.has_classes
    assert [site.factor(number) for number in range(16)] == [1.0] * 16


def test_passing_slowness_is_not_taken_for_the_usual_speed() -> None:
    site = UnevenSite(ALIKE)
    site.learn(3, WHOLE_RACK, 5_000)
    site.disturbances = {3: 5.0}
    site.learn(1, WHOLE_RACK, 5_000)
    assert [site.factor(number) for number in range(8)] == ALIKE


def test_worker_that_is_always_slow_does_not_count_as_degraded() -> None:
    site = UnevenSite([0.6] * 5 + [1.6] * 3)
    site.learn(3, WHOLE_RACK, 5_000)
    site.submit("next", WHOLE_RACK)
    (group,) = site.start_groups()
    started_ms = site.now_ms
    for elapsed_ms in (600, 1_200):
        for index, placement in group.placements.items():
            number = int(placement.worker.name[1:])
            percent = int(100 * elapsed_ms / (5_000 * site.factors[number]))
            site.now_ms = started_ms + elapsed_ms
            site.report(number, (RunningTask(group.task_id(index), group.run, percent=percent),))
    assert not any(each.is_degraded(site.now_ms) for each in site.fleet_state.workers.values())


def test_runs_away_from_their_data_say_nothing_about_their_workers() -> None:
    site = UnevenSite(ALIKE)
    remote = step(
        tasks=8, needs=EIGHT_GPUS, is_gang=True, expected_ms=5_000, data_rack=RackName("r9")
    )
    for number in range(3):
        site.submit(f"gang {number}", remote, queue=URGENT)
        (group,) = site.start_groups()
        for placement in group.placements.values():
            placement.confirm(site.now_ms)
        site.now_ms += 15_000
        site.end(group, EndKind.DONE)
    site.run_scheduling_round()
    assert site.fleet_state.speeds.known_workers == 0


def test_new_incarnation_of_a_worker_starts_at_the_usual_speed() -> None:
    site = UnevenSite(UNEVEN)
    site.learn(2, WHOLE_RACK, 5_000)
    assert site.factor(2) > 1.3
    site.report(2, incarnation=2)
    assert site.factor(2) == 1.0
    assert site.worker(2).speed.samples == 0


def test_resumed_run_is_judged_by_its_progress_since_the_first_report() -> None:
    site = UnevenSite(UNEVEN)
    site.learn(2, WHOLE_RACK, 5_000)
    before = site.factor(2)
    task = step(needs=EIGHT_GPUS, expected_ms=5_000, saves_checkpoints=True)
    job = site.submit("resumed", task, queue=URGENT)
    (group,) = job.all_groups()
    group.checkpoint = "half"
    (group,) = site.start_groups()
    (placement,) = group.placements.values()
    number = int(placement.worker.name[1:])
    duration_ms = 5_000 * site.factors[number]
    for elapsed_ms in (100, 1_100):
        percent = 50 + int(100 * elapsed_ms / duration_ms)
        site.now_ms += elapsed_ms
        site.report(number, (RunningTask(group.task_id(0), group.run, percent=percent),))
    site.run_scheduling_round()
    assert site.factor(number) == pytest.approx(site.factors[number], rel=0.15)
    assert site.factor(2) == pytest.approx(before, rel=0.1)


def test_fast_end_of_a_gang_says_that_all_its_members_are_fast() -> None:
    unknown = [Member(0.0, 0.16)] * 5
    for evidence in evidence_of_end(-0.5, unknown):
        assert evidence is not None
        assert evidence.mean < -0.4


def test_slow_end_of_a_gang_says_most_about_the_members_that_had_not_finished() -> None:
    members = [Member(0.0, 0.16), *[Member(0.0, 0.16, limit=0.0)] * 4]
    slowest, *others = evidence_of_end(0.5, members)
    assert slowest is not None
    assert slowest.mean == pytest.approx(0.5, abs=0.05)
    assert all(each is None or each.mean < 0 for each in others)
