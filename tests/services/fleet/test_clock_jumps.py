"""The time of day of entry hosts jumps: only the due times of timed jobs depend on it."""

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
TIMED_JOB = JobId("0000000000000002")
JUMPS_MS = (5_000, -5_000, 3_600_000, -3_600_000)
OCCURRENCES = 3
INTERVAL_MS = 2_000


@pytest.mark.parametrize("jump_ms", JUMPS_MS)
def test_jumps_change_neither_the_owner_nor_what_runs(site: VirtualFleet, jump_ms: int) -> None:
    owner = site.owner
    gang = step(tasks=4, expected_ms=6_000, is_gang=True)
    site.submit(JOB, JobRequest("spec", (gang, step(expected_ms=500, after=(0,)))))
    for _ in range(4):
        site.run(1.0)
        for host in site.hosts:
            host.wall_clock_offset_ms = jump_ms - host.wall_clock_offset_ms
    site.run(4.0)
    assert site.owner is owner
    assert site.job_state(JOB, host=1).state is JobState.SUCCEEDED
    assert set(site.run_recorder.start_counts.values()) == {1}
    assert site.run_recorder.violations == []


@pytest.mark.parametrize("jump_ms", JUMPS_MS)
def test_submissions_are_accepted_after_a_jump(site: VirtualFleet, jump_ms: int) -> None:
    """The age of the configuration, and so that of the API keys, is not measured in time of day."""
    for host in site.hosts:
        host.wall_clock_offset_ms = jump_ms
    for number in range(len(site.hosts)):
        job = JobId(f"{number:016}")
        site.submit(job, JobRequest("spec", (step(expected_ms=200),)), host=number)
        assert site.job_state(job, host=number).state is not None


@pytest.mark.parametrize("jump_ms", (5_000, -5_000))
def test_each_occurrence_of_a_timed_job_runs_once(site: VirtualFleet, jump_ms: int) -> None:
    """The clock jumps by the days' limit of 5 s and back, while occurrences become due."""
    now_ms = round(site.time.seconds() * 1_000)
    site.submit(
        TIMED_JOB,
        JobRequest(
            "spec",
            (step(expected_ms=300),),
            occurrences=OCCURRENCES,
            first_due_unix_ms=now_ms + 6_000,
            interval_ms=INTERVAL_MS,
        ),
    )
    for offset_ms in (jump_ms, 0, jump_ms, 0):
        site.run(2.0)
        for host in site.hosts:
            host.wall_clock_offset_ms = offset_ms
    site.run(14.0)
    assert site.job_state(TIMED_JOB).state is JobState.SUCCEEDED
    assert list(site.run_recorder.start_counts.values()) == [1] * OCCURRENCES
    assert site.run_recorder.violations == []


def test_occurrence_started_before_a_change_of_the_owner_is_not_started_again(
    site: VirtualFleet,
) -> None:
    """The next owner's clock is behind, so that the occurrence is not due there yet."""
    owner = site.owner
    assert owner is not None
    now_ms = round(site.time.seconds() * 1_000)
    site.submit(
        TIMED_JOB,
        JobRequest(
            "spec",
            (step(expected_ms=400),),
            occurrences=2,
            first_due_unix_ms=now_ms + 4_000,
            interval_ms=60_000,
        ),
    )
    owner.wall_clock_offset_ms = 4_000
    site.run(1.5)
    assert list(site.run_recorder.start_counts.values()) == [1]
    site.kill(owner)
    site.run(8.0)
    assert list(site.run_recorder.start_counts.values()) == [1]
    assert site.run_recorder.violations == []
