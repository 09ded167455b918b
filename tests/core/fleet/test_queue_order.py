"""Under overload, guarantees hold, and what waits is what costs callers least."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.reports import EndKind
from jujubehall.identifiers import TeamName
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob

LARGE_TEAM = TeamName("large")
SMALL_TEAM = TeamName("small")
OTHER_TEAM = TeamName("other")
GUARANTEES = (Team(LARGE_TEAM, frozenset(), 8), Team(SMALL_TEAM, frozenset(), 16))


def make_site(workers: int = 4) -> SmallSite:
    """Returns a site whose accelerators are guaranteed to two teams in part."""
    site = SmallSite(workers=workers)
    site.fleet_state.apply_configuration(
        msgspec.structs.replace(CONFIGURATION, version=2, teams=GUARANTEES)
    )
    return site


def test_guaranteed_accelerators_are_reclaimed_from_urgent_work_of_another_team() -> None:
    """A burst of urgent jobs of one team fills the site; the other team's guarantee must hold."""
    site = make_site()
    site.submit("burst", step(tasks=32, expected_ms=60_000), queue=URGENT, team=LARGE_TEAM)
    assert len(site.start_groups()) == 32
    gang = step(tasks=16, expected_ms=2_000, is_gang=True)
    job = site.submit("reclaim", gang, queue=URGENT, team=SMALL_TEAM)
    stopped = [each for each in site.run_scheduling_round() if isinstance(each, StopGroup)]
    assert len(stopped) == 16
    for each in stopped:
        site.end(each.group, EndKind.STOPPED)
    (started,) = [each for each in site.start_groups() if each.job is job]
    assert len(started.placements) == 16


def test_urgent_work_beyond_the_guarantee_reclaims_nothing() -> None:
    site = make_site()
    site.submit("burst", step(tasks=32, expected_ms=60_000), queue=URGENT, team=LARGE_TEAM)
    site.start_groups()
    gang = step(tasks=17, expected_ms=2_000, is_gang=True)
    site.submit("too large", gang, queue=URGENT, team=SMALL_TEAM)
    assert site.run_scheduling_round() == []


def test_work_within_the_guarantee_of_its_team_is_never_reclaimed() -> None:
    site = make_site(workers=3)
    small = site.submit("own", step(tasks=16, expected_ms=60_000), queue=URGENT, team=SMALL_TEAM)
    site.submit("other", step(tasks=8, expected_ms=60_000), queue=URGENT, team=LARGE_TEAM)
    site.start_groups()
    site.submit("more", step(tasks=8, expected_ms=2_000), queue=URGENT, team=LARGE_TEAM)
    site.submit("even more", step(tasks=8, expected_ms=2_000), queue=URGENT, team=SMALL_TEAM)
    assert site.run_scheduling_round() == []
    assert all(group.placements for group in small.all_groups())


def test_guaranteed_work_is_placed_before_older_work_beyond_the_guarantee() -> None:
    site = make_site(workers=1)
    running_step = step(needs=EIGHT_GPUS, expected_ms=60_000)
    site.submit("running", running_step, queue=URGENT, team=LARGE_TEAM)
    running = site.start_groups()
    site.submit("older", step(tasks=8, expected_ms=2_000), queue=URGENT, team=OTHER_TEAM)
    site.run_scheduling_round()
    newer = site.submit("newer", step(tasks=8, expected_ms=2_000), queue=URGENT, team=SMALL_TEAM)
    for group in running:
        site.end(group, EndKind.DONE)
    assert {group.job for group in site.start_groups()} == {newer}


def test_job_that_can_be_in_time_passes_older_jobs_that_are_late() -> None:
    """In a backlog, first come, first served would make each new job late as well."""
    site = make_site(workers=1)
    site.submit("running", step(needs=EIGHT_GPUS, expected_ms=60_000))
    running = site.start_groups()
    late = site.submit("late", step(tasks=8, expected_ms=1_000), queue=NORMAL)
    site.now_ms += 20_000
    fresh = site.submit("fresh", step(tasks=8, expected_ms=1_000), queue=NORMAL)
    for group in running:
        site.end(group, EndKind.DONE)
    started = site.start_groups()
    assert {group.job for group in started} == {fresh}
    for group in started:
        site.end(group, EndKind.DONE)
    assert {group.job for group in site.start_groups()} == {late}


def test_late_job_is_passed_for_a_limited_time() -> None:
    site = make_site(workers=1)
    site.submit("running", step(needs=EIGHT_GPUS, expected_ms=60_000))
    running = site.start_groups()
    late = site.submit("late", step(tasks=8, expected_ms=1_000), queue=NORMAL)
    site.now_ms += 31_000
    site.submit("fresh", step(tasks=8, expected_ms=1_000), queue=NORMAL)
    for group in running:
        site.end(group, EndKind.DONE)
    assert {group.job for group in site.start_groups()} == {late}


def fill_one_worker(site: SmallSite) -> list[TaskGroup]:
    """Fills the only worker with one long task and returns it."""
    site.submit("running", step(needs=EIGHT_GPUS, expected_ms=60_000))
    return site.start_groups()


def start_order(site: SmallSite, running: list[TaskGroup]) -> list[FleetJob]:
    """Returns the jobs in the order in which they start, one after the other."""
    order = []
    while running:
        for group in running:
            site.end(group, EndKind.DONE)
        running = site.start_groups()
        order += [group.job for group in running]
    return order


def test_in_a_backlog_the_job_goes_first_that_costs_most_for_the_work_it_needs() -> None:
    """Both can be in time. The larger one came first and would keep the small one waiting."""
    site = make_site(workers=1)
    running = fill_one_worker(site)
    large = site.submit("large", step(tasks=4, needs=EIGHT_GPUS, expected_ms=4_000))
    small = site.submit("small", step(needs=EIGHT_GPUS, expected_ms=4_000))
    assert start_order(site, running) == [small, large, large, large, large]


def test_of_two_equal_jobs_the_one_with_less_slack_goes_first() -> None:
    site = make_site(workers=1)
    running = fill_one_worker(site)
    first = site.submit("b", step(needs=EIGHT_GPUS, expected_ms=4_000))
    site.now_ms += 5_000
    second = site.submit("a", step(needs=EIGHT_GPUS, expected_ms=4_000))
    assert start_order(site, running) == [first, second]


def test_expired_work_lets_work_of_a_lower_priority_pass() -> None:
    """Its caller has no use for it any more, while the other job can still be in time."""
    site = make_site(workers=1)
    running = fill_one_worker(site)
    expired = site.submit("expired", step(needs=EIGHT_GPUS, expected_ms=1_000))
    site.now_ms += 13_000
    overnight = site.submit("overnight", step(needs=EIGHT_GPUS, expected_ms=1_000), queue=OVERNIGHT)
    assert start_order(site, running) == [overnight, expired]


def test_expired_work_ends_even_if_the_overload_lasts() -> None:
    """A worker that is too small for all jobs of a lower priority; the expired one isn't starved."""
    site = make_site(workers=1)
    running = fill_one_worker(site)
    expired = site.submit("expired", step(needs=EIGHT_GPUS, expected_ms=1_000))
    site.now_ms += 13_000
    started: list[FleetJob] = []
    while expired not in started:
        assert site.now_ms < 1_000_000 + 35_000
        name = f"overnight {site.now_ms}"
        site.submit(name, step(needs=EIGHT_GPUS, expected_ms=1_000), queue=OVERNIGHT)
        for group in running:
            site.end(group, EndKind.DONE)
        running = site.start_groups(after_ms=1_000)
        started += [group.job for group in running]
    assert len(started) > 5


def test_guaranteed_work_goes_first_although_it_has_expired() -> None:
    site = make_site(workers=1)
    site.submit("running", step(needs=EIGHT_GPUS, expected_ms=60_000), queue=URGENT)
    running = site.start_groups()
    one_task = step(needs=EIGHT_GPUS, expected_ms=1_000)
    expired = site.submit("expired", one_task, queue=URGENT, team=SMALL_TEAM)
    site.now_ms += 8_000
    fresh = site.submit("fresh", one_task, queue=URGENT, team=OTHER_TEAM)
    assert start_order(site, running) == [expired, fresh]
