"""Tests refusals for load at the entry hosts, and that a job is admitted whenever in doubt."""

from __future__ import annotations

import pytest

from twisted.internet.defer import Deferred

from jujubehall.core.fleet.job_demand import job_demand
from jujubehall.core.fleet.overload import SETTLING_MS
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.daemon.scheduling_settings import SchedulingSettings
from jujubehall.entry_hosts.messages import SiteHeartbeat
from jujubehall.identifiers import FencingToken
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.admission import AdmittedCall
from jujubehall.services.fleet.admission import Outcome
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from jujubehall.testing.virtual.fleet.store import StoreFaultMode
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import TEAM
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

JOB = JobId("00000000000000c1")
REQUEST = JobRequest("spec", (step(32, expected_ms=1_000),))
SETTLED_S = SETTLING_MS / 1_000 + 1.5
FLOOD = 24


def make_site(refuses: bool = True) -> VirtualFleet:
    """Makes a site of 32 accelerators whose owner knows what runs."""
    site = VirtualFleet(CONFIGURATION, SmallSite().listed, scheduling=SchedulingSettings(refuses))
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(SETTLED_S)
    return site


def flood(site: VirtualFleet) -> None:
    """Submits jobs that each take the whole site for a second, until a queue is limited."""
    for number in range(FLOOD):
        job = JobId(f"{number:016x}")
        site.submit(job, JobRequest("spec", (step(32, expected_ms=1_000),)), host=number % 3)
    site.run(1.5)


@pytest.fixture
def site() -> VirtualFleet:
    """Returns a site on which new normal jobs would end when they are of no more use."""
    flooded = make_site()
    flood(flooded)
    assert all(NORMAL in host.site_host.peers.admission_limits.waits_ms for host in flooded.hosts)
    return flooded


def other_host(site: VirtualFleet) -> int:
    return next(number for number, host in enumerate(site.hosts) if host is not site.owner)


@pytest.mark.parametrize("number", range(3))
def test_job_is_refused_at_once_and_has_no_effect(site: VirtualFleet, number: int) -> None:
    started_s = site.time.seconds()
    response = site.submit(JOB, REQUEST, host=number)
    assert response.outcome is Outcome.NOT_RUN
    assert response.retry_after_ms >= 1_000
    assert site.time.seconds() - started_s < 0.1
    site.run(1.0)
    assert site.job_state(JOB).outcome is Outcome.NO_SUCH_JOB


def test_refused_job_is_accepted_when_there_is_room_again(site: VirtualFleet) -> None:
    refused_s = site.time.seconds()
    response = site.submit(JOB, REQUEST, host=0)
    for number in range(FLOOD):
        site.cancel(JobId(f"{number:016x}"), host=number % 3)
    site.run(response.retry_after_ms / 1_000)
    assert site.submit(JOB, REQUEST, host=1).outcome is Outcome.ACCEPTED
    site.run(0.1)
    owner = site.owner
    assert owner is not None
    assert owner.site_host.owner is not None
    job = owner.site_host.owner.fleet_state.jobs[JOB]
    assert abs(job.accepted_ms - refused_s * 1_000) < 100
    site.run(2.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED


def test_job_that_an_earlier_attempt_has_stored_is_accepted(site: VirtualFleet) -> None:
    """A refusal would say that the job has not run."""
    accepted = JobId(f"{FLOOD - 1:016x}")
    request = site.requests[accepted]
    assert site.submit(accepted, request, host=other_host(site)).outcome is Outcome.ACCEPTED


def test_stored_job_that_the_owner_does_not_know_is_accepted(site: VirtualFleet) -> None:
    host = site.hosts[other_host(site)]
    owner = site.owner
    assert owner is not None
    assert owner.site_host.owner is not None
    site.network.disconnect(host.name, owner.name)
    owner.store.fault_mode = StoreFaultMode.NO_RESPONSE
    assert site.submit(JOB, REQUEST, host=site.hosts.index(host)).outcome is Outcome.ACCEPTED
    site.network.reconnect_all()
    assert JOB not in owner.site_host.owner.fleet_state.jobs
    assert site.submit(JOB, REQUEST, host=site.hosts.index(host)).outcome is Outcome.ACCEPTED


def test_job_that_has_run_and_was_removed_is_not_refused(site: VirtualFleet) -> None:
    owner = site.owner
    assert owner is not None
    term = owner.site_host.owner
    assert term is not None
    demand = job_demand(REQUEST)
    assert demand is not None
    assert term.decide_admission(JOB, NORMAL, TEAM, demand) is not None
    term._job_retention._removed_ms[JOB] = 0
    assert term.decide_admission(JOB, NORMAL, TEAM, demand) is None


def test_caller_with_little_time_is_not_refused(site: VirtualFleet) -> None:
    host = site.hosts[other_host(site)]
    admitted = site.check_admission(host, f"/normal/{JOB}")
    assert isinstance(admitted, AdmittedCall)
    response = site.await_result(
        host.site_host.admission.submit(admitted._replace(timeout_ms=1_499), JOB, REQUEST)
    )
    assert response.outcome is Outcome.ACCEPTED


def test_refusal_takes_a_third_of_the_timeout_at_most(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The record can't be read; the write is left enough of the time."""
    number = other_host(site)
    records = site.hosts[number].site_host.admission._records
    monkeypatch.setattr(records, "find", lambda job: Deferred())
    started_s = site.time.seconds()
    assert site.submit(JOB, REQUEST, host=number).outcome is Outcome.ACCEPTED
    assert site.time.seconds() - started_s < 1.1


def test_limits_are_updated_while_records_are_deleted(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner = site.owner
    assert owner is not None
    term = owner.site_host.owner
    assert term is not None
    monkeypatch.setattr(term._job_retention, "clean_up", Deferred)
    site.run(30.0)
    assert not term.limits.waits_ms
    for number in range(FLOOD, 3 * FLOOD):
        site.submit(JobId(f"{number:016x}"), REQUEST, host=number % 3)
    site.run(1.5)
    assert NORMAL in term.limits.waits_ms


def test_urgent_job_within_the_guarantee_is_accepted(site: VirtualFleet) -> None:
    assert site.submit(JOB, REQUEST, "urgent").outcome is Outcome.ACCEPTED


def test_job_is_accepted_without_an_answer_of_the_owner(site: VirtualFleet) -> None:
    number = other_host(site)
    owner = site.owner
    assert owner is not None
    site.network.disconnect(site.hosts[number].name, owner.name)
    assert site.submit(JOB, REQUEST, host=number).outcome is Outcome.ACCEPTED


def test_limits_expire_without_heartbeats(site: VirtualFleet) -> None:
    number = other_host(site)
    owner = site.owner
    assert owner is not None
    site.network.disconnect(site.hosts[number].name, owner.name)
    site.run(1.2)
    started_s = site.time.seconds()
    assert site.submit(JOB, REQUEST, host=number).outcome is Outcome.ACCEPTED
    assert site.time.seconds() - started_s < 0.1


def test_new_owner_refuses_nothing_at_first(site: VirtualFleet) -> None:
    owner = site.owner
    assert owner is not None
    site.kill(owner)
    assert site.run_until(
        lambda: any(
            host.site_host.owner is not None and host.site_host.owner.is_loaded
            for host in site.hosts
            if host is not owner
        ),
        5.0,
    )
    site.run(0.5)
    number = next(number for number, host in enumerate(site.hosts) if host is not owner)
    assert site.submit(JOB, REQUEST, host=number).outcome is Outcome.ACCEPTED


def test_limits_of_an_earlier_owner_are_ignored(site: VirtualFleet) -> None:
    host = site.hosts[other_host(site)]
    peers = host.site_host.peers
    limits = peers.admission_limits
    member = peers.owner_member
    assert member is not None
    for number in range(FLOOD):
        site.cancel(JobId(f"{number:016x}"))
    site.run(1.5)
    assert not peers.admission_limits.waits_ms
    earlier = SiteHeartbeat(member, FencingToken(0), 1, limits=limits)
    site.await_result(peers._on_heartbeat(member.name, earlier))
    assert not peers.admission_limits.waits_ms


def test_delayed_heartbeat_does_not_refuse_jobs(site: VirtualFleet) -> None:
    """The owner decides on its present state."""
    number = other_host(site)
    peers = site.hosts[number].site_host.peers
    member, limits = peers.owner_member, peers.admission_limits
    assert member is not None
    for flooding in range(FLOOD):
        site.cancel(JobId(f"{flooding:016x}"))
    site.run(1.5)
    token = site.hosts[number].site_host.ownership.highest_token
    site.await_result(
        peers._on_heartbeat(member.name, SiteHeartbeat(member, token, 1, limits=limits))
    )
    assert peers.admission_limits == limits
    assert site.submit(JOB, REQUEST, host=number).outcome is Outcome.ACCEPTED


def test_store_that_does_not_answer_is_reported_as_before(site: VirtualFleet) -> None:
    site.set_store_fault_mode(StoreFaultMode.CONNECTION_REFUSED)
    response = site.submit(JOB, REQUEST)
    assert response.outcome is Outcome.NOT_RUN
    assert response.detail == "the store can't be reached"


def test_nothing_is_refused_unless_the_settings_say_so() -> None:
    site = make_site(refuses=False)
    flood(site)
    assert site.submit(JOB, REQUEST).outcome is Outcome.ACCEPTED
