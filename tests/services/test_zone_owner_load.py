"""Outages, bad workers, waves of cancellations and bursts, with the platform's calls counted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from result import Err

from jujubehall.core.jobs.attempts import MAX_FAILURES
from jujubehall.core.jobs.gang_timing import RENEWAL_INTERVAL_MS
from jujubehall.core.jobs.job import JobState
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.services.job_archive import ARCHIVE_AFTER_MS
from jujubehall.services.timing import start
from jujubehall.services.zone_hand_over import HAND_OVER_AFTER_MS
from jujubehall.testing.randomised.gang_invariants import check_workers
from jujubehall.testing.worker_state import WorkerBehaviour
from jujubehall.workers.messages import Resources
from tests.services.job_site import TEAM
from tests.services.job_site import ZONE
from tests.services.job_site import all_owners
from tests.services.job_site import check_no_exception
from tests.services.job_site import job_of
from tests.services.job_site import job_state
from tests.services.job_site import live_hosts
from tests.services.job_site import make_site
from tests.services.job_site import run_until_state
from tests.services.job_site import running_parts
from tests.services.job_site import spec
from tests.services.job_site import submit

if TYPE_CHECKING:
    from jujubehall.testing.virtual.site import VirtualSite

HOUR_MS = 3_600_000
WRITES_OF_A_JOB = 4
"""Accept, record the placement, record the start, record the end."""


def job_writes(site: VirtualSite) -> int:
    """Writes of records of jobs, tried by all entry hosts."""
    return sum(each.host.jobs._store.writes for each in site.hosts.values())


def test_an_outage_of_an_hour() -> None:
    site = make_site(entry_hosts=1)
    long = submit(site, spec(parts=2, accelerators=8))
    short = submit(site, spec(parts=1, accelerators=4, command="run:60000"))
    waiting = submit(site, spec(parts=4, accelerators=8, command="run:100"))
    site.run_until(lambda: running_parts(site, long) + running_parts(site, short) == 3)
    site.network.platform_down = True
    jobs = live_hosts(site)[0].host.jobs
    refused = site.finish(jobs.submit(spec()))
    assert isinstance(refused, Err)
    assert refused.err_value.kind is FailureKind.UNAVAILABLE
    for _ in range(60):
        site.run_for(HOUR_MS // 60)
        assert running_parts(site, long) == 2
    assert running_parts(site, waiting) == 0
    site.network.platform_down = False
    run_until_state(site, short, JobState.SUCCEEDED)
    assert job_of(site, short).attempt == 1
    assert job_of(site, long).attempt == 1
    site.finish(jobs.cancel(long))
    run_until_state(site, waiting, JobState.SUCCEEDED)
    check_workers(site)
    check_no_exception()


def test_a_worker_that_fails_everything_is_quarantined() -> None:
    site = make_site(workers=8, per_rack=8)
    bad = site.workers["worker-0"]
    bad.behaviour = WorkerBehaviour(fail_all=True)
    jobs = [submit(site, spec(parts=1, accelerators=2, command="run:5000")) for _ in range(20)]
    for job in jobs:
        run_until_state(site, job, JobState.SUCCEEDED, timeout_ms=120_000)
    assert len(bad.spans) <= 3 * 4
    assert all_owners(site)[0].health.is_quarantined(bad.inventory().worker)


def test_a_job_that_crashes_everywhere_ends_with_the_reason() -> None:
    site = make_site(workers=8, per_rack=8)
    job = submit(site, spec(parts=2, accelerators=8, command="fail"))
    run_until_state(site, job, JobState.FAILED)
    record = job_of(site, job)
    assert "failed" in record.reason
    assert record.attempt <= MAX_FAILURES + 1
    owner = all_owners(site)[0]
    assert not any(owner.health.is_quarantined(c.name) for c in owner.workers.contacts)


def test_a_worker_without_room_is_left_alone_for_a_while() -> None:
    site = make_site(workers=2, per_rack=2)
    for worker in site.workers.values():
        worker.set_foreign(Resources(4))
    job = submit(site, spec(parts=2, accelerators=8, command="run:100"))
    owner = all_owners(site)[0]
    before = owner.workers.commands["reserve"]
    site.run_for(30_000)
    assert owner.workers.commands["reserve"] - before <= 8
    assert job_of(site, job).failures == 0
    for worker in site.workers.values():
        worker.set_foreign(Resources(0))
    run_until_state(site, job, JobState.SUCCEEDED)


def test_a_wave_of_cancellations_costs_one_write_a_job() -> None:
    site = make_site(workers=8, per_rack=8)
    jobs = [submit(site, spec(parts=1, accelerators=1, command="run:900000")) for _ in range(200)]
    site.run_until(lambda: sum(running_parts(site, job) for job in jobs) == 64)
    before = job_writes(site)
    for job in jobs:
        start(live_hosts(site)[0].host.jobs.cancel(job))
    site.run_for(5_000)
    assert all(job_state(site, job) is JobState.CANCELLED for job in jobs)
    assert sum(running_parts(site, job) for job in jobs) == 0
    assert job_writes(site) - before <= len(jobs)


def test_a_burst_of_small_jobs_costs_a_fixed_number_of_writes() -> None:
    site = make_site(workers=8, per_rack=8)
    host = live_hosts(site)[0].host
    before = job_writes(site)
    wanted = spec(parts=1, accelerators=1, command="run:500")
    jobs = [site.finish(host.jobs.submit(wanted)).unwrap().id for _ in range(200)]
    site.run_until(lambda: all(job_state(site, job) is JobState.SUCCEEDED for job in jobs))
    assert job_writes(site) - before == WRITES_OF_A_JOB * len(jobs)
    check_workers(site)


def test_ended_jobs_leave_the_state_and_are_still_found() -> None:
    site = make_site(entry_hosts=2)
    job = submit(site, spec(parts=1, command="run:100"), "render-7")
    run_until_state(site, job, JobState.SUCCEEDED)
    site.run_for(ARCHIVE_AFTER_MS + 10_000)
    for each in site.hosts.values():
        assert each.host.jobs.job(job) is None
        assert site.finish(each.host.jobs.find(job)).unwrap().state is JobState.SUCCEEDED
    again = site.finish(live_hosts(site)[1].host.jobs.submit(spec(1, command="run:100"), job))
    assert again.unwrap().state is JobState.SUCCEEDED
    other = site.finish(live_hosts(site)[1].host.jobs.submit(spec(2), job))
    assert other.unwrap_err().kind is FailureKind.CONFLICT


@pytest.mark.parametrize("seed", range(3))
def test_a_submission_is_idempotent_after_lost_answers(seed: int) -> None:
    site = make_site(seed)
    site.network.lost_answer_share = 0.7
    wanted = spec(parts=1, command="run:100")
    for number, each in enumerate([*site.hosts.values()] * 2):
        answer = site.finish(each.host.jobs.submit(wanted, JobId("render-1")))
        assert not isinstance(answer, Err), number
    site.network.lost_answer_share = 0.0
    run_until_state(site, JobId("render-1"), JobState.SUCCEEDED)
    assert sum(len(worker.spans) for worker in site.workers.values()) == 1


def test_a_job_that_does_not_fit_its_zone_is_handed_to_another() -> None:
    site = make_site(zones=2, workers=8, per_rack=4)
    site.run_for(5_000)
    first = submit(site, spec(parts=4, accelerators=8))
    second = submit(site, spec(parts=4, accelerators=8))
    site.run_until(lambda: running_parts(site, first) + running_parts(site, second) == 8)
    waiting = submit(site, spec(parts=4, accelerators=8, command="run:100"))
    elsewhere = next(job for job in (first, second) if job_of(site, job).zone != ZONE)
    here = next(job for job in (first, second) if job != elsewhere)
    target = elsewhere if job_of(site, waiting).zone == ZONE else here
    site.finish(live_hosts(site)[0].host.jobs.cancel(target))
    run_until_state(site, waiting, JobState.SUCCEEDED, timeout_ms=HAND_OVER_AFTER_MS + 20_000)


def test_the_jobs_of_a_lost_zone_run_in_another() -> None:
    site = make_site(zones=2, workers=8, per_rack=4)
    site.run_for(5_000)
    job = submit(site, spec(parts=4, accelerators=6, command="run:1000000"))
    site.run_until(lambda: running_parts(site, job) == 4)
    waiting = submit(site, spec(parts=4, accelerators=8, command="run:100"))
    lost = job_of(site, job).zone
    for host in list(site.listed):
        if host.name in site.workers and host.zone == lost:
            site.workers[host.name].go_down()
            site.listed.remove(host)
    site.run_until(lambda: running_parts(site, job) == 4, timeout_ms=180_000)
    assert job_of(site, job).zone != lost
    site.finish(live_hosts(site)[0].host.jobs.cancel(job))
    run_until_state(site, waiting, JobState.SUCCEEDED)
    check_workers(site)
    check_no_exception()


def test_the_summary_shows_racks_teams_and_workers() -> None:
    site = make_site()
    job = submit(site, spec(parts=2, accelerators=6))
    site.run_until(lambda: running_parts(site, job) == 2)
    next(worker for worker in site.workers.values() if not worker.spans).go_down()
    site.run_for(12_000)
    summary = live_hosts(site)[0].host.scheduler._context.summaries[0]
    assert summary.zone == ZONE
    assert [team.in_use for team in summary.teams if team.team == TEAM] == [12]
    assert sorted(worker.state for worker in summary.workers).count("unreachable") == 1
    assert summary.racks[0].free == 2 + 2 + 8
    assert summary.running_jobs == 1


@pytest.mark.parametrize("workers", [8, 103])
def test_each_worker_gets_one_message_a_renewal(workers: int) -> None:
    site = make_site(workers=workers, per_rack=workers, entry_hosts=1)
    jobs = [submit(site, spec(parts=2, accelerators=2)) for _ in range(workers)]
    site.run_until(lambda: all(running_parts(site, job) == 2 for job in jobs[: workers // 2]))
    site.run_for(2_000)
    sent = all_owners(site)[0].workers.commands
    before = sent.total()
    site.run_for(10 * RENEWAL_INTERVAL_MS)
    assert sent.total() - before <= 10 * workers
