"""Tests of zone owners under outages, failing workers and load; some count writes or commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from result import Err

from jujubehall.core.jobs.gang_timing import RENEWAL_INTERVAL_MS
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.retry_policy import MAX_FAILURES
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.job_archiver import ARCHIVE_AFTER_MS
from jujubehall.services.zone_reassignment import REASSIGN_AFTER_MS
from jujubehall.testing.randomised.gang_invariants import check_gang_invariants
from jujubehall.testing.worker_state import WorkerBehaviour
from jujubehall.workers.messages import Resources
from tests.services.job_site import TEAM
from tests.services.job_site import ZONE
from tests.services.job_site import all_owners
from tests.services.job_site import check_no_exception
from tests.services.job_site import find_job
from tests.services.job_site import gang_spec
from tests.services.job_site import job_state
from tests.services.job_site import live_hosts
from tests.services.job_site import make_site
from tests.services.job_site import run_until_state
from tests.services.job_site import running_parts
from tests.services.job_site import submit

if TYPE_CHECKING:
    from jujubehall.testing.virtual.site import VirtualSite

HOUR_MS = 3_600_000
WRITES_PER_JOB = 4
"""Writes that accept the job and record its placement, its start and its end."""


def count_job_writes(site: VirtualSite) -> int:
    """Returns the number of job record writes attempted by all entry hosts."""
    return sum(each.entry_host.jobs._store.write_attempts for each in site.hosts.values())


def test_jobs_survive_one_hour_platform_outage() -> None:
    site = make_site(entry_hosts=1)
    long_job = submit(site, gang_spec(parts=2, accelerators=8))
    short_job = submit(site, gang_spec(parts=1, accelerators=4, command="run:60000"))
    waiting = submit(site, gang_spec(parts=4, accelerators=8, command="run:100"))
    site.run_until(lambda: running_parts(site, long_job) + running_parts(site, short_job) == 3)
    site.network.is_platform_down = True
    jobs = live_hosts(site)[0].entry_host.jobs
    refused = site.run_coroutine(jobs.submit(gang_spec()))
    assert isinstance(refused, Err)
    assert refused.err_value.kind is FailureKind.UNAVAILABLE
    for _ in range(60):
        site.run_for(HOUR_MS // 60)
        assert running_parts(site, long_job) == 2
    assert running_parts(site, waiting) == 0
    site.network.is_platform_down = False
    run_until_state(site, short_job, JobState.SUCCEEDED)
    assert find_job(site, short_job).attempt == 1
    assert find_job(site, long_job).attempt == 1
    site.run_coroutine(jobs.cancel(long_job))
    run_until_state(site, waiting, JobState.SUCCEEDED)
    check_gang_invariants(site)
    check_no_exception()


def test_worker_that_fails_all_tasks_is_quarantined() -> None:
    site = make_site(workers=8, per_rack=8)
    failing_worker = site.workers["worker-0"]
    failing_worker.behaviour = WorkerBehaviour(fail_all=True)
    jobs = [submit(site, gang_spec(parts=1, accelerators=2, command="run:5000")) for _ in range(20)]
    for job in jobs:
        run_until_state(site, job, JobState.SUCCEEDED, timeout_ms=120_000)
    assert len(failing_worker.runs_by_task) <= 3 * 4
    assert all_owners(site)[0].health.is_quarantined(failing_worker.inventory().worker)


def test_job_that_fails_on_every_worker_ends_with_reason() -> None:
    site = make_site(workers=8, per_rack=8)
    job = submit(site, gang_spec(parts=2, accelerators=8, command="fail"))
    run_until_state(site, job, JobState.FAILED)
    record = find_job(site, job)
    assert "failed" in record.reason
    assert record.attempt <= MAX_FAILURES + 1
    owner = all_owners(site)[0]
    assert not any(owner.health.is_quarantined(status.name) for status in owner.workers.statuses)


def test_reservations_back_off_from_worker_without_room() -> None:
    site = make_site(workers=2, per_rack=2)
    for worker in site.workers.values():
        worker.set_foreign_use(Resources(4))
    job = submit(site, gang_spec(parts=2, accelerators=8, command="run:100"))
    owner = all_owners(site)[0]
    before = owner.workers.commands["reserve"]
    site.run_for(30_000)
    assert owner.workers.commands["reserve"] - before <= 8
    assert find_job(site, job).failures == 0
    for worker in site.workers.values():
        worker.set_foreign_use(Resources(0))
    run_until_state(site, job, JobState.SUCCEEDED)


def test_bulk_cancellation_costs_one_write_per_job() -> None:
    site = make_site(workers=8, per_rack=8)
    jobs = [
        submit(site, gang_spec(parts=1, accelerators=1, command="run:900000")) for _ in range(200)
    ]
    site.run_until(lambda: sum(running_parts(site, job) for job in jobs) == 64)
    before = count_job_writes(site)
    for job in jobs:
        run_in_background(live_hosts(site)[0].entry_host.jobs.cancel(job))
    site.run_for(5_000)
    assert all(job_state(site, job) is JobState.CANCELLED for job in jobs)
    assert sum(running_parts(site, job) for job in jobs) == 0
    assert count_job_writes(site) - before <= len(jobs)


def test_burst_of_small_jobs_costs_fixed_writes_per_job() -> None:
    site = make_site(workers=8, per_rack=8)
    host = live_hosts(site)[0].entry_host
    before = count_job_writes(site)
    job_spec = gang_spec(parts=1, accelerators=1, command="run:500")
    jobs = [site.run_coroutine(host.jobs.submit(job_spec)).unwrap().id for _ in range(200)]
    site.run_until(lambda: all(job_state(site, job) is JobState.SUCCEEDED for job in jobs))
    assert count_job_writes(site) - before == WRITES_PER_JOB * len(jobs)
    check_gang_invariants(site)


def test_ended_jobs_are_archived_and_still_found() -> None:
    site = make_site(entry_hosts=2)
    job = submit(site, gang_spec(parts=1, command="run:100"), "render-7")
    run_until_state(site, job, JobState.SUCCEEDED)
    site.run_for(ARCHIVE_AFTER_MS + 10_000)
    for each in site.hosts.values():
        assert each.entry_host.jobs.cached_job(job) is None
        assert (
            site.run_coroutine(each.entry_host.jobs.find(job)).unwrap().state is JobState.SUCCEEDED
        )
    repeated = site.run_coroutine(
        live_hosts(site)[1].entry_host.jobs.submit(gang_spec(1, command="run:100"), job)
    )
    assert repeated.unwrap().state is JobState.SUCCEEDED
    conflicting = site.run_coroutine(live_hosts(site)[1].entry_host.jobs.submit(gang_spec(2), job))
    assert conflicting.unwrap_err().kind is FailureKind.CONFLICT


@pytest.mark.parametrize("seed", range(3))
def test_submission_is_idempotent_after_lost_responses(seed: int) -> None:
    site = make_site(seed)
    site.network.response_loss_rate = 0.7
    job_spec = gang_spec(parts=1, command="run:100")
    for number, each in enumerate([*site.hosts.values()] * 2):
        result = site.run_coroutine(each.entry_host.jobs.submit(job_spec, JobId("render-1")))
        assert not isinstance(result, Err), number
    site.network.response_loss_rate = 0.0
    run_until_state(site, JobId("render-1"), JobState.SUCCEEDED)
    assert sum(len(worker.runs_by_task) for worker in site.workers.values()) == 1


def test_waiting_job_is_reassigned_to_zone_with_room() -> None:
    site = make_site(zones=2, workers=8, per_rack=4)
    site.run_for(5_000)
    first = submit(site, gang_spec(parts=4, accelerators=8))
    second = submit(site, gang_spec(parts=4, accelerators=8))
    site.run_until(lambda: running_parts(site, first) + running_parts(site, second) == 8)
    waiting = submit(site, gang_spec(parts=4, accelerators=8, command="run:100"))
    other_zone_job = next(job for job in (first, second) if find_job(site, job).zone != ZONE)
    own_zone_job = next(job for job in (first, second) if job != other_zone_job)
    target = other_zone_job if find_job(site, waiting).zone == ZONE else own_zone_job
    site.run_coroutine(live_hosts(site)[0].entry_host.jobs.cancel(target))
    run_until_state(site, waiting, JobState.SUCCEEDED, timeout_ms=REASSIGN_AFTER_MS + 20_000)


def test_jobs_of_lost_zone_run_in_another_zone() -> None:
    site = make_site(zones=2, workers=8, per_rack=4)
    site.run_for(5_000)
    job = submit(site, gang_spec(parts=4, accelerators=6, command="run:1000000"))
    site.run_until(lambda: running_parts(site, job) == 4)
    waiting = submit(site, gang_spec(parts=4, accelerators=8, command="run:100"))
    lost = find_job(site, job).zone
    for host in list(site.listed_hosts):
        if host.name in site.workers and host.zone == lost:
            site.workers[host.name].fail()
            site.listed_hosts.remove(host)
    site.run_until(lambda: running_parts(site, job) == 4, timeout_ms=180_000)
    assert find_job(site, job).zone != lost
    site.run_coroutine(live_hosts(site)[0].entry_host.jobs.cancel(job))
    run_until_state(site, waiting, JobState.SUCCEEDED)
    check_gang_invariants(site)
    check_no_exception()


def test_summary_reports_racks_teams_and_workers() -> None:
    site = make_site()
    job = submit(site, gang_spec(parts=2, accelerators=6))
    site.run_until(lambda: running_parts(site, job) == 2)
    next(worker for worker in site.workers.values() if not worker.runs_by_task).fail()
    site.run_for(12_000)
    summary = live_hosts(site)[0].entry_host.scheduler._context.summaries[0]
    assert summary.zone == ZONE
    assert [team.in_use for team in summary.teams if team.team == TEAM] == [12]
    assert sorted(worker.state for worker in summary.workers).count("unreachable") == 1
    assert summary.racks[0].free == 2 + 2 + 8
    assert summary.running_jobs == 1


@pytest.mark.parametrize("workers", [8, 103])
def test_each_worker_receives_one_message_per_renewal(workers: int) -> None:
    site = make_site(workers=workers, per_rack=workers, entry_hosts=1)
    jobs = [submit(site, gang_spec(parts=2, accelerators=2)) for _ in range(workers)]
    site.run_until(lambda: all(running_parts(site, job) == 2 for job in jobs[: workers // 2]))
    site.run_for(2_000)
    sent = all_owners(site)[0].workers.commands
    before = sent.total()
    site.run_for(10 * RENEWAL_INTERVAL_MS)
    assert sent.total() - before <= 10 * workers
