"""Under overload, guarantees hold and jobs that can still be in time go first."""

from __future__ import annotations

import msgspec

from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.reports import EndKind
from jujubehall.identifiers import TeamName
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

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
