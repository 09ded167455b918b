"""Tests that no start exceeds the capacity of a worker that changes while the worker runs."""

from __future__ import annotations

from random import Random

import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from jujubehall.testing.virtual.fleet.workers import CAPACITY_NOTICE_MS
from tests.core.fleet.small_site import CAPACITY
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

SMALL_CAPACITY = Resources(CAPACITY.millicores, CAPACITY.memory_mb, 2)


def make_site(workers: int = 6, seed: int = 1) -> VirtualFleet:
    site = VirtualFleet(CONFIGURATION, SmallSite(workers=workers).listed, seed=seed)
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(1.0)
    return site


def change_all(site: VirtualFleet, capacity: Resources) -> None:
    for worker in site.workers.values():
        worker.change_capacity(capacity)


@pytest.mark.parametrize("is_gang", [False, True])
def test_starts_that_wait_for_others_respect_a_capacity_that_has_shrunk(is_gang: bool) -> None:
    site = make_site()
    owner = site.owner
    assert owner is not None
    owner.workers.commands_per_s = 5.0
    jobs = [JobId(f"{number:016x}") for number in range(4)]
    for job in jobs:
        request = JobRequest("spec", (step(tasks=12, expected_ms=30_000, is_gang=is_gang),))
        site.submit(job, request, host=(site.hosts.index(owner) + 1) % len(site.hosts))
    change_all(site, SMALL_CAPACITY)
    site.run(CAPACITY_NOTICE_MS / 1_000 + 10.0)
    assert site.run_recorder.violations == []


def test_work_goes_on_when_capacity_has_shrunk_and_grown_again() -> None:
    site = make_site()
    jobs = [JobId(f"{number:016x}") for number in range(3)]
    for job in jobs:
        site.submit(job, JobRequest("spec", (step(needs=EIGHT_GPUS, tasks=6, expected_ms=1_000),)))
    change_all(site, SMALL_CAPACITY)
    site.run(8.0)
    unfinished = [job for job in jobs if site.job_state(job).state is not JobState.SUCCEEDED]
    assert unfinished
    change_all(site, CAPACITY)
    site.run(8.0)
    assert [site.job_state(job).state for job in jobs] == [JobState.SUCCEEDED] * len(jobs)
    assert site.run_recorder.violations == []


@pytest.mark.parametrize("seed", range(6))
def test_no_start_exceeds_a_capacity_that_changes_at_random(seed: int) -> None:
    """Owners are killed, urgent work preempts, and each host sends few commands."""
    random = Random(seed)
    site = make_site(seed=seed)
    jobs = []
    for number in range(30):
        job = JobId(f"{number:016x}")
        gpus = random.choice([1, 2, 4])
        needs = Resources(1_000, 1_000, gpus)
        request = JobRequest(
            "spec",
            (
                step(
                    tasks=random.randint(1, 8),
                    needs=needs,
                    expected_ms=random.randint(300, 6_000),
                    is_gang=random.random() < 0.3,
                ),
            ),
        )
        queue = random.choice(["urgent", "normal", "overnight"])
        if site.submit(job, request, queue=queue).outcome.value == "accepted":
            jobs.append((job, queue))
        worker = random.choice(list(site.workers.values()))
        worker.change_capacity(
            Resources(CAPACITY.millicores, CAPACITY.memory_mb, random.choice([0, 1, 4, 8]))
        )
        for host in site.hosts:
            host.workers.commands_per_s = random.choice([None, 8.0, 20.0])
        owner = site.owner
        if owner is not None and random.random() < 0.15:
            site.kill(owner)
            site.run(0.5)
            site.restart(owner)
        site.run(random.uniform(0.1, 2.0))
    change_all(site, CAPACITY)
    for host in site.hosts:
        host.workers.commands_per_s = None
    site.run(40.0)
    assert site.run_recorder.violations == []
    states = {site.job_state(job, queue).state for job, queue in jobs}
    assert states == {JobState.SUCCEEDED}
