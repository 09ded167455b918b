"""Tests of gangs whose zone owner is killed, suspended, partitioned or stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.jobs.gang import GangPhase
from jujubehall.core.jobs.job import JobState
from jujubehall.testing.randomised.gang_invariants import check_gang_invariants
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.worker_state import WorkerState
from tests.services.job_site import all_owners
from tests.services.job_site import check_no_exception
from tests.services.job_site import find_job
from tests.services.job_site import gang_spec
from tests.services.job_site import live_hosts
from tests.services.job_site import make_site
from tests.services.job_site import owner_host
from tests.services.job_site import run_until_state
from tests.services.job_site import running_parts
from tests.services.job_site import submit

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.identifiers import JobId
    from jujubehall.services.zone_owner import ZoneOwner
    from jujubehall.testing.virtual.site import VirtualEntryHost
    from jujubehall.testing.virtual.site import VirtualSite

FAILURE_DURATION_MS = 8_000
Failure = tuple["Callable[[VirtualSite, VirtualEntryHost], object]", bool]


def suspend(site: VirtualSite, host: VirtualEntryHost) -> None:
    host.reactor.suspend()
    site.time.callLater(FAILURE_DURATION_MS / 1_000, host.reactor.resume)


def disconnect_from_platform(site: VirtualSite, host: VirtualEntryHost) -> None:
    site.network.disconnect(host.name, PLATFORM)
    site.time.callLater(
        FAILURE_DURATION_MS / 1_000, lambda: site.network.reconnect(host.name, PLATFORM)
    )


def disconnect_from_workers(site: VirtualSite, host: VirtualEntryHost) -> None:
    for worker in list(site.workers)[:2]:
        site.network.disconnect(host.name, worker)
    site.time.callLater(FAILURE_DURATION_MS / 1_000, site.network.reconnect_all)


def kill(site: VirtualSite, host: VirtualEntryHost) -> None:
    host.reactor.kill()


def kill_two_owners(site: VirtualSite, host: VirtualEntryHost) -> None:
    host.reactor.kill()
    site.run_for(4_000)
    owner_host(site).reactor.kill()


FAILURES = {
    each.__name__: each
    for each in (suspend, disconnect_from_platform, disconnect_from_workers, kill, kill_two_owners)
}
PHASES = (
    GangPhase.RECORDING_PLACEMENT,
    GangPhase.RESERVING,
    GangPhase.RECORDING_START,
    GangPhase.STARTING,
    GangPhase.RUNNING,
)


def run_until_phase(site: VirtualSite, owner: ZoneOwner, job: JobId, phase: GangPhase) -> None:
    for _ in range(20_000):
        runner = owner.gangs.get(job)
        if runner is not None and runner.gang.phase is phase:
            return
        site.run_for(1)
    raise AssertionError(f"{job} did not reach {phase} within 20 s")


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("phase", PHASES)
def test_job_succeeds_after_owner_failure_in_each_phase(phase: GangPhase, failure: str) -> None:
    site = make_site(workers=6, per_rack=6, entry_hosts=4)
    host = owner_host(site)
    owner = host.entry_host.scheduler.owners[0]
    job = submit(site, gang_spec(parts=3, accelerators=6, command="run:10000"))
    run_until_phase(site, owner, job, phase)
    FAILURES[failure](site, host)
    run_until_state(site, job, JobState.SUCCEEDED, timeout_ms=180_000)
    check_gang_invariants(site)
    check_no_exception()
    record = find_job(site, job)
    assert record.failures == 0
    assert record.attempt <= 2


@pytest.mark.parametrize("phase", [GangPhase.STOPPING, GangPhase.ENDING])
@pytest.mark.parametrize("failure", ["suspend", "disconnect_from_platform", "kill"])
def test_job_succeeds_after_owner_failure_while_gang_ends(phase: GangPhase, failure: str) -> None:
    site = make_site(workers=6, per_rack=6, entry_hosts=4)
    host = owner_host(site)
    owner = host.entry_host.scheduler.owners[0]
    job = submit(site, gang_spec(parts=3, accelerators=6, command="run:20000"))
    site.run_until(lambda: running_parts(site, job) == 3)
    next(worker for worker in site.workers.values() if worker.runs_by_task).restart()
    run_until_phase(site, owner, job, phase)
    FAILURES[failure](site, host)
    run_until_state(site, job, JobState.SUCCEEDED, timeout_ms=180_000)
    check_gang_invariants(site)
    check_no_exception()


@pytest.mark.parametrize("killed_owners", [1, 2])
def test_running_gang_continues_under_next_owner(killed_owners: int) -> None:
    site = make_site(entry_hosts=4)
    job = submit(site, gang_spec())
    site.run_until(lambda: running_parts(site, job) == 4)
    for _ in range(killed_owners):
        owner_host(site).reactor.kill()
        site.run_for(15_000)
    site.run_for(60_000)
    assert running_parts(site, job) == 4
    assert find_job(site, job).attempt == 1
    check_gang_invariants(site)


def test_planned_stop_transfers_zone_without_stopping_gangs() -> None:
    site = make_site()
    job = submit(site, gang_spec())
    site.run_until(lambda: running_parts(site, job) == 4)
    leaving = owner_host(site)
    assert site.run_coroutine(leaving.entry_host.stop(10_000))
    leaving.reactor.kill()
    site.run_for(30_000)
    assert running_parts(site, job) == 4
    assert find_job(site, job).attempt == 1


def run_with_partitioned_former_owner(site: VirtualSite) -> JobId:
    """Runs a gang whose owner is disconnected from the platform, then from one of its workers.

    The former owner keeps running next to the new owner, and sees one worker as unreachable.
    """
    job = submit(site, gang_spec(parts=4, accelerators=6))
    site.run_until(lambda: running_parts(site, job) == 4)
    former = owner_host(site)
    site.network.disconnect(former.name, PLATFORM)
    site.run_until(lambda: former not in hosts_in_ownership_record(site), 20_000)
    site.run_until(lambda: len(all_owners(site)) == 2)
    site.network.disconnect(former.name, next(iter(site.workers)))
    site.run_for(60_000)
    return job


def hosts_in_ownership_record(site: VirtualSite) -> list[VirtualEntryHost]:
    record = next(
        each.entry_host.membership.record
        for each in live_hosts(site)
        if each.entry_host.cache.is_connected
    )
    owners = set(record.owners.values())
    return [each for each in live_hosts(site) if each.name in owners]


def test_workers_reject_former_owner() -> None:
    site = make_site()
    job = run_with_partitioned_former_owner(site)
    assert running_parts(site, job) == 4
    assert find_job(site, job).attempt == 1
    assert len(all_owners(site)) == 1


def test_former_owner_stops_gang_if_fencing_is_disabled(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(WorkerState, "_check_epoch", lambda self, *_: self._update_tasks())
    site = make_site()
    job = run_with_partitioned_former_owner(site)
    assert find_job(site, job).attempt > 1


def test_tasks_of_unreachable_worker_count_as_running() -> None:
    site = make_site(workers=8, per_rack=4, entry_hosts=4)
    job = submit(site, gang_spec(parts=1, accelerators=8))
    site.run_until(lambda: running_parts(site, job) == 1)
    gang_worker = next(name for name, worker in site.workers.items() if worker.runs_by_task)
    former = owner_host(site)
    for each in site.hosts:
        if each != former.name:
            site.network.disconnect(each, gang_worker)
    site.network.disconnect(former.name, PLATFORM)
    for worker in site.workers:
        if worker != gang_worker:
            site.network.disconnect(former.name, worker)
    # The former owner keeps renewing the lease on a worker that the new owner can't reach.
    site.run_for(100_000)
    assert running_parts(site, job) == 1
    assert find_job(site, job).attempt == 1
    site.network.reconnect_all()
    site.run_for(30_000)
    assert running_parts(site, job) == 1
    check_gang_invariants(site)
    check_no_exception()
