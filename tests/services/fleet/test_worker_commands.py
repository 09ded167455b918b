"""Tests how the owner sends many commands to the workers at once."""

from __future__ import annotations

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

JOB = JobId("0000000000000001")
WORKERS = 25
TASKS = 200
COMMANDS_PER_S = 125.0
"""Starts of 5 kB on a link of 5 Mbit/s."""


def make_site() -> VirtualFleet:
    site = VirtualFleet(CONFIGURATION, SmallSite(workers=WORKERS).listed)
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(1.0)
    return site


def test_burst_of_starts_on_a_slow_link_does_not_time_out() -> None:
    site = make_site()
    for host in site.hosts:
        host.workers.commands_per_s = COMMANDS_PER_S
    site.submit(JOB, JobRequest("spec", (step(tasks=TASKS, expected_ms=4_000),)))
    site.run(TASKS / COMMANDS_PER_S + 6.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert set(site.run_recorder.start_counts.values()) == {1}


def test_starts_wait_little_for_workers_that_do_not_respond() -> None:
    site = make_site()
    silent_workers = {worker.name for worker in SmallSite(workers=WORKERS).listed[:20]}
    for host in site.hosts:
        host.workers.unreachable_workers |= silent_workers
    site.submit(JOB, JobRequest("spec", (step(tasks=TASKS, expected_ms=500),)))
    reachable = [
        worker for worker in site.workers.values() if worker.listed.name not in silent_workers
    ]
    assert site.run_until(lambda: all(len(worker.tasks) == 8 for worker in reachable), 1.5)
