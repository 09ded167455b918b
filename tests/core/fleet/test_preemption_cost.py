"""An urgent group stops what costs callers least, and nothing if its own delay costs them less."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.delay_cost import DelayCost
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.work_history import WorkHistory
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import TEAM
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob

GANG_OF_4 = step(tasks=4, needs=EIGHT_GPUS, expected_ms=10_000, is_gang=True)


def make_site(workers: int, guaranteed_accelerators: int = 0) -> SmallSite:
    """Returns a site with one team."""
    site = SmallSite(workers=workers, rack_size=workers)
    team = Team(TEAM, frozenset(), guaranteed_accelerators)
    site.fleet_state.apply_configuration(
        msgspec.structs.replace(CONFIGURATION, version=2, teams=(team,))
    )
    return site


def submit_urgent(site: SmallSite, tasks: int = 1, expected_ms: int = 2_000) -> FleetJob:
    """Submits an urgent job whose tasks need one worker each."""
    gang = step(tasks=tasks, needs=EIGHT_GPUS, expected_ms=expected_ms, is_gang=True)
    return site.submit(f"urgent {site.now_ms}", gang, queue=URGENT)


def stopped_groups(site: SmallSite) -> list[TaskGroup]:
    """Runs a scheduling round and returns the groups that it stops."""
    return [each.group for each in site.run_scheduling_round() if isinstance(each, StopGroup)]


def record_usual_jobs(site: SmallSite) -> None:
    """Makes an urgent job of four tasks the mean one of its queue."""
    for number in range(30):
        usual = step(tasks=4, needs=EIGHT_GPUS, expected_ms=2_000)
        job = site.submit(f"usual {number}", usual, queue=URGENT)
        site.fleet_state.cancel(job.id, site.now_ms)


@pytest.mark.parametrize(("tasks", "is_stopped"), [(1, False), (4, True)])
def test_gang_is_not_stopped_for_a_single_task(tasks: int, is_stopped: bool) -> None:
    """A gang that is half done is given up for an urgent job of its size only."""
    site = make_site(workers=4)
    record_usual_jobs(site)
    gang = site.submit("gang", GANG_OF_4, queue=NORMAL)
    site.start_groups()
    site.now_ms += 5_000
    submit_urgent(site, tasks)
    assert [group.job for group in stopped_groups(site)] == [gang] * is_stopped


def test_smaller_loss_is_preferred_to_a_gang() -> None:
    site = make_site(workers=5)
    gang = site.submit("gang", GANG_OF_4, queue=NORMAL)
    site.start_groups()
    site.now_ms += 1_000
    single = site.submit("single", step(needs=EIGHT_GPUS, expected_ms=10_000), queue=NORMAL)
    site.start_groups()
    site.now_ms += 2_000
    submit_urgent(site)
    assert [group.job for group in stopped_groups(site)] == [single]
    assert all(group.placements for group in gang.all_groups())


def test_work_that_can_still_restart_in_time_is_preferred_to_work_that_cannot() -> None:
    """Both have run for as long; only the older one would be late."""
    site = make_site(workers=2)
    older = site.submit("a", step(needs=EIGHT_GPUS, expected_ms=4_000))
    site.now_ms += 5_000
    newer = site.submit("b", step(needs=EIGHT_GPUS, expected_ms=4_000))
    site.start_groups()
    site.now_ms += 1_000
    submit_urgent(site)
    assert [group.job for group in stopped_groups(site)] == [newer]
    assert all(group.placements for group in older.all_groups())


def test_expired_job_stops_nothing_and_starts_once_there_is_room() -> None:
    site = make_site(workers=1)
    batch = site.submit("batch", step(needs=EIGHT_GPUS, expected_ms=60_000), queue=OVERNIGHT)
    (running,) = site.start_groups()
    expired = submit_urgent(site)
    # Its objective is 3.25 s and the owner hasn't been able to start anything.
    site.now_ms += 9_000
    assert stopped_groups(site) == []
    site.end(running, EndKind.DONE)
    assert [group.job for group in site.start_groups()] == [expired]
    assert batch.state.is_final


@pytest.mark.parametrize("saves_checkpoints", [False, True])
def test_late_job_stops_only_what_loses_less_than_it_is_still_worth(
    saves_checkpoints: bool,
) -> None:
    site = make_site(workers=1)
    batch = step(needs=EIGHT_GPUS, expected_ms=12_000, saves_checkpoints=saves_checkpoints)
    job = site.submit("batch", batch, queue=OVERNIGHT)
    site.start_groups()
    submit_urgent(site)
    site.now_ms += 6_000
    assert [group.job for group in stopped_groups(site)] == [job] * saves_checkpoints


def test_guaranteed_job_stops_work_although_it_has_expired() -> None:
    site = make_site(workers=1, guaranteed_accelerators=8)
    batch = site.submit("batch", step(needs=EIGHT_GPUS, expected_ms=60_000), queue=OVERNIGHT)
    site.start_groups()
    submit_urgent(site)
    site.now_ms += 9_000
    assert [group.job for group in stopped_groups(site)] == [batch]


def test_expired_job_stops_work_after_the_longest_wait() -> None:
    """Without room for it, it would wait for as long as the work that runs."""
    site = make_site(workers=1)
    batch = site.submit("batch", step(needs=EIGHT_GPUS, expected_ms=600_000), queue=OVERNIGHT)
    site.start_groups()
    submit_urgent(site)
    site.now_ms += 29_000
    assert stopped_groups(site) == []
    site.now_ms += 1_000
    assert [group.job for group in stopped_groups(site)] == [batch]


def test_small_groups_are_spared_if_a_gang_that_has_to_be_stopped_frees_enough() -> None:
    """The urgent gang needs two workers. Each runs a member of another gang and a small task."""
    site = make_site(workers=2)
    gang = site.submit(
        "gang",
        step(tasks=2, needs=msgspec.structs.replace(EIGHT_GPUS, accelerators=6), is_gang=True),
        queue=OVERNIGHT,
    )
    small = site.submit(
        "small", step(tasks=2, expected_ms=60_000, tasks_per_worker=1), queue=OVERNIGHT
    )
    site.start_groups()
    site.now_ms += 200
    urgent = step(
        tasks=2,
        needs=msgspec.structs.replace(EIGHT_GPUS, accelerators=7),
        expected_ms=5_000,
        is_gang=True,
    )
    site.submit("urgent", urgent, queue=URGENT)
    assert [group.job for group in stopped_groups(site)] == [gang]
    assert all(group.placements for group in small.all_groups())


def test_repeated_work_counts_beyond_the_limit_of_its_jobs_value() -> None:
    """The value of a job is limited, and the capacity that its repeated work takes is not."""
    history = WorkHistory()
    site = SmallSite(workers=16, rack_size=8)
    for number in range(20):
        history.record_job(site.submit(f"usual{number}", step(expected_ms=1_000)))
    large = site.submit("large", step(tasks=64, expected_ms=1_000, is_gang=True))
    half = site.submit("half", step(tasks=32, expected_ms=1_000, is_gang=True))
    site.start_groups()
    cost = DelayCost(site.now_ms + 500, history)
    losses = [cost.stop_loss(next(job.all_groups())).waste for job in (large, half)]
    assert cost.value(large) == cost.value(half)
    assert losses[0] >= 1.9 * losses[1]
