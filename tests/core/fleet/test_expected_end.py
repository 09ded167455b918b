"""Groups are placed on the workers on which they are expected to end in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.expected_end import ANY_SPEED
from jujubehall.core.fleet.expected_end import speed_preference
from jujubehall.core.fleet.worker_speed import SLOWEST_CLASS
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import step
from tests.core.fleet.uneven_site import UnevenSite

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup

FAST, USUAL, SLOW = 0.6, 1.0, 1.6
SLOW_RACK = [SLOW] * 4
MIXED_RACK = [FAST, USUAL, SLOW, USUAL]
FAST_RACK = [FAST] * 4
ALL_WORKERS = step(tasks=12, needs=EIGHT_GPUS, is_gang=True, expected_ms=5_000)
URGENT_GANG = step(
    tasks=3, needs=EIGHT_GPUS, is_gang=True, prefers_one_rack=True, expected_ms=2_000
)


def learned_site() -> UnevenSite:
    """Returns a site with known speeds: a slow rack, w0 to w3, and a mixed one, w4 to w7.

    Its fast rack is out of use.
    """
    site = UnevenSite(SLOW_RACK + MIXED_RACK + FAST_RACK, rack_size=4)
    site.learn(3, ALL_WORKERS, 5_000)
    for number in range(8, 12):
        site.worker(number).is_reachable = False
    return site


def names(group: TaskGroup) -> set[str]:
    return {each.worker.name for each in group.placements.values()}


def occupy(site: UnevenSite, worker: int) -> TaskGroup:
    """Fills a worker with an overnight task."""
    others = [site.worker(number) for number in range(8) if number != worker]
    for each in others:
        each.is_reachable = False
    site.submit(f"night on {worker}", step(needs=EIGHT_GPUS, expected_ms=9_000), queue=OVERNIGHT)
    (group,) = site.start_groups()
    for each in others:
        each.is_reachable = True
    for placement in group.placements.values():
        placement.confirm(site.now_ms)
    return group


def test_urgent_gang_uses_the_rack_in_which_none_of_its_workers_is_slow() -> None:
    site = learned_site()
    site.submit("urgent", URGENT_GANG, queue=URGENT)
    (group,) = site.start_groups()
    assert names(group) == {"w4", "w5", "w7"}


def test_urgent_gang_that_needs_usual_workers_leaves_the_fast_ones() -> None:
    site = learned_site()
    pair = step(tasks=2, needs=EIGHT_GPUS, is_gang=True, prefers_one_rack=True, expected_ms=2_000)
    site.submit("urgent", pair, queue=URGENT)
    (group,) = site.start_groups()
    assert names(group) == {"w5", "w7"}


def test_work_with_slack_leaves_the_fast_workers_free() -> None:
    site = learned_site()
    site.submit("night", step(tasks=40, expected_ms=9_000), queue=OVERNIGHT)
    assert {name for group in site.start_groups() for name in names(group)} == {
        "w0",
        "w1",
        "w2",
        "w3",
        "w6",
    }
    site.submit("normal", step(tasks=2, needs=EIGHT_GPUS, is_gang=True, expected_ms=6_000))
    (gang,) = site.start_groups()
    assert names(gang) == {"w5", "w7"}


def test_work_that_has_waited_uses_workers_on_which_it_is_still_in_time() -> None:
    site = learned_site()
    job = site.submit("normal", step(expected_ms=1_000), queue=NORMAL)
    (group,) = job.all_groups()
    assert speed_preference(group, site.now_ms).slowest_class == SLOWEST_CLASS
    site.now_ms += 2_700
    assert speed_preference(group, site.now_ms).slowest_class == 0
    (started,) = site.start_groups()
    assert names(started) <= {"w5", "w7"}


def test_work_that_is_late_anywhere_leaves_the_fast_workers_to_others() -> None:
    site = learned_site()
    job = site.submit("normal", step(expected_ms=1_000), queue=NORMAL)
    (group,) = job.all_groups()
    assert speed_preference(group, site.now_ms + 10_000) == ANY_SPEED


def test_urgent_gang_preempts_cheap_work_rather_than_end_late_on_slow_workers() -> None:
    site = learned_site()
    victim = occupy(site, 5)
    site.submit("urgent", URGENT_GANG, queue=URGENT)
    (stop,) = site.run_scheduling_round()
    assert isinstance(stop, StopGroup)
    assert stop.group is victim
    for index in list(victim.placements):
        victim.remove_placement(index)
    started = [each for each in site.run_scheduling_round(200) if isinstance(each, StartGroup)]
    assert names(started[0].group) == {"w4", "w5", "w7"}


def test_urgent_gang_starts_at_once_on_slow_workers_if_others_cost_too_much() -> None:
    site = learned_site()
    occupy(site, 5)
    site.now_ms += 60_000
    site.submit("urgent", URGENT_GANG, queue=URGENT)
    (start,) = site.run_scheduling_round()
    assert isinstance(start, StartGroup)
    assert names(start.group) < {"w0", "w1", "w2", "w3"}


def test_urgent_gang_for_which_it_is_too_late_starts_at_once_on_slow_workers() -> None:
    site = learned_site()
    occupy(site, 5)
    site.submit("urgent", URGENT_GANG, queue=URGENT)
    site.now_ms += 1_500
    (start,) = site.run_scheduling_round()
    assert isinstance(start, StartGroup)
