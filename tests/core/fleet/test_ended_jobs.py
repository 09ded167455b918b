"""Tests what is kept of ended jobs, in the store and by a new owner."""

from __future__ import annotations

import msgspec
import pytest

from jujubehall.core.fleet.jobs import JobProgress
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.reports import TaskId
from jujubehall.core.fleet.state import FleetState
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

MAX_RECORD_BYTES = 100
TASKS = 30
RETENTION_MS = 120_000


def end_job(site: SmallSite, name: str = "job") -> JobProgress:
    job = site.submit(name, step(tasks=TASKS))
    for group in site.start_groups():
        site.end(group, EndKind.DONE)
    assert job.state is JobState.SUCCEEDED
    return job.progress()


def test_records_of_ended_jobs_do_not_grow_with_their_tasks() -> None:
    progress = end_job(SmallSite())
    assert progress.state is JobState.SUCCEEDED
    assert len(msgspec.json.encode(progress)) <= MAX_RECORD_BYTES


@pytest.mark.parametrize("state", [JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED])
def test_jobs_that_ended_under_an_earlier_owner_are_removed_after_the_retention_time(
    state: JobState,
) -> None:
    site = SmallSite()
    accepted = site.submit("job", step()).accepted
    successor = FleetState()
    successor.apply_configuration(CONFIGURATION)
    successor.add_job(accepted, JobProgress(state), site.now_ms, site.now_ms)
    assert successor.remove_ended_jobs(site.now_ms) == []
    assert [job.id for job in successor.remove_ended_jobs(site.now_ms + RETENTION_MS)] == ["job"]


def test_new_owner_stops_a_run_of_a_job_that_ended_under_an_earlier_owner() -> None:
    site = SmallSite()
    accepted = site.submit("cancelled", step(tasks=TASKS)).accepted
    site.fleet_state.jobs.clear()
    job = site.fleet_state.add_job(
        accepted, JobProgress(JobState.CANCELLED), site.now_ms, site.now_ms
    )
    task = TaskId(JobId("cancelled"), 0, 0, 3)
    site.report(0, (RunningTask(task, 4),))
    group = job.find_group(0, 0, 3)
    assert group is not None
    assert group.is_stopping
    assert group in site.fleet_state.groups_to_stop
    assert site.start_groups() == []
