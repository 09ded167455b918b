"""Tests of the time bounds on partial gangs and urgent starts, measured at the workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.jobs.gang_timing import PARTIAL_GANG_BOUND_MS
from jujubehall.core.jobs.gang_timing import REACHABLE_GANG_BOUND_MS
from jujubehall.core.jobs.gang_timing import UNPAUSED_OWNER_BOUND_MS
from jujubehall.core.jobs.job import JobState
from jujubehall.testing.randomised.gang_invariants import check_gang_invariants
from tests.services.job_site import gang_spec
from tests.services.job_site import make_site
from tests.services.job_site import owner_host
from tests.services.job_site import run_until_state
from tests.services.job_site import running_parts
from tests.services.job_site import runs_by_attempt
from tests.services.job_site import submit

if TYPE_CHECKING:
    from jujubehall.identifiers import JobId
    from jujubehall.testing.virtual.site import VirtualSite

URGENT_START_BOUND_MS = 1_400


def start_gang(site: VirtualSite) -> JobId:
    job = submit(site, gang_spec(parts=4, accelerators=6))
    site.run_until(lambda: running_parts(site, job) == 4)
    site.run_for(site.random.randint(0, 5_000))
    return job


def run_until_started(site: VirtualSite, job: JobId) -> None:
    site.run_until(lambda: any(name == job for name, _ in runs_by_attempt(site)))


def test_bounds_have_their_documented_values() -> None:
    assert REACHABLE_GANG_BOUND_MS == 6_000
    assert UNPAUSED_OWNER_BOUND_MS == 20_000
    assert PARTIAL_GANG_BOUND_MS == 30_000


@pytest.mark.parametrize("seed", range(3))
def test_gang_stops_within_bound_after_worker_restart(seed: int) -> None:
    site = make_site(seed, workers=8, per_rack=8)
    job = start_gang(site)
    next(worker for worker in site.workers.values() if worker.runs_by_task).restart()
    site.run_for(REACHABLE_GANG_BOUND_MS)
    check_gang_invariants(site, REACHABLE_GANG_BOUND_MS)
    site.run_until(lambda: running_parts(site, job) == 4)


@pytest.mark.parametrize("seed", range(3))
def test_gang_stops_within_bound_after_worker_loss(seed: int) -> None:
    site = make_site(seed, workers=8, per_rack=8)
    job = start_gang(site)
    next(worker for worker in site.workers.values() if worker.runs_by_task).fail()
    site.run_for(UNPAUSED_OWNER_BOUND_MS)
    check_gang_invariants(site, UNPAUSED_OWNER_BOUND_MS)
    site.run_until(lambda: running_parts(site, job) == 4)
    check_gang_invariants(site, UNPAUSED_OWNER_BOUND_MS)


@pytest.mark.parametrize("seed", range(3))
def test_bound_holds_if_owner_and_worker_fail_together(seed: int) -> None:
    site = make_site(seed, workers=8, per_rack=8)
    job = start_gang(site)
    next(worker for worker in site.workers.values() if worker.runs_by_task).fail()
    owner_host(site).reactor.kill()
    site.run_for(UNPAUSED_OWNER_BOUND_MS)
    check_gang_invariants(site, UNPAUSED_OWNER_BOUND_MS)
    site.run_until(lambda: running_parts(site, job) == 4)
    check_gang_invariants(site, UNPAUSED_OWNER_BOUND_MS)


@pytest.mark.parametrize("seed", range(3))
def test_bound_holds_if_owner_is_partitioned_from_some_workers(seed: int) -> None:
    site = make_site(seed, workers=8, per_rack=8)
    job = start_gang(site)
    gang_workers = [
        worker.inventory().worker for worker in site.workers.values() if worker.runs_by_task
    ]
    for worker in gang_workers[:2]:
        site.network.disconnect(owner_host(site).name, worker)
    site.run_for(60_000)
    check_gang_invariants(site, UNPAUSED_OWNER_BOUND_MS)
    assert running_parts(site, job) == 4


def test_urgent_job_starts_within_bound() -> None:
    site = make_site()
    for _ in range(5):
        submitted_at_ms = site.clock.now_ms
        job = submit(site, gang_spec(parts=2, accelerators=2, command="run:10", urgent=True))
        run_until_started(site, job)
        assert site.clock.now_ms - submitted_at_ms <= URGENT_START_BOUND_MS
        run_until_state(site, job, JobState.SUCCEEDED)


def test_slow_and_dead_workers_do_not_delay_other_gangs() -> None:
    site = make_site(workers=8, per_rack=4, entry_hosts=1)
    job = start_gang(site)
    unused_workers = [worker for worker in site.workers.values() if not worker.runs_by_task]
    unused_workers[0].fail()
    unused_workers[1].command_delay_ms = 5_000
    unused_workers[2].command_delay_ms = 900
    site.run_for(60_000)
    assert running_parts(site, job) == 4
    submitted_at_ms = site.clock.now_ms
    urgent = submit(site, gang_spec(parts=1, accelerators=2, urgent=True))
    site.run_until(lambda: running_parts(site, urgent) == 1)
    assert site.clock.now_ms - submitted_at_ms <= URGENT_START_BOUND_MS
