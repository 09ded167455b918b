"""Tests which gangs are stopped because some of their members have not started."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.decisions import StopReason
from jujubehall.core.fleet.gang_starts import STOP_ALLOWANCE_MS
from jujubehall.core.fleet.reports import EndedTask
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup

TASKS = 3
LEASES_END_MS = 5_000


@pytest.fixture
def site() -> SmallSite:
    """Returns the site of a new owner after an earlier one has stored the start of a gang.

    The workers ``w0`` to ``w2`` may have its members and have not reported yet.
    """
    earlier = SmallSite(workers=TASKS)
    job = earlier.submit("gang", step(tasks=TASKS, needs=EIGHT_GPUS, is_gang=True))
    earlier.run_scheduling_round()
    successor = SmallSite(workers=TASKS)
    successor.fleet_state.add_job(job.accepted, job.progress(), successor.now_ms, successor.now_ms)
    for worker in successor.fleet_state.workers.values():
        worker.has_reported = False
        worker.previous_leases_end_ms = successor.now_ms + LEASES_END_MS
    return successor


def gang_of(site: SmallSite) -> TaskGroup:
    (job,) = site.fleet_state.jobs.values()
    (group,) = job.all_groups()
    return group


def report_member(site: SmallSite, index: int) -> None:
    site.report(index, (RunningTask(gang_of(site).task_id(index), 1),))


def stops(site: SmallSite, after_ms: int = 10) -> list[StopReason]:
    decisions = site.run_scheduling_round(after_ms)
    return [each.reason for each in decisions if isinstance(each, StopGroup)]


def test_incomplete_gang_of_an_earlier_owner_is_stopped_once_all_its_workers_have_reported(
    site: SmallSite,
) -> None:
    report_member(site, 0)
    report_member(site, 1)
    assert stops(site) == []
    site.report(2)
    assert stops(site) == [StopReason.GANG_INCOMPLETE]
    assert gang_of(site).is_stopping


def test_incomplete_gang_is_stopped_when_the_leases_of_a_silent_worker_have_ended(
    site: SmallSite,
) -> None:
    report_member(site, 0)
    report_member(site, 1)
    assert stops(site) == []
    assert stops(site, after_ms=LEASES_END_MS) == [StopReason.GANG_INCOMPLETE]


def test_complete_gang_of_an_earlier_owner_goes_on(site: SmallSite) -> None:
    for index in range(TASKS):
        report_member(site, index)
    assert stops(site) == []
    assert stops(site, after_ms=2 * LEASES_END_MS) == []


def test_incomplete_gang_is_started_again_after_its_members_have_stopped(site: SmallSite) -> None:
    report_member(site, 0)
    site.report(1)
    site.report(2)
    assert stops(site) == [StopReason.GANG_INCOMPLETE]
    gang_of(site).placements[0].stop_confirmed_ms = site.now_ms
    site.now_ms += 10
    site.report(0)
    (group,) = site.start_groups()
    assert group.run == 2


def test_gang_is_stopped_before_its_members_have_waited_too_long_for_the_last_one() -> None:
    site = SmallSite(workers=TASKS)
    site.submit("gang", step(tasks=TASKS, needs=EIGHT_GPUS, is_gang=True))
    site.run_scheduling_round()
    limit_ms = site.fleet_state.gang_start_timeout_ms - STOP_ALLOWANCE_MS
    report_member(site, 0)
    first_running_ms = site.now_ms
    report_member(site, 1)
    assert stops(site, after_ms=first_running_ms + limit_ms - 1 - site.now_ms) == []
    assert stops(site, after_ms=1) == [StopReason.GANG_INCOMPLETE]


def test_gang_none_of_whose_starts_has_been_sent_is_not_stopped() -> None:
    site = SmallSite(workers=TASKS)
    site.submit("gang", step(tasks=TASKS, needs=EIGHT_GPUS, is_gang=True))
    site.run_scheduling_round()
    assert stops(site, after_ms=2 * site.fleet_state.gang_start_timeout_ms) == []


def test_end_of_a_member_that_was_not_adopted_completes_its_gang(site: SmallSite) -> None:
    """The other members end at the same time, but their workers may be lost before they say so."""
    report_member(site, 1)
    done = EndedTask(1, gang_of(site).task_id(0), 1, EndKind.DONE)
    site.report(0, ended=(done,))
    assert gang_of(site).is_done
    assert stops(site) == []


def test_gone_worker_of_an_earlier_run_does_not_hold_up_the_next_owner() -> None:
    first = SmallSite(workers=1)
    job = first.submit("gang", step(tasks=2, is_gang=True))
    first.run_scheduling_round()
    second = SmallSite(workers=2)
    second.fleet_state.add_job(job.accepted, job.progress(), second.now_ms, second.now_ms)
    gone = second.worker(0)
    gone.has_reported = gone.is_reachable = False
    gone.previous_leases_end_ms = second.now_ms + LEASES_END_MS
    assert second.run_scheduling_round() == []
    assert second.run_scheduling_round(after_ms=LEASES_END_MS)
    assert gang_of(second).progress().workers == (second.worker(1).name,)
