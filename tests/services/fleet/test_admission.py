"""Tests the responses to callers while an entry host or the whole site can't reach the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.entry_hosts.messages import SiteHeartbeat
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.admission import Outcome
from jujubehall.testing.virtual.fleet.store import StoreFaultMode
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("00000000000000b1")
SHORT_REQUEST = JobRequest("spec", (step(expected_ms=300),))
HALF_OF_CALL_TIMEOUT_S = 1.5


def non_owner_index(site: VirtualFleet) -> int:
    return next(number for number, host in enumerate(site.hosts) if host is not site.owner)


@pytest.mark.parametrize(
    "fault_mode",
    [StoreFaultMode.NO_RESPONSE, StoreFaultMode.CONNECTION_REFUSED, StoreFaultMode.UNAVAILABLE],
)
def test_job_is_accepted_through_another_entry_host(
    site: VirtualFleet, fault_mode: StoreFaultMode
) -> None:
    number = non_owner_index(site)
    site.hosts[number].store.fault_mode = fault_mode
    started_s = site.time.seconds()
    assert site.submit(JOB, SHORT_REQUEST, host=number).outcome is Outcome.ACCEPTED
    assert site.time.seconds() - started_s < 1.0
    site.run(1.0)
    assert site.job_state(JOB, host=number).state is JobState.SUCCEEDED


def test_next_write_is_relayed_first_after_a_failed_write(site: VirtualFleet) -> None:
    number = non_owner_index(site)
    site.hosts[number].store.fault_mode = StoreFaultMode.NO_RESPONSE
    site.submit(JOB, SHORT_REQUEST, host=number)
    started_s = site.time.seconds()
    assert (
        site.submit(JobId("00000000000000b2"), SHORT_REQUEST, host=number).outcome
        is Outcome.ACCEPTED
    )
    assert site.time.seconds() - started_s < 0.1


def test_job_is_refused_at_once_and_never_runs_if_store_refuses_connections(
    site: VirtualFleet,
) -> None:
    site.set_store_fault_mode(StoreFaultMode.CONNECTION_REFUSED)
    started_s = site.time.seconds()
    response = site.submit(JOB, SHORT_REQUEST)
    assert response.outcome is Outcome.NOT_RUN
    assert response.retry_after_ms > 0
    assert site.time.seconds() - started_s < 0.5
    site.set_store_fault_mode(StoreFaultMode.NONE)
    site.run(3.0)
    assert site.run_recorder.start_counts == {}


def test_unanswered_write_is_reported_as_unknown(site: VirtualFleet) -> None:
    for host in site.hosts:
        host.store.late_write_probability = 1.0
    assert site.submit(JOB, SHORT_REQUEST).outcome is Outcome.UNKNOWN
    for host in site.hosts:
        host.store.late_write_probability = 0.0
    site.run(8.0)
    assert site.run_recorder.start_counts != {}


def test_silent_store_is_not_written_to(site: VirtualFleet) -> None:
    site.set_store_fault_mode(StoreFaultMode.NO_RESPONSE)
    site.run(0.5)
    started_s = site.time.seconds()
    response = site.submit(JOB, SHORT_REQUEST)
    assert response.outcome is Outcome.NOT_RUN
    assert response.retry_after_ms > 0
    assert site.time.seconds() - started_s < HALF_OF_CALL_TIMEOUT_S
    site.set_store_fault_mode(StoreFaultMode.NONE)
    site.run(8.0)
    assert site.run_recorder.start_counts == {}


def test_calls_are_refused_while_configuration_may_be_outdated(site: VirtualFleet) -> None:
    """An outdated configuration may still contain keys that have been revoked since."""
    site.set_store_fault_mode(StoreFaultMode.NO_RESPONSE)
    site.run(5.0)
    assert site.submit(JOB, SHORT_REQUEST).outcome is Outcome.NOT_RUN
    assert not any(host.site_host.is_ready for host in site.hosts)


def test_delayed_heartbeat_does_not_confirm_configuration(site: VirtualFleet) -> None:
    """A heartbeat that was delayed on the network must not make revoked keys usable for longer."""
    number = non_owner_index(site)
    host, owner = site.hosts[number], site.owner
    assert owner is not None
    assert owner.site_host.owner is not None
    member = host.site_host.peers.owner_member
    assert member is not None
    delayed_heartbeat = SiteHeartbeat(
        member, owner.site_host.owner.token, host.site_host.configuration.version
    )
    for other in site.hosts:
        if other is not host:
            site.network.disconnect(host.name, other.name)
    host.store.fault_mode = StoreFaultMode.NO_RESPONSE
    site.run(5.0)
    site.await_result(host.site_host.peers._on_heartbeat(member.name, delayed_heartbeat))
    assert site.submit(JOB, SHORT_REQUEST, host=number).outcome is Outcome.NOT_RUN
    site.network.reconnect_all()
    site.run(2.0)
    assert site.submit(JOB, SHORT_REQUEST, host=number).outcome is Outcome.ACCEPTED


def test_newer_configuration_is_applied_on_all_entry_hosts_at_once(site: VirtualFleet) -> None:
    site.configure(msgspec.structs.replace(CONFIGURATION, version=2))
    site.run(0.1)
    assert [host.site_host.configuration.version for host in site.hosts] == [2, 2, 2]


def test_entry_host_that_cannot_reach_store_gets_configuration_from_owner(
    site: VirtualFleet,
) -> None:
    number = non_owner_index(site)
    site.hosts[number].store.fault_mode = StoreFaultMode.NO_RESPONSE
    site.configure(msgspec.structs.replace(CONFIGURATION, version=2))
    site.run(10.0)
    assert site.hosts[number].site_host.configuration.version == 2
    assert site.hosts[number].site_host.is_ready


def test_entry_host_writes_directly_again_after_store_recovers(site: VirtualFleet) -> None:
    number = non_owner_index(site)
    host = site.hosts[number]
    host.store.fault_mode = StoreFaultMode.CONNECTION_REFUSED
    site.submit(JOB, SHORT_REQUEST, host=number)
    host.store.fault_mode = StoreFaultMode.NONE
    site.run(2.0)
    commits = host.store.call_counts.get("commit", 0)
    site.submit(JobId("00000000000000b3"), SHORT_REQUEST, host=number)
    assert host.store.call_counts["commit"] == commits + 1
