"""Tests evacuations of availability zones on a virtual site."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from result import Err

from jujubehall import metrics
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.daemon.site_metrics import MetricsResource
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.identifiers import ZoneName
from jujubehall.services.async_utils import sleep
from jujubehall.testing.virtual.fleet.evacuation_simulation import EvacuationSimulation
from jujubehall.testing.virtual.fleet.site import VirtualDirectory
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from jujubehall.testing.virtual.fleet.store import StoreFaultMode
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.reports import TaskId
    from jujubehall.services.fleet.zone_evacuations import ZoneEvacuations
    from jujubehall.testing.virtual.fleet.site import VirtualHost

EAST = ZoneName("east")
WEST = ZoneName("west")
DEADLINE_MS = 5_000
WORKERS = 8
SLOTS = 8
"""Tasks of one accelerator that a worker can run."""

JOB = JobId("0000000000000001")
OTHER_JOB = JobId("0000000000000002")
WATCH_S = 2.0
COMMANDS_PER_S = 20.0
"""So few commands that starts wait for seconds until they are sent."""

VERY_FEW_COMMANDS_PER_S = 8.0
"""So few that starts wait for longer than the deadline."""


def make_site(deadline_ms: int | None = DEADLINE_MS) -> VirtualFleet:
    """Returns a site with half of its workers in each of two zones."""
    listed = [
        msgspec.structs.replace(each, zone=EAST if number < WORKERS // 2 else WEST)
        for number, each in enumerate(SmallSite(workers=WORKERS).listed)
    ]
    site = VirtualFleet(CONFIGURATION, listed, evacuation_deadline_ms=deadline_ms)
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(1.0)
    return site


@pytest.fixture
def zoned_site() -> VirtualFleet:
    """Returns a site with half of its workers in each of two zones."""
    return make_site()


def submit_tasks(
    site: VirtualFleet, tasks: int, job: JobId = JOB, expected_ms: int = 60_000
) -> None:
    site.submit(job, JobRequest("spec", (step(tasks=tasks, expected_ms=expected_ms),)))


def tasks_in(site: VirtualFleet, zone: ZoneName) -> list[TaskId]:
    return [
        task
        for worker in site.workers.values()
        if worker.listed.zone == zone
        for task in worker.tasks
    ]


def owner_of(site: VirtualFleet) -> VirtualHost:
    assert site.owner is not None
    return site.owner


def evacuations_of(site: VirtualFleet) -> ZoneEvacuations:
    owner = owner_of(site).site_host.owner
    assert owner is not None
    assert owner.zone_evacuations is not None
    return owner.zone_evacuations


def limit_commands(site: VirtualFleet, commands_per_s: float | None = COMMANDS_PER_S) -> None:
    for host in site.hosts:
        host.workers.commands_per_s = commands_per_s


def test_zones_are_not_watched_without_a_deadline() -> None:
    site = make_site(deadline_ms=None)
    owner = owner_of(site).site_host.owner
    assert owner is not None
    assert owner.zone_evacuations is None
    site.evacuate_zone(EAST)
    submit_tasks(site, WORKERS * SLOTS)
    site.run(2.0)
    assert len(tasks_in(site, EAST)) == len(tasks_in(site, WEST))


def test_owner_alone_makes_at_most_one_call_per_watch(zoned_site: VirtualFleet) -> None:
    plain = make_site(deadline_ms=None)
    duration_s = 20.0
    counts = []
    for site in (zoned_site, plain):
        before = sum(sum(host.store.call_counts.values()) for host in site.hosts)
        site.run(duration_s)
        counts.append(sum(sum(host.store.call_counts.values()) for host in site.hosts) - before)
    # The simulated watch evaluates its prefix once more when its time is up.
    assert counts[0] - counts[1] <= 2 * duration_s / WATCH_S + 1


def test_evacuated_zone_is_shown_and_gets_no_work_until_it_returns(
    zoned_site: VirtualFleet,
) -> None:
    resource = MetricsResource(owner_of(zoned_site).site_host)
    zoned_site.evacuate_zone(EAST)
    zoned_site.run(0.1)
    submit_tasks(zoned_site, WORKERS * SLOTS)
    zoned_site.run(0.9)
    assert tasks_in(zoned_site, EAST) == []
    resource._collect()
    assert metrics.ZONE_EVACUATED.get({"zone": EAST}) == pytest.approx(1_000, abs=100)
    assert metrics.WORKERS.get({"state": "evacuated"}) == WORKERS // 2
    zoned_site.return_zone(EAST)
    zoned_site.run(0.5)
    assert len(tasks_in(zoned_site, EAST)) == SLOTS * WORKERS // 2
    resource._collect()
    assert metrics.ZONE_EVACUATED.get({"zone": EAST}) == 0


def test_work_in_the_zone_ends_there(zoned_site: VirtualFleet) -> None:
    submit_tasks(zoned_site, WORKERS * SLOTS, expected_ms=7_000)
    zoned_site.run(1.0)
    running = tasks_in(zoned_site, EAST)
    zoned_site.evacuate_zone(EAST)
    zoned_site.run(0.1)
    (status,) = evacuations_of(zoned_site).statuses()
    assert (status.zone, status.runs) == (EAST, len(running))
    zoned_site.run(8.0)
    assert zoned_site.job_state(JOB).state is JobState.SUCCEEDED
    assert set(zoned_site.run_recorder.start_counts.values()) == {1}
    (status,) = evacuations_of(zoned_site).statuses()
    assert status.runs == 0


def test_zones_are_evacuated_twice_and_in_turn(zoned_site: VirtualFleet) -> None:
    zoned_site.evacuate_zone(EAST)
    zoned_site.run(0.1)
    zoned_site.return_zone(EAST)
    zoned_site.evacuate_zone(EAST)
    zoned_site.evacuate_zone(WEST)
    zoned_site.run(0.1)
    submit_tasks(zoned_site, SLOTS)
    zoned_site.run(7.0)
    assert not zoned_site.run_recorder.start_counts
    zoned_site.return_zone(WEST)
    zoned_site.run(0.5)
    assert len(tasks_in(zoned_site, WEST)) == SLOTS
    assert tasks_in(zoned_site, EAST) == []


def test_new_owner_starts_nothing_until_the_zones_are_listed(
    zoned_site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    former = owner_of(zoned_site)
    others = [each for each in zoned_site.hosts if each is not former]

    async def fail(_: VirtualDirectory) -> Any:
        return Err(Failure(FailureKind.UNAVAILABLE, "list", "store", "status 503"))

    with monkeypatch.context() as patch:
        patch.setattr(VirtualDirectory, "list_evacuated_zones", fail)
        zoned_site.evacuate_zone(EAST)
        zoned_site.kill(former)
        host = zoned_site.hosts.index(others[0])
        work = step(tasks=WORKERS * SLOTS, expected_ms=60_000)
        zoned_site.submit(JOB, JobRequest("spec", (work,)), host=host)
        zoned_site.run(5.0)
        assert not zoned_site.run_recorder.start_counts
    zoned_site.run(1.0)
    assert tasks_in(zoned_site, EAST) == []
    assert len(tasks_in(zoned_site, WEST)) == SLOTS * WORKERS // 2


def test_starts_that_wait_to_be_sent_are_placed_elsewhere(zoned_site: VirtualFleet) -> None:
    limit_commands(zoned_site)
    submit_tasks(zoned_site, WORKERS * SLOTS)
    zoned_site.run(0.5)
    zoned_site.evacuate_zone(EAST)
    zoned_site.run(0.3)
    started = len(tasks_in(zoned_site, EAST))
    assert started < SLOTS * WORKERS // 2
    zoned_site.run(6.0)
    assert len(tasks_in(zoned_site, EAST)) == started
    assert len(tasks_in(zoned_site, WEST)) == SLOTS * WORKERS // 2


def test_gang_that_is_partly_started_is_completed(zoned_site: VirtualFleet) -> None:
    limit_commands(zoned_site)
    gang = step(tasks=WORKERS, expected_ms=1_000, is_gang=True)
    zoned_site.submit(JOB, JobRequest("spec", (gang,)))
    recorder = zoned_site.run_recorder
    assert zoned_site.run_until(lambda: recorder.start_counts, 2.0)
    for zone in (EAST, WEST):
        zoned_site.evacuate_zone(zone)
    zoned_site.run(4.0)
    assert zoned_site.job_state(JOB).state is JobState.SUCCEEDED
    assert list(recorder.start_counts.values()) == [1] * WORKERS


def test_gang_that_is_not_started_yet_is_placed_elsewhere(
    zoned_site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The news arrives while the placement of the gang is being stored."""
    owner = owner_of(zoned_site)
    commit = owner.store.commit

    async def commit_late(*arguments: Any) -> Any:
        await sleep(owner.reactor, 100)
        return await commit(*arguments)

    monkeypatch.setattr(owner.store, "commit", commit_late)
    gang = step(tasks=WORKERS // 2, needs=EIGHT_GPUS, expected_ms=2_000, is_gang=True)
    zoned_site.submit(JOB, JobRequest("spec", (gang,)))
    owner_services = owner.site_host.owner
    assert owner_services is not None
    starting = owner_services.fleet_state.starting_gangs
    assert zoned_site.run_until(lambda: starting, 1.0)
    (group,) = starting
    zones = {each.worker.listed.zone for each in group.placements.values()}
    assert not zoned_site.run_recorder.start_counts
    for zone in zones:
        zoned_site.evacuate_zone(zone)
    (other_zone,) = {EAST, WEST} - zones
    assert zoned_site.run_until(lambda: tasks_in(zoned_site, other_zone), 1.0)
    assert not any(tasks_in(zoned_site, zone) for zone in zones)
    zoned_site.run(4.0)
    assert zoned_site.job_state(JOB).state is JobState.SUCCEEDED
    assert list(zoned_site.run_recorder.start_counts.values()) == [1] * (WORKERS // 2)


@pytest.mark.parametrize("fault_mode", [StoreFaultMode.NO_RESPONSE, StoreFaultMode.UNAVAILABLE])
def test_starts_end_in_time_if_the_store_is_lost_before_an_evacuation(
    zoned_site: VirtualFleet, fault_mode: StoreFaultMode
) -> None:
    limit_commands(zoned_site, VERY_FEW_COMMANDS_PER_S)
    submit_tasks(zoned_site, WORKERS * SLOTS)
    zoned_site.run(0.5)
    zoned_site.set_store_fault_mode(fault_mode)
    zoned_site.evacuate_zone(EAST)
    zoned_site.run(8.0)
    limit_commands(zoned_site, None)
    zoned_site.set_store_fault_mode(StoreFaultMode.NONE)
    zoned_site.run(8.0)
    assert zoned_site.run_recorder.violations == []
    assert len(tasks_in(zoned_site, WEST)) == SLOTS * WORKERS // 2


def test_return_during_a_store_outage_is_known_after_it(zoned_site: VirtualFleet) -> None:
    zoned_site.evacuate_zone(EAST)
    zoned_site.run(1.0)
    zoned_site.set_store_fault_mode(StoreFaultMode.UNAVAILABLE)
    zoned_site.return_zone(EAST)
    zoned_site.run(2.0)
    zoned_site.set_store_fault_mode(StoreFaultMode.NONE)
    zoned_site.run(1.0)
    submit_tasks(zoned_site, WORKERS * SLOTS)
    zoned_site.run(3.0)
    assert len(tasks_in(zoned_site, EAST)) == SLOTS * WORKERS // 2


def test_zone_is_closed_in_time_if_watches_deliver_nothing(zoned_site: VirtualFleet) -> None:
    for host in zoned_site.hosts:
        host.store.drops_watch_events = True
    zoned_site.run(1.0)
    zoned_site.evacuate_zone(EAST)
    for number in range(40):
        submit_tasks(zoned_site, 4, JobId(f"{number:016x}"), expected_ms=300)
        zoned_site.run(0.25)
    assert zoned_site.run_recorder.violations == []
    assert tasks_in(zoned_site, EAST) == []


def test_slow_store_suspends_no_starts(zoned_site: VirtualFleet) -> None:
    for host in zoned_site.hosts:
        host.store.extra_latency_ms = 250
    for _ in range(100):
        zoned_site.run(0.1)
        owner = owner_of(zoned_site).site_host.owner
        assert owner is not None
        evacuations_of(zoned_site).suspend_starts()
        assert not owner.fleet_state.are_starts_suspended


@pytest.mark.parametrize("seed", range(3))
def test_evacuations_among_faults_break_no_invariant(seed: int) -> None:
    assert EvacuationSimulation(seed).run() == []


def test_lost_answer_to_a_watch_suspends_no_starts(
    zoned_site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The call itself fails only after some time more."""
    watch = VirtualDirectory.wait_for_zone_changes

    async def watch_in_vain(directory: VirtualDirectory, after: Any, wait_ms: int) -> Any:
        await watch(directory, after, wait_ms)
        await sleep(owner_of(zoned_site).reactor, DEADLINE_MS)
        return Err(Failure(FailureKind.NO_ANSWER, "watch", "store", "timed out"))

    monkeypatch.setattr(VirtualDirectory, "wait_for_zone_changes", watch_in_vain)
    for _ in range(100):
        zoned_site.run(0.1)
        evacuations_of(zoned_site).suspend_starts()
        owner = owner_of(zoned_site).site_host.owner
        assert owner is not None
        assert not owner.fleet_state.are_starts_suspended
