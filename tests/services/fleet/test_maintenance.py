"""Tests complete maintenance waves while entry hosts and the cloud fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.maintenance.wave import Wave
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WaveNumber
from jujubehall.services.fleet.admission import Outcome
from jujubehall.testing.virtual.fleet.cloud import WAVE_STATUS_PREFIX
from jujubehall.testing.virtual.fleet.cloud import CloudFaultMode
from jujubehall.testing.virtual.fleet.cloud import machine_name_of
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("00000000000000b1")
BATCH = JobRequest("spec", (step(tasks=16, expected_ms=3_000),))
WAVE_NUMBER = WaveNumber(1)
WAVE_TIMEOUT_S = 60.0
CHECK_INTERVAL_S = 0.05


def request_wave(site: VirtualFleet, duration_ms: int = 40_000) -> None:
    """Has the operators request maintenance of all machines, one at a time."""
    machines = tuple(machine_name_of(name) for name in site.workers)
    site.request_wave(Wave(WAVE_NUMBER, machines, duration_ms, max_machines_down=1))


def read_status(site: VirtualFleet) -> bytes | None:
    item = site.store.get(f"{WAVE_STATUS_PREFIX}{WAVE_NUMBER}")
    return item.value if item is not None else None


def is_done(site: VirtualFleet) -> bool:
    return read_status(site) == b"done"


def check_guarantees(site: VirtualFleet) -> None:
    """Checks the guarantees that hold after every wave."""
    assert len(site.cloud.maintenance_begun) == len(site.workers)
    assert site.cloud.violations == []
    assert site.run_recorder.violations == []
    assert site.cloud.interrupted_task_count == 0


def test_wave_takes_each_machine_down_once_without_interrupting_tasks(site: VirtualFleet) -> None:
    assert site.submit(JOB, BATCH).outcome is Outcome.ACCEPTED
    request_wave(site)
    site.run(2.0)
    assert read_status(site) == b"running"
    assert site.run_until(lambda: is_done(site), WAVE_TIMEOUT_S)
    assert site.run_until(lambda: len(site.run_recorder.completed_tasks) == 16, 10.0)
    check_guarantees(site)


def test_wave_begins_soon_though_the_watch_that_shows_it_is_lost(site: VirtualFleet) -> None:
    assert site.owner is not None
    site.owner.store.silence_connections()
    request_wave(site)
    assert site.run_until(lambda: read_status(site) == b"running", 5.0)


def test_wave_continues_under_next_owner(site: VirtualFleet) -> None:
    request_wave(site)
    assert site.run_until(lambda: len(site.cloud.maintenance_begun) == 2, WAVE_TIMEOUT_S)
    assert site.owner is not None
    site.kill(site.owner)
    assert site.run_until(lambda: is_done(site), WAVE_TIMEOUT_S)
    check_guarantees(site)


@pytest.mark.parametrize(
    "fault_mode",
    [CloudFaultMode.NO_RESPONSE, CloudFaultMode.RESPONSE_LOST, CloudFaultMode.LATE_EXECUTION],
)
def test_wave_completes_after_unanswered_calls_to_the_cloud(
    site: VirtualFleet, fault_mode: CloudFaultMode
) -> None:
    request_wave(site)
    for host in site.hosts:
        host.machines.fault_mode = fault_mode
    site.run(8.0)
    assert not is_done(site)
    for host in site.hosts:
        host.machines.fault_mode = CloudFaultMode.NONE
    assert site.run_until(lambda: is_done(site), WAVE_TIMEOUT_S)
    check_guarantees(site)


def test_late_wave_stops_tasks_that_can_not_end_in_time(site: VirtualFleet) -> None:
    long = JobRequest("spec", (step(tasks=4, expected_ms=300_000),))
    assert site.submit(JOB, long).outcome is Outcome.ACCEPTED
    request_wave(site, duration_ms=20_000)
    assert site.run_until(lambda: is_done(site), WAVE_TIMEOUT_S)
    check_guarantees(site)
    site.run(3.0)
    assert sum(len(worker.tasks) for worker in site.workers.values()) == 4


def test_wave_never_takes_more_service_tasks_away_than_allowed(site: VirtualFleet) -> None:
    service = step(
        tasks=3, expected_ms=10**9, runs_until_cancelled=True, max_unavailable=1, tasks_per_worker=1
    )
    assert site.submit(JOB, JobRequest("spec", (service,))).outcome is Outcome.ACCEPTED
    site.run(1.0)
    request_wave(site)
    for _ in range(round(WAVE_TIMEOUT_S / CHECK_INTERVAL_S)):
        site.run(CHECK_INTERVAL_S)
        assert sum(len(worker.tasks) for worker in site.workers.values()) >= 2
    assert is_done(site)
    check_guarantees(site)
