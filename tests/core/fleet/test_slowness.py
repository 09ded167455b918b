"""Workers that stand still or turn slow, and the groups that are moved away from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from tests.core.fleet.fleet_book import EIGHT_GPUS
from tests.core.fleet.fleet_book import OVERNIGHT
from tests.core.fleet.fleet_book import URGENT
from tests.core.fleet.fleet_book import SmallSite
from tests.core.fleet.fleet_book import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup


def number_of(group: TaskGroup, index: int) -> int:
    return int(group.placements[index].worker.name[1:])


def show(site: SmallSite, group: TaskGroup, percents: dict[int, int], after_ms: int) -> None:
    """Has the workers of a group report the given progress of its tasks."""
    site.now_ms += after_ms
    for index, percent in percents.items():
        running = RunningTask(group.task(index), group.run, percent=percent)
        site.report(number_of(group, index), (running,))


def urgent_gang(site: SmallSite) -> TaskGroup:
    gang = step(tasks=2, needs=EIGHT_GPUS, is_gang=True, expected_ms=2_500)
    site.submit("now", gang, queue=URGENT)
    (group,) = site.started()
    return group


def test_an_urgent_gang_leaves_a_worker_that_stands_still() -> None:
    site = SmallSite()
    group = urgent_gang(site)
    show(site, group, {0: 20, 1: 20}, after_ms=500)
    show(site, group, {0: 60, 1: 20}, after_ms=1_200)
    standing = group.placements[1].worker
    assert standing.is_standing(site.now_ms)
    (stop,) = site.decide()
    assert isinstance(stop, StopGroup)
    assert stop.group is group
    for index in list(group.placements):
        group.displace(index)
    (again,) = site.started()
    assert standing not in {placement.worker for placement in again.placements.values()}


def test_an_urgent_gang_leaves_a_slow_worker() -> None:
    site = SmallSite()
    group = urgent_gang(site)
    show(site, group, {0: 40, 1: 7}, after_ms=1_000)
    assert group.placements[1].worker.slowness(site.now_ms) > 4
    assert [type(each) for each in site.decide()] == [StopGroup]


def test_a_group_that_is_nearly_done_stays() -> None:
    site = SmallSite()
    group = urgent_gang(site)
    show(site, group, {0: 96, 1: 90}, after_ms=2_300)
    show(site, group, {0: 99, 1: 94}, after_ms=400)
    assert site.decide() == []


def test_a_guess_that_is_off_makes_no_worker_slow() -> None:
    site = SmallSite(workers=8)
    group = urgent_gang(site)
    show(site, group, {0: 12, 1: 12}, after_ms=500)
    show(site, group, {0: 24, 1: 24}, after_ms=500)
    assert all(worker.slowness(site.now_ms) < 2 for worker in site.book.workers.values())
    assert site.decide() == []


def test_without_room_elsewhere_a_group_stays() -> None:
    site = SmallSite(workers=2)
    group = urgent_gang(site)
    show(site, group, {0: 40, 1: 7}, after_ms=1_000)
    assert site.decide() == []


def test_a_worker_without_tasks_is_taken_for_sound_again() -> None:
    site = SmallSite()
    group = urgent_gang(site)
    show(site, group, {0: 40, 1: 7}, after_ms=1_000)
    worker = group.placements[1].worker
    for index in list(group.placements):
        group.displace(index)
    assert worker.is_troubled(site.now_ms)
    site.now_ms += 5_000
    assert worker.slowness(site.now_ms) == 1.0


def test_a_run_far_from_its_data_makes_no_worker_slow() -> None:
    site = SmallSite()
    job = site.submit("job", step(tasks=17, expected_ms=3_000, data_rack="r0"))
    near = site.started()
    assert len(near) == 16
    (away,) = site.started(after_ms=3_100)
    far = away.indexes.start
    assert away.placements[far].worker.listed.rack == "r1"
    show(site, near[0], {near[0].indexes.start: 40}, after_ms=400)
    show(site, away, {far: 3}, after_ms=600)
    assert not any(each.is_troubled(site.now_ms) for each in site.book.workers.values())
    assert not job.state.is_final


def test_a_gang_that_needs_a_slow_worker_takes_it_after_a_while() -> None:
    site = SmallSite(workers=2)
    site.worker(1).judge(6.0, False, site.now_ms + 60_000)
    gang = step(tasks=2, needs=EIGHT_GPUS, is_gang=True, expected_ms=2_500)
    site.submit("now", gang, queue=URGENT)
    assert site.started() == []
    (group,) = site.started(after_ms=1_500)
    assert group.job.id == "now"


def test_long_work_without_checkpoints_is_not_started_again_elsewhere() -> None:
    site = SmallSite()
    gang = step(tasks=2, needs=EIGHT_GPUS, is_gang=True, expected_ms=8_000)
    site.submit("batch", gang, queue=OVERNIGHT)
    (group,) = site.started()
    show(site, group, {0: 30, 1: 5}, after_ms=2_400)
    assert group.placements[1].worker.is_troubled(site.now_ms)
    assert site.decide() == []


def test_a_run_that_goes_on_from_a_checkpoint_makes_no_worker_slow() -> None:
    site = SmallSite()
    saving = step(tasks=2, needs=EIGHT_GPUS, expected_ms=10_000, saves_checkpoints=True)
    site.submit("job", saving, queue=OVERNIGHT)
    first, second = site.started()
    site.end(first, EndKind.STOPPED, checkpoint="c1")
    (again,) = site.started()
    assert again is first
    index, other = first.indexes.start, second.indexes.start
    show(site, first, {index: 70}, after_ms=500)
    show(site, second, {other: 10}, after_ms=500)
    show(site, first, {index: 75}, after_ms=500)
    assert not any(each.is_troubled(site.now_ms) for each in site.book.workers.values())
