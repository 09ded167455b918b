"""Tests for workers that are slow after their start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.state import FleetState
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.identifiers import QueueName

COLD_MS = 60_000


def make_cold(site: SmallSite, *numbers: int, remaining_ms: int = COLD_MS) -> None:
    site.listed = [
        msgspec.structs.replace(each, cold_remaining_ms=remaining_ms) if number in numbers else each
        for number, each in enumerate(site.listed)
    ]
    site.fleet_state.sync_workers(site.listed, site.now_ms)


def test_value_that_is_listed_for_longer_counts_from_its_first_listing() -> None:
    site = SmallSite()
    make_cold(site, 0, remaining_ms=4_000)
    first_ms = site.now_ms
    site.now_ms += 3_000
    make_cold(site, 0, remaining_ms=4_000)
    assert site.worker(0).is_cold(first_ms + 3_999)
    assert not site.worker(0).is_cold(first_ms + 4_000)
    make_cold(site, 0, remaining_ms=2_000)
    assert site.worker(0).is_cold(site.now_ms + 1_999)
    make_cold(site, 0, remaining_ms=0)
    assert not site.worker(0).is_cold(site.now_ms)
    assert site.worker(0).is_cold(site.now_ms - 1)


def test_worker_that_is_first_listed_as_cold_is_cold() -> None:
    fleet_state = FleetState()
    listed, *_ = SmallSite().listed
    cold = msgspec.structs.replace(listed, cold_remaining_ms=COLD_MS)
    (worker,) = fleet_state.sync_workers([cold], now_ms=1_000)
    assert worker.is_cold(COLD_MS)


def test_worker_that_has_started_again_counts_anew() -> None:
    site = SmallSite()
    make_cold(site, 0)
    site.now_ms += COLD_MS
    assert not site.worker(0).is_cold(site.now_ms)
    again = msgspec.structs.replace(site.listed[0], incarnation=2)
    site.fleet_state.sync_workers([again, *site.listed[1:]], site.now_ms)
    assert site.worker(0).is_cold(site.now_ms)


@pytest.mark.parametrize(
    ("work", "queue"),
    [(step(), URGENT), (step(tasks=2, needs=EIGHT_GPUS, is_gang=True), OVERNIGHT)],
)
def test_urgent_work_and_gangs_avoid_cold_workers_while_there_is_room(
    work: StepRequest, queue: QueueName
) -> None:
    site = SmallSite()
    make_cold(site, 0, 1)
    site.submit("job", work, queue=queue)
    (group,) = site.start_groups()
    assert not any(each.worker.is_cold(site.now_ms) for each in group.placements.values())


def test_urgent_work_uses_cold_workers_before_it_preempts() -> None:
    site = SmallSite(workers=2)
    site.submit("batch", step(needs=EIGHT_GPUS, expected_ms=COLD_MS), queue=OVERNIGHT)
    (batch,) = site.start_groups()
    free = 0 if batch.placements[0].worker is site.worker(1) else 1
    make_cold(site, free)
    site.submit("urgent", step(needs=EIGHT_GPUS), queue=URGENT)
    (urgent,) = site.start_groups()
    assert urgent.placements[0].worker is site.worker(free)
    assert not batch.is_stopping


def test_other_work_uses_cold_workers() -> None:
    site = SmallSite(workers=2)
    make_cold(site, 0, 1)
    site.submit("job", step(tasks=16))
    assert len(site.start_groups()) == 16


@pytest.mark.parametrize("is_cold", [False, True])
def test_runs_on_cold_workers_do_not_count_as_slow(is_cold: bool) -> None:
    site = SmallSite()
    if is_cold:
        make_cold(site, 0)
    site.submit("gang", step(tasks=4, needs=EIGHT_GPUS, is_gang=True, expected_ms=2_000))
    (group,) = site.start_groups()
    for number in (1, 2, 3):
        site.now_ms += 300
        for index, placement in group.placements.items():
            percent = number * (5 if placement.worker is site.worker(0) else 20)
            running = RunningTask(group.task_id(index), placement.run, percent=percent)
            site.report(int(placement.worker.name[1:]), (running,))
    assert site.worker(0).is_degraded(site.now_ms) is not is_cold


@pytest.mark.parametrize("is_cold", [False, True])
def test_speed_is_not_learned_from_runs_that_began_while_the_worker_was_cold(
    is_cold: bool,
) -> None:
    site = SmallSite()
    if is_cold:
        make_cold(site, 0)
    site.submit("gang", step(tasks=4, needs=EIGHT_GPUS, is_gang=True, expected_ms=2_000))
    (group,) = site.start_groups()
    for placement in group.placements.values():
        placement.confirm(site.now_ms)
    for number in (1, 2, 3):
        site.now_ms += 500
        for index, placement in group.placements.items():
            percent = number * (15 if placement.worker is site.worker(0) else 25)
            running = RunningTask(group.task_id(index), placement.run, percent=percent)
            site.report(int(placement.worker.name[1:]), (running,))
    site.run_scheduling_round()
    assert bool(site.worker(0).speed.precision) is not is_cold
    assert site.worker(1).speed.precision
