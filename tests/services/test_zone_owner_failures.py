"""Gangs when the owner of their zone is killed, frozen, cut off or stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.jobs.gang import GangPhase
from jujubehall.core.jobs.job import JobState
from jujubehall.testing.randomised.gang_invariants import check_workers
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.worker_state import WorkerState
from tests.services.job_site import all_owners
from tests.services.job_site import check_no_exception
from tests.services.job_site import job_of
from tests.services.job_site import live_hosts
from tests.services.job_site import make_site
from tests.services.job_site import owner_host
from tests.services.job_site import run_until_state
from tests.services.job_site import running_parts
from tests.services.job_site import spec
from tests.services.job_site import submit

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.identifiers import JobId
    from jujubehall.services.zone_owner import ZoneOwner
    from jujubehall.testing.virtual.site import VirtualHost
    from jujubehall.testing.virtual.site import VirtualSite

FAILURE_MS = 8_000
Failure = tuple["Callable[[VirtualSite, VirtualHost], object]", bool]


def freeze(site: VirtualSite, host: VirtualHost) -> None:
    host.reactor.freeze()
    site.time.callLater(FAILURE_MS / 1_000, host.reactor.thaw)


def cut_off(site: VirtualSite, host: VirtualHost) -> None:
    site.network.cut(host.name, PLATFORM)
    site.time.callLater(FAILURE_MS / 1_000, lambda: site.network.join(host.name, PLATFORM))


def cut_from_workers(site: VirtualSite, host: VirtualHost) -> None:
    for worker in list(site.workers)[:2]:
        site.network.cut(host.name, worker)
    site.time.callLater(FAILURE_MS / 1_000, site.network.join_all)


def kill(site: VirtualSite, host: VirtualHost) -> None:
    host.reactor.kill()


def kill_two(site: VirtualSite, host: VirtualHost) -> None:
    host.reactor.kill()
    site.run_for(4_000)
    owner_host(site).reactor.kill()


FAILURES = {each.__name__: each for each in (freeze, cut_off, cut_from_workers, kill, kill_two)}
PHASES = (
    GangPhase.RECORDING,
    GangPhase.RESERVING,
    GangPhase.DECIDING,
    GangPhase.STARTING,
    GangPhase.RUNNING,
)


def run_until_phase(site: VirtualSite, owner: ZoneOwner, job: JobId, phase: GangPhase) -> None:
    for _ in range(20_000):
        runner = owner.gangs.get(job)
        if runner is not None and runner.gang.phase is phase:
            return
        site.run_for(1)
    raise AssertionError(f"{job} never came to {phase}")


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("phase", PHASES)
def test_a_failure_of_the_owner_in_each_phase(phase: GangPhase, failure: str) -> None:
    site = make_site(workers=6, per_rack=6, entry_hosts=4)
    host = owner_host(site)
    owner = host.host.scheduler.owners[0]
    job = submit(site, spec(parts=3, accelerators=6, command="run:10000"))
    run_until_phase(site, owner, job, phase)
    FAILURES[failure](site, host)
    run_until_state(site, job, JobState.SUCCEEDED, timeout_ms=180_000)
    check_workers(site)
    check_no_exception()
    record = job_of(site, job)
    assert record.failures == 0
    assert record.attempt <= 2


@pytest.mark.parametrize("phase", [GangPhase.STOPPING, GangPhase.ENDING])
@pytest.mark.parametrize("failure", ["freeze", "cut_off", "kill"])
def test_a_failure_of_the_owner_while_a_gang_ends(phase: GangPhase, failure: str) -> None:
    site = make_site(workers=6, per_rack=6, entry_hosts=4)
    host = owner_host(site)
    owner = host.host.scheduler.owners[0]
    job = submit(site, spec(parts=3, accelerators=6, command="run:20000"))
    site.run_until(lambda: running_parts(site, job) == 3)
    next(worker for worker in site.workers.values() if worker.spans).restart()
    run_until_phase(site, owner, job, phase)
    FAILURES[failure](site, host)
    run_until_state(site, job, JobState.SUCCEEDED, timeout_ms=180_000)
    check_workers(site)
    check_no_exception()


@pytest.mark.parametrize("victims", [1, 2])
def test_a_running_gang_goes_on_under_the_next_owner(victims: int) -> None:
    site = make_site(entry_hosts=4)
    job = submit(site, spec())
    site.run_until(lambda: running_parts(site, job) == 4)
    for _ in range(victims):
        owner_host(site).reactor.kill()
        site.run_for(15_000)
    site.run_for(60_000)
    assert running_parts(site, job) == 4
    assert job_of(site, job).attempt == 1
    check_workers(site)


def test_a_planned_stop_hands_over_without_disturbing_gangs() -> None:
    site = make_site()
    job = submit(site, spec())
    site.run_until(lambda: running_parts(site, job) == 4)
    leaving = owner_host(site)
    assert site.finish(leaving.host.stop(10_000))
    leaving.reactor.kill()
    site.run_for(30_000)
    assert running_parts(site, job) == 4
    assert job_of(site, job).attempt == 1


def disturb_by_a_former_owner(site: VirtualSite) -> JobId:
    """Cuts the owner off from the platform and from one worker of a running gang."""
    job = submit(site, spec(parts=4, accelerators=6))
    site.run_until(lambda: running_parts(site, job) == 4)
    former = owner_host(site)
    site.network.cut(former.name, PLATFORM)
    site.run_until(lambda: former not in live_owner_hosts(site), 20_000)
    site.run_until(lambda: len(all_owners(site)) == 2)
    site.network.cut(former.name, next(iter(site.workers)))
    site.run_for(60_000)
    return job


def live_owner_hosts(site: VirtualSite) -> list[VirtualHost]:
    record = next(
        each.host.membership.record for each in live_hosts(site) if each.host.cache.is_connected
    )
    owners = set(record.owners.values())
    return [each for each in live_hosts(site) if each.name in owners]


def test_workers_refuse_a_former_owner() -> None:
    site = make_site()
    job = disturb_by_a_former_owner(site)
    assert running_parts(site, job) == 4
    assert job_of(site, job).attempt == 1
    assert len(all_owners(site)) == 1


def test_without_fencing_a_former_owner_stops_the_gang(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(WorkerState, "_admit", lambda self, *_: self._pass_time())
    site = make_site()
    job = disturb_by_a_former_owner(site)
    assert job_of(site, job).attempt > 1


def test_a_worker_out_of_reach_counts_as_running_what_it_held() -> None:
    site = make_site(workers=8, per_rack=4, entry_hosts=4)
    job = submit(site, spec(parts=1, accelerators=8))
    site.run_until(lambda: running_parts(site, job) == 1)
    holder = next(name for name, worker in site.workers.items() if worker.spans)
    former = owner_host(site)
    for each in site.hosts:
        if each != former.name:
            site.network.cut(each, holder)
    site.network.cut(former.name, PLATFORM)
    for worker in site.workers:
        if worker != holder:
            site.network.cut(former.name, worker)
    # The former owner goes on renewing where the next one can't see it.
    site.run_for(100_000)
    assert running_parts(site, job) == 1
    assert job_of(site, job).attempt == 1
    site.network.join_all()
    site.run_for(30_000)
    assert running_parts(site, job) == 1
    check_workers(site)
    check_no_exception()
