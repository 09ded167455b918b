"""Tests that no members of a gang are left to wait for members that don't come in time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.services.async_utils import run_in_background
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualHost

JOB = JobId("0000000000000001")
TASKS = 24
SMALL_HOST_COMMANDS_PER_S = 50.0
"""Half a core beside reports, heartbeats and rounds."""


def make_site(workers: int) -> VirtualFleet:
    listed = SmallSite(workers=workers, rack_size=workers).listed
    site = VirtualFleet(CONFIGURATION, listed, seed=1)
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(1.0)
    return site


def other_host(site: VirtualFleet, host: VirtualHost) -> int:
    return (site.hosts.index(host) + 1) % len(site.hosts)


def submit_in_background(site: VirtualFleet, job: JobId, host: int, tasks: int = TASKS) -> None:
    request = JobRequest("spec", (step(tasks=tasks, expected_ms=2_000, is_gang=True),))
    site.requests[job] = request
    admission = site.hosts[host].site_host.admission
    admitted = site.check_admission(site.hosts[host], f"/normal/{job}")
    run_in_background(admission.submit(admitted, job, request))


def count_running(site: VirtualFleet) -> int:
    return sum(len(worker.tasks) for worker in site.workers.values())


def submit_and_await_starts(
    site: VirtualFleet, commands_per_s: float, started: int
) -> tuple[VirtualHost, int]:
    """Returns the owner, which has started some members, and the number of another host."""
    owner = site.owner
    assert owner is not None
    owner.workers.commands_per_s = commands_per_s
    host = other_host(site, owner)
    submit_in_background(site, JOB, host)
    assert site.run_until(lambda: count_running(site) >= started, 5.0)
    return owner, host


@pytest.mark.parametrize("started", [1, 6, 20])
@pytest.mark.parametrize("commands_per_s", [40.0, 100.0])
def test_gang_whose_starts_are_cut_off_by_a_hand_over_is_not_left_waiting(
    started: int, commands_per_s: float
) -> None:
    site = make_site(workers=6)
    owner, _ = submit_and_await_starts(site, commands_per_s, started)
    run_in_background(owner.site_host.ownership.give_up("injected"))
    site.run(12.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert site.run_recorder.lone_ends == []
    assert site.run_recorder.violations == []


@pytest.mark.parametrize("started", [1, 6, 20])
@pytest.mark.parametrize("commands_per_s", [40.0, 100.0])
def test_gang_whose_starts_are_cut_off_by_a_crash_of_the_owner_is_not_left_waiting(
    started: int, commands_per_s: float
) -> None:
    site = make_site(workers=6)
    owner, host = submit_and_await_starts(site, commands_per_s, started)
    site.kill(owner)
    site.run(12.0)
    assert site.job_state(JOB, host=host).state is JobState.SUCCEEDED
    assert site.run_recorder.lone_ends == []
    assert site.run_recorder.violations == []


@pytest.mark.parametrize("seed", range(4))
def test_gangs_are_not_left_waiting_by_hand_overs_in_series(seed: int) -> None:
    random = Random(seed)
    site = make_site(workers=12)
    jobs = [JobId(f"{number:016}") for number in range(20)]
    for host in site.hosts:
        host.workers.commands_per_s = SMALL_HOST_COMMANDS_PER_S
    for number, job in enumerate(jobs):
        submit_in_background(site, job, number % len(site.hosts), random.randint(2, TASKS))
        site.run(random.uniform(0.0, 0.6))
        if number % 4 == 3 and site.owner is not None:
            run_in_background(site.owner.site_host.ownership.give_up("injected"))
    site.run(40.0)
    assert [site.job_state(job).state for job in jobs] == [JobState.SUCCEEDED] * len(jobs)
    assert site.run_recorder.lone_ends == []
    assert site.run_recorder.violations == []


@pytest.mark.parametrize("silent_workers", [0, 4])
def test_gangs_are_not_left_waiting_behind_a_burst_of_other_starts(silent_workers: int) -> None:
    site = make_site(workers=40)
    silent = {worker.name for worker in SmallSite(workers=40).listed[:silent_workers]}
    for host in site.hosts:
        host.workers.commands_per_s = SMALL_HOST_COMMANDS_PER_S
        host.workers.unreachable_workers |= silent
    jobs = [JobId(f"{number:016}") for number in range(10)]
    for number, job in enumerate(jobs):
        submit_in_background(site, job, number % len(site.hosts))
    site.run(40.0)
    assert [site.job_state(job).state for job in jobs] == [JobState.SUCCEEDED] * len(jobs)
    assert site.run_recorder.lone_ends == []
    assert site.run_recorder.violations == []


@pytest.mark.parametrize("started", [1, 6, 20])
def test_planned_stop_of_the_owner_does_not_cut_off_the_starts_of_a_gang(started: int) -> None:
    site = make_site(workers=6)
    owner, _ = submit_and_await_starts(site, 100.0, started)
    run_in_background(owner.site_host.stop())
    site.run(8.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert site.owner is not owner
    assert set(site.run_recorder.start_counts.values()) == {1}
