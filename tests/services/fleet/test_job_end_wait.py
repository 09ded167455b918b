"""A caller that asks for the state of a job that is about to end learns of its end at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.peers import MAX_JOB_END_WAIT_MS
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("0000000000000001")
HOSTS = (0, 1, 2)


def submit(site: VirtualFleet, expected_ms: int, tasks: int = 1) -> None:
    site.submit(JOB, JobRequest("spec", (step(tasks=tasks, expected_ms=expected_ms),)))


def test_state_of_a_job_that_is_about_to_end_is_shown_after_its_end(site: VirtualFleet) -> None:
    for host in HOSTS:
        job = JobId(f"{host:016}")
        site.submit(job, JobRequest("spec", (step(expected_ms=1_500),)))
        site.run(1.1)
        assert site.job_state(job, host=host).state is JobState.SUCCEEDED


def test_state_of_a_job_that_runs_on_is_shown_at_once(site: VirtualFleet) -> None:
    submit(site, expected_ms=20_000)
    site.run(1.0)
    asked_s = site.time.seconds()
    assert site.job_state(JOB).state is JobState.RUNNING
    assert site.time.seconds() - asked_s < 0.1


def test_state_of_a_job_with_waiting_tasks_is_shown_at_once(site: VirtualFleet) -> None:
    submit(site, expected_ms=1_200, tasks=40)
    site.run(1.0)
    asked_s = site.time.seconds()
    assert site.job_state(JOB).state is JobState.RUNNING
    assert site.time.seconds() - asked_s < 0.1


def test_wait_for_the_end_of_a_job_is_limited(site: VirtualFleet) -> None:
    """A worker that can't be reached reports no end."""
    submit(site, expected_ms=1_500)
    site.run(1.1)
    for host in site.hosts:
        host.workers.unreachable_workers = set(site.workers)
    asked_s = site.time.seconds()
    assert site.job_state(JOB).state is JobState.RUNNING
    assert site.time.seconds() - asked_s < (MAX_JOB_END_WAIT_MS + 100) / 1_000


def test_caller_gets_a_state_within_its_time_if_the_owner_dies_meanwhile(
    site: VirtualFleet,
) -> None:
    submit(site, expected_ms=1_500)
    site.run(1.1)
    owner = site.owner
    assert owner is not None
    asker = next(number for number, each in enumerate(site.hosts) if each is not owner)
    site.time.callLater(0.05, site.kill, owner)
    asked_s = site.time.seconds()
    assert site.job_state(JOB, host=asker).state is not None
    assert site.time.seconds() - asked_s < 1.5
