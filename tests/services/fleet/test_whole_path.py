"""Tests jobs from their submission to their end on any entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.admission import Outcome
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("00000000000000a1")
OTHER_JOB = JobId("00000000000000a2")
TWO_STEPS = JobRequest("spec", (step(tasks=3, expected_ms=500), step(after=(0,), expected_ms=500)))
GANG_REQUEST = JobRequest("spec", (step(tasks=2, needs=EIGHT_GPUS, is_gang=True, expected_ms=800),))


def state_shown(site: VirtualFleet, job: JobId = JOB, host: int = 0) -> JobState | None:
    return site.job_state(job, host=host).state


def test_job_runs_and_is_shown_by_every_entry_host(site: VirtualFleet) -> None:
    assert site.submit(JOB, TWO_STEPS).outcome is Outcome.ACCEPTED
    assert site.run_until(lambda: len(site.run_recorder.completed_tasks) == 4, 5.0)
    site.run(0.2)
    assert [state_shown(site, host=host) for host in range(3)] == [JobState.SUCCEEDED] * 3
    assert site.run_recorder.violations == []


def test_same_submission_on_two_entry_hosts_is_one_job(site: VirtualFleet) -> None:
    assert site.submit(JOB, GANG_REQUEST, host=0).outcome is Outcome.ACCEPTED
    assert site.submit(JOB, GANG_REQUEST, host=1).outcome is Outcome.ACCEPTED
    site.run(3.0)
    assert set(site.run_recorder.start_counts.values()) == {1}


def test_unknown_job_key_and_queue_are_rejected(site: VirtualFleet) -> None:
    assert site.job_state(JOB, host=1).outcome is Outcome.NO_SUCH_JOB
    assert site.cancel(JOB, host=1).outcome is Outcome.NO_SUCH_JOB
    assert (
        site.check_admission(site.hosts[1], f"/normal/{JOB}", "other").outcome
        is Outcome.UNKNOWN_KEY
    )
    assert site.check_admission(site.hosts[1], f"/nowhere/{JOB}").outcome is Outcome.NO_SUCH_QUEUE


def test_cancelled_job_stops_soon_and_stays_cancelled(site: VirtualFleet) -> None:
    site.submit(JOB, JobRequest("spec", (step(tasks=4, expected_ms=60_000),)))
    site.run(0.5)
    assert any(worker.tasks for worker in site.workers.values())
    assert site.cancel(JOB, host=2).outcome is Outcome.ACCEPTED
    site.run(0.6)
    assert not any(worker.tasks for worker in site.workers.values())
    assert state_shown(site, host=1) is JobState.CANCELLED


def test_pending_counts_jobs_without_started_task(site: VirtualFleet) -> None:
    site.submit(JOB, JobRequest("spec", (step(tasks=32, expected_ms=5_000),)))
    site.run(0.1)
    site.submit(OTHER_JOB, GANG_REQUEST)
    site.run(0.2)
    host = site.hosts[1]
    admitted = site.check_admission(host, "/normal/")
    assert site.await_result(host.site_host.admission.pending(admitted)).pending == 1


def test_job_fails_after_failing_on_all_workers(site: VirtualFleet) -> None:
    for worker in site.workers.values():
        worker.fails_all_tasks = True
    site.submit(JOB, GANG_REQUEST)
    site.run(3.0)
    assert state_shown(site) is JobState.FAILED
    assert max(site.run_recorder.start_counts.values()) == 2


def test_job_and_cancellation_reach_owner_without_watch_events(
    site: VirtualFleet,
) -> None:
    for host in site.hosts:
        host.store.drops_watch_events = True
    for number in range(3):
        job = JobId(f"{number:016x}")
        site.submit(job, JobRequest("spec", (step(expected_ms=60_000),)), host=number)
    site.run(0.1)
    assert sum(len(worker.tasks) for worker in site.workers.values()) == 3
    site.cancel(JobId(f"{0:016x}"), host=1)
    site.run(0.6)
    assert sum(len(worker.tasks) for worker in site.workers.values()) == 2


def test_second_submission_with_other_content_returns_first_job(site: VirtualFleet) -> None:
    owner = site.owner
    assert owner is not None
    owner.store.drops_watch_events = True
    owner.site_host.owner.apply_intake = lambda key, data: None  # type: ignore[union-attr,method-assign]
    site.submit(JOB, TWO_STEPS)
    site.run(0.1)
    del owner.site_host.owner.apply_intake  # type: ignore[union-attr]
    admitted = site.check_admission(site.hosts[1], f"/normal/{JOB}")
    response = site.await_result(
        site.hosts[1].site_host.admission.submit(admitted, JOB, GANG_REQUEST)
    )
    assert response.outcome is Outcome.ACCEPTED
    site.run(0.1)
    owner.store.drops_watch_events = False
    site.run(13.0)
    assert len(site.run_recorder.completed_tasks) == 4
