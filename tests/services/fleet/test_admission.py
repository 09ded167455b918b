"""What callers are answered while an entry host or the whole site can't reach the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.entry_hosts.messages import SiteHeartbeat
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.admission import Outcome
from jujubehall.testing.virtual.fleet.store import Path
from tests.core.fleet.fleet_book import CONFIGURATION
from tests.core.fleet.fleet_book import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("00000000000000b1")
SHORT = JobRequest("spec", (step(expected_ms=300),))


HALF_OF_DEADLINE_S = 1.5


def host_without_ownership(site: VirtualFleet) -> int:
    return next(number for number, host in enumerate(site.hosts) if host is not site.owner)


@pytest.mark.parametrize("path", [Path.SILENT, Path.REFUSED, Path.BUSY])
def test_a_job_is_accepted_through_another_entry_host(site: VirtualFleet, path: Path) -> None:
    number = host_without_ownership(site)
    site.hosts[number].store.path = path
    began = site.time.seconds()
    assert site.submit(JOB, SHORT, host=number).outcome is Outcome.ACCEPTED
    assert site.time.seconds() - began < 1.0
    site.run(1.0)
    assert site.show(JOB, host=number).state is JobState.SUCCEEDED


def test_a_broken_path_to_the_store_is_not_tried_first_again(site: VirtualFleet) -> None:
    number = host_without_ownership(site)
    site.hosts[number].store.path = Path.SILENT
    site.submit(JOB, SHORT, host=number)
    began = site.time.seconds()
    assert site.submit(JobId("00000000000000b2"), SHORT, host=number).outcome is Outcome.ACCEPTED
    assert site.time.seconds() - began < 0.1


def test_without_a_store_a_job_is_refused_at_once_and_never_runs(site: VirtualFleet) -> None:
    site.set_store_path(Path.REFUSED)
    began = site.time.seconds()
    answer = site.submit(JOB, SHORT)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.retry_after_ms > 0
    assert site.time.seconds() - began < 0.5
    site.set_store_path(Path.SOUND)
    site.run(3.0)
    assert site.ledger.starts == {}


def test_an_unanswered_write_is_never_called_not_run(site: VirtualFleet) -> None:
    for host in site.hosts:
        host.store.late_writes = 1.0
    assert site.submit(JOB, SHORT).outcome is Outcome.UNKNOWN
    for host in site.hosts:
        host.store.late_writes = 0.0
    site.run(8.0)
    assert site.ledger.starts != {}


def test_a_store_that_does_not_answer_is_not_written_to(site: VirtualFleet) -> None:
    site.set_store_path(Path.SILENT)
    site.run(0.5)
    began = site.time.seconds()
    answer = site.submit(JOB, SHORT)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.retry_after_ms > 0
    assert site.time.seconds() - began < HALF_OF_DEADLINE_S
    site.set_store_path(Path.SOUND)
    site.run(8.0)
    assert site.ledger.starts == {}


def test_calls_are_refused_while_revoked_keys_might_still_be_known(site: VirtualFleet) -> None:
    site.set_store_path(Path.SILENT)
    site.run(5.0)
    assert site.submit(JOB, SHORT).outcome is Outcome.NOT_RUN
    assert not any(host.host.is_ready for host in site.hosts)


def test_a_heartbeat_that_was_held_up_proves_nothing_about_the_keys(site: VirtualFleet) -> None:
    number = host_without_ownership(site)
    host, owner = site.hosts[number], site.owner
    assert owner is not None
    assert owner.host.owner is not None
    member = host.host.peers.owner_member
    assert member is not None
    late = SiteHeartbeat(member, owner.host.owner.token, host.host.configuration.version)
    for other in site.hosts:
        if other is not host:
            site.network.cut(host.name, other.name)
    host.store.path = Path.SILENT
    site.run(5.0)
    site.await_result(host.host.peers._on_heartbeat(member.name, late))
    assert site.submit(JOB, SHORT, host=number).outcome is Outcome.NOT_RUN
    site.network.join_all()
    site.run(2.0)
    assert site.submit(JOB, SHORT, host=number).outcome is Outcome.ACCEPTED


def test_a_newer_configuration_is_in_force_everywhere_at_once(site: VirtualFleet) -> None:
    site.configure(msgspec.structs.replace(CONFIGURATION, version=2))
    site.run(0.1)
    assert [host.host.configuration.version for host in site.hosts] == [2, 2, 2]


def test_an_entry_host_without_a_store_learns_the_configuration_from_the_owner(
    site: VirtualFleet,
) -> None:
    number = host_without_ownership(site)
    site.hosts[number].store.path = Path.SILENT
    site.configure(msgspec.structs.replace(CONFIGURATION, version=2))
    site.run(10.0)
    assert site.hosts[number].host.configuration.version == 2
    assert site.hosts[number].host.is_ready


def test_once_the_store_is_back_an_entry_host_writes_by_itself_again(site: VirtualFleet) -> None:
    number = host_without_ownership(site)
    host = site.hosts[number]
    host.store.path = Path.REFUSED
    site.submit(JOB, SHORT, host=number)
    host.store.path = Path.SOUND
    site.run(2.0)
    commits = host.store.calls.get("commit", 0)
    site.submit(JobId("00000000000000b3"), SHORT, host=number)
    assert host.store.calls["commit"] == commits + 1
