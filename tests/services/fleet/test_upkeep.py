"""Waves of upkeep from the operators' wish to its end, while entry hosts and the cloud fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.upkeep.wave import Wave
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WaveNumber
from jujubehall.services.fleet.admission import Outcome
from jujubehall.testing.virtual.fleet.cloud import STATUS_PREFIX
from jujubehall.testing.virtual.fleet.cloud import CloudPath
from jujubehall.testing.virtual.fleet.cloud import machine_of
from tests.core.fleet.fleet_book import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("00000000000000b1")
BATCH = JobRequest("spec", (step(tasks=16, expected_ms=3_000),))
ONE = WaveNumber(1)
WAVE_S = 60.0
CHECK_S = 0.05


def ask_for_wave(site: VirtualFleet, duration_ms: int = 40_000) -> None:
    """Asks for the upkeep of all machines, one at a time."""
    machines = tuple(machine_of(name) for name in site.workers)
    site.ask_for_wave(Wave(ONE, machines, duration_ms, most_down=1))


def status(site: VirtualFleet) -> bytes | None:
    item = site.store.get(f"{STATUS_PREFIX}{ONE}")
    return item.value if item is not None else None


def is_done(site: VirtualFleet) -> bool:
    return status(site) == b"done"


def check(site: VirtualFleet) -> None:
    """What must hold after every wave."""
    assert len(site.cloud.done) == len(site.workers)
    assert site.cloud.violations == []
    assert site.ledger.violations == []
    assert site.cloud.interrupted == 0


def test_a_wave_takes_each_machine_down_once_and_interrupts_no_work(site: VirtualFleet) -> None:
    assert site.submit(JOB, BATCH).outcome is Outcome.ACCEPTED
    ask_for_wave(site)
    site.run(2.0)
    assert status(site) == b"running"
    assert site.run_until(lambda: is_done(site), WAVE_S)
    assert site.run_until(lambda: len(site.ledger.done) == 16, 10.0)
    check(site)


def test_a_wave_goes_on_under_the_next_owner(site: VirtualFleet) -> None:
    ask_for_wave(site)
    assert site.run_until(lambda: len(site.cloud.done) == 2, WAVE_S)
    assert site.owner is not None
    site.kill(site.owner)
    assert site.run_until(lambda: is_done(site), WAVE_S)
    check(site)


@pytest.mark.parametrize("path", [CloudPath.SILENT, CloudPath.ANSWERS_LOST, CloudPath.LATE])
def test_calls_to_the_cloud_without_an_answer(site: VirtualFleet, path: CloudPath) -> None:
    ask_for_wave(site)
    for host in site.hosts:
        host.machines.path = path
    site.run(8.0)
    assert not is_done(site)
    for host in site.hosts:
        host.machines.path = CloudPath.SOUND
    assert site.run_until(lambda: is_done(site), WAVE_S)
    check(site)


def test_a_late_wave_stops_work_that_can_not_end_in_time(site: VirtualFleet) -> None:
    long = JobRequest("spec", (step(tasks=4, expected_ms=300_000),))
    assert site.submit(JOB, long).outcome is Outcome.ACCEPTED
    ask_for_wave(site, duration_ms=20_000)
    assert site.run_until(lambda: is_done(site), WAVE_S)
    check(site)
    site.run(3.0)
    assert sum(len(worker.tasks) for worker in site.workers.values()) == 4


def test_a_service_is_never_taken_below_its_bound(site: VirtualFleet) -> None:
    service = step(
        tasks=3, expected_ms=10**9, runs_until_cancelled=True, may_be_absent=1, tasks_per_worker=1
    )
    assert site.submit(JOB, JobRequest("spec", (service,))).outcome is Outcome.ACCEPTED
    site.run(1.0)
    ask_for_wave(site)
    for _ in range(round(WAVE_S / CHECK_S)):
        site.run(CHECK_S)
        assert sum(len(worker.tasks) for worker in site.workers.values()) >= 2
    assert is_done(site)
    check(site)
