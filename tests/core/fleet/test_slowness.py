"""Tests for detecting stalled and slow workers and relocating groups from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup


def worker_number(group: TaskGroup, index: int) -> int:
    return int(group.placements[index].worker.name[1:])


def report_percents(
    site: SmallSite, group: TaskGroup, percents: dict[int, int], after_ms: int
) -> None:
    """Reports the progress of a group's tasks, in percent by index, from their workers."""
    site.now_ms += after_ms
    for index, percent in percents.items():
        running = RunningTask(group.task_id(index), group.run, percent=percent)
        site.report(worker_number(group, index), (running,))


def start_urgent_gang(site: SmallSite) -> TaskGroup:
    gang = step(tasks=2, needs=EIGHT_GPUS, is_gang=True, expected_ms=2_500)
    site.submit("now", gang, queue=URGENT)
    (group,) = site.start_groups()
    return group


def test_urgent_gang_is_relocated_from_a_stalled_worker() -> None:
    site = SmallSite()
    group = start_urgent_gang(site)
    report_percents(site, group, {0: 20, 1: 20}, after_ms=500)
    report_percents(site, group, {0: 60, 1: 20}, after_ms=1_200)
    stalled = group.placements[1].worker
    assert stalled.is_stalled(site.now_ms)
    (stop,) = site.run_scheduling_round()
    assert isinstance(stop, StopGroup)
    assert stop.group is group
    for index in list(group.placements):
        group.remove_placement(index)
    (again,) = site.start_groups()
    assert stalled not in {placement.worker for placement in again.placements.values()}


def test_urgent_gang_is_relocated_from_a_slow_worker() -> None:
    site = SmallSite()
    group = start_urgent_gang(site)
    report_percents(site, group, {0: 40, 1: 7}, after_ms=1_000)
    assert group.placements[1].worker.slowness(site.now_ms) > 4
    assert [type(each) for each in site.run_scheduling_round()] == [StopGroup]


def test_group_that_is_nearly_done_is_not_relocated() -> None:
    site = SmallSite()
    group = start_urgent_gang(site)
    report_percents(site, group, {0: 96, 1: 90}, after_ms=2_300)
    report_percents(site, group, {0: 99, 1: 94}, after_ms=400)
    assert site.run_scheduling_round() == []


def test_inaccurate_duration_estimate_does_not_mark_workers_slow() -> None:
    site = SmallSite(workers=8)
    group = start_urgent_gang(site)
    report_percents(site, group, {0: 12, 1: 12}, after_ms=500)
    report_percents(site, group, {0: 24, 1: 24}, after_ms=500)
    assert all(worker.slowness(site.now_ms) < 2 for worker in site.fleet_state.workers.values())
    assert site.run_scheduling_round() == []


def test_group_is_not_relocated_without_capacity_elsewhere() -> None:
    site = SmallSite(workers=2)
    group = start_urgent_gang(site)
    report_percents(site, group, {0: 40, 1: 7}, after_ms=1_000)
    assert site.run_scheduling_round() == []


def test_slow_assessment_of_an_idle_worker_expires() -> None:
    site = SmallSite()
    group = start_urgent_gang(site)
    report_percents(site, group, {0: 40, 1: 7}, after_ms=1_000)
    worker = group.placements[1].worker
    for index in list(group.placements):
        group.remove_placement(index)
    assert worker.is_degraded(site.now_ms)
    site.now_ms += 5_000
    assert worker.slowness(site.now_ms) == 1.0


def test_run_away_from_its_data_does_not_mark_its_worker_slow() -> None:
    site = SmallSite()
    job = site.submit("job", step(tasks=17, expected_ms=3_000, data_rack="r0"))
    local = site.start_groups()
    assert len(local) == 16
    (remote,) = site.start_groups(after_ms=3_100)
    remote_index = remote.indexes.start
    assert remote.placements[remote_index].worker.listed.rack == "r1"
    report_percents(site, local[0], {local[0].indexes.start: 40}, after_ms=400)
    report_percents(site, remote, {remote_index: 3}, after_ms=600)
    assert not any(each.is_degraded(site.now_ms) for each in site.fleet_state.workers.values())
    assert not job.state.is_final


def test_gang_uses_a_slow_worker_after_waiting_for_healthy_ones() -> None:
    site = SmallSite(workers=2)
    site.worker(1).set_health(6.0, False, site.now_ms + 60_000)
    gang = step(tasks=2, needs=EIGHT_GPUS, is_gang=True, expected_ms=2_500)
    site.submit("now", gang, queue=URGENT)
    assert site.start_groups() == []
    (group,) = site.start_groups(after_ms=1_500)
    assert group.job.id == "now"


def test_batch_gang_without_checkpoints_is_not_relocated() -> None:
    site = SmallSite()
    gang = step(tasks=2, needs=EIGHT_GPUS, is_gang=True, expected_ms=8_000)
    site.submit("batch", gang, queue=OVERNIGHT)
    (group,) = site.start_groups()
    report_percents(site, group, {0: 30, 1: 5}, after_ms=2_400)
    assert group.placements[1].worker.is_degraded(site.now_ms)
    assert site.run_scheduling_round() == []


def test_run_resumed_from_a_checkpoint_does_not_mark_its_worker_slow() -> None:
    site = SmallSite()
    saving = step(tasks=2, needs=EIGHT_GPUS, expected_ms=10_000, saves_checkpoints=True)
    site.submit("job", saving, queue=OVERNIGHT)
    first, second = site.start_groups()
    site.end(first, EndKind.STOPPED, checkpoint="c1")
    (again,) = site.start_groups()
    assert again is first
    index, other = first.indexes.start, second.indexes.start
    report_percents(site, first, {index: 70}, after_ms=500)
    report_percents(site, second, {other: 10}, after_ms=500)
    report_percents(site, first, {index: 75}, after_ms=500)
    assert not any(each.is_degraded(site.now_ms) for each in site.fleet_state.workers.values())
