"""Workers that are silent for a while, and answers that are lost, neither end nor repeat work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("0000000000000001")
URGENT_JOB = JobId("0000000000000002")
SILENCES_S = (0.2, 0.5, 0.9, 1.5, 2.5, 3.5)
"""Up to what remains of a lease of 6 s that was extended with a report up to 2 s ago."""


def submit_gang(site: VirtualFleet, expected_ms: int = 9_000) -> None:
    gang = step(tasks=4, expected_ms=expected_ms, is_gang=True)
    site.submit(JOB, JobRequest("spec", (gang,)))


@pytest.mark.parametrize("silence_s", SILENCES_S)
@pytest.mark.parametrize("starts_s", [0.3, 1.1, 2.0])
def test_work_on_a_worker_that_is_silent_for_less_than_its_lease_goes_on(
    site: VirtualFleet, silence_s: float, starts_s: float
) -> None:
    submit_gang(site)
    site.run(starts_s)
    for host in site.hosts:
        host.workers.unreachable_workers = set(site.workers)
    site.run(silence_s)
    for host in site.hosts:
        host.workers.unreachable_workers = set()
    site.run(13.0 - starts_s - silence_s)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert set(site.run_recorder.start_counts.values()) == {1}


def test_work_on_a_worker_that_stays_silent_starts_elsewhere_after_its_lease(
    site: VirtualFleet,
) -> None:
    submit_gang(site, expected_ms=3_000)
    site.run(0.5)
    silent = next(name for name, each in site.workers.items() if each.tasks)
    for host in site.hosts:
        host.workers.unreachable_workers = {silent}
    site.run(16.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert site.run_recorder.violations == []


@pytest.mark.parametrize("steps", [{"start"}, {"stop"}, {"report"}, {"start", "stop", "report"}])
@pytest.mark.parametrize("lost_s", [0.8, 2.0, 3.5])
def test_lost_answers_repeat_no_work_that_was_done(
    site: VirtualFleet, steps: set[str], lost_s: float
) -> None:
    """Answers of the workers are lost while urgent work preempts, and come back."""
    submit_gang(site, expected_ms=2_500)
    site.run(1.0)
    for host in site.hosts:
        host.workers.steps_without_answer = steps
    gang = step(tasks=30, expected_ms=1_000, is_gang=True)
    site.submit(URGENT_JOB, JobRequest("spec", (gang,)), queue="urgent")
    site.run(lost_s)
    for host in site.hosts:
        host.workers.steps_without_answer = set()
    site.run(25.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert site.job_state(URGENT_JOB, queue="urgent").state is JobState.SUCCEEDED
    assert site.run_recorder.violations == []


@pytest.mark.parametrize("pause_s", [0.3, 0.7, 1.5, 3.0, 7.0, 10.0])
def test_owner_that_was_paused_starts_nothing_under_a_term_that_has_ended(
    site: VirtualFleet, pause_s: float
) -> None:
    """Jobs arrive all the time, also in the moment in which the paused owner goes on."""
    owner = site.owner
    assert owner is not None
    for number in range(10):
        gang = step(tasks=3, expected_ms=1_200, is_gang=True)
        site.submit(JobId(f"{number:016}"), JobRequest("spec", (gang,)), host=number % 3)
        if number == 3:
            owner.reactor.suspend()
            site.time.callLater(pause_s, owner.reactor.resume)
        site.run(0.0 if number in (2, 3) else 0.35)
        if number == 3 and site.hosts.index(owner) in (number % 3, (number + 1) % 3):
            site.run(pause_s)
    site.run(pause_s + 15.0)
    for number in range(10):
        host = next(n for n, each in enumerate(site.hosts) if not each.reactor.is_suspended)
        assert site.job_state(JobId(f"{number:016}"), host=host).state is JobState.SUCCEEDED
    assert site.run_recorder.violations == []
