"""Tests how fast the site gets a new owner, and that the owner is not replaced needlessly."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.clock import to_seconds
from jujubehall.entry_hosts.messages import SiteHeartbeat
from jujubehall.identifiers import FencingToken
from jujubehall.platform.site_store import ABSENT
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.fleet.peers import MEMBER_TIMEOUT_MS
from jujubehall.services.fleet.worker_registry import WorkerRegistry
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from jujubehall.testing.virtual.fleet.store import StoreFaultMode
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import SmallSite

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualHost

LATE_HEARTBEAT_DELAY_MS = 600
"""Shorter than the timeout of a heartbeat; longer than a few reads of the owner record."""


@pytest.fixture(params=range(5))
def larger_site(request: pytest.FixtureRequest) -> VirtualFleet:
    """Returns a site of eight entry hosts, most of which are not consulted about an owner."""
    fleet = VirtualFleet(CONFIGURATION, SmallSite().listed, hosts=8, seed=request.param)
    assert fleet.run_until(lambda: fleet.owner is not None, 5.0)
    fleet.run(1.0)
    return fleet


def highest_token(site: VirtualFleet) -> FencingToken:
    return max(host.site_host.ownership.highest_token for host in site.hosts)


def current_owner(site: VirtualFleet) -> VirtualHost:
    assert site.owner is not None
    return site.owner


def seconds_until_other_owner(site: VirtualFleet, former: VirtualHost) -> float:
    started_s = site.time.seconds()
    assert site.run_until(lambda: site.owner not in (None, former), 10.0)
    return site.time.seconds() - started_s


def test_worker_registry_stops_loading_when_term_ends(site: VirtualFleet) -> None:
    host = site.hosts[0]
    host.store.fault_mode = StoreFaultMode.NO_RESPONSE
    registry = WorkerRegistry(host.reactor, host.store, ABSENT)
    assert site.await_result(registry.load(100, lambda: True), seconds=5.0) is None


def test_crashed_owner_is_replaced_before_its_lease_expires(site: VirtualFleet) -> None:
    owner = current_owner(site)
    site.kill(owner)
    assert seconds_until_other_owner(site, owner) < 1.6


def test_owner_is_replaced_at_once_on_planned_stop(site: VirtualFleet) -> None:
    owner = current_owner(site)
    run_in_background(owner.site_host.stop())
    assert seconds_until_other_owner(site, owner) < 0.3


def test_owner_that_alone_loses_the_store_resigns(site: VirtualFleet) -> None:
    owner = current_owner(site)
    owner.store.fault_mode = StoreFaultMode.CONNECTION_REFUSED
    assert seconds_until_other_owner(site, owner) < 1.5


def test_restarted_owner_replaces_its_earlier_incarnation(site: VirtualFleet) -> None:
    owner = current_owner(site)
    site.kill(owner)
    site.run(0.2)
    fresh = site.restart(owner)
    site.run(0.5)
    assert site.owner is fresh


def test_store_outage_does_not_change_owner(site: VirtualFleet) -> None:
    owner = current_owner(site)
    site.store.is_lease_expiry_paused = True
    site.set_store_fault_mode(StoreFaultMode.NO_RESPONSE)
    site.run(4.5)
    site.set_store_fault_mode(StoreFaultMode.NONE)
    site.store.is_lease_expiry_paused = False
    site.run(3.0)
    assert site.owner is owner


def test_entry_host_disconnected_from_owner_does_not_replace_it(
    site: VirtualFleet,
) -> None:
    owner = current_owner(site)
    disconnected_host = next(host for host in site.hosts if host is not owner)
    site.network.disconnect(disconnected_host.name, owner.name)
    site.run(6.0)
    assert site.owner is owner


def test_entry_host_disconnected_from_all_peers_does_not_replace_owner(site: VirtualFleet) -> None:
    owner = current_owner(site)
    isolated_host = next(host for host in site.hosts if host is not owner)
    for host in site.hosts:
        if host is not isolated_host:
            site.network.disconnect(isolated_host.name, host.name)
    site.run(6.0)
    assert site.owner is owner


def test_owner_elected_after_long_term_sends_heartbeats_to_all_hosts(
    larger_site: VirtualFleet,
) -> None:
    site, former = larger_site, current_owner(larger_site)
    site.run(to_seconds(MEMBER_TIMEOUT_MS))
    run_in_background(former.site_host.stop())
    seconds_until_other_owner(site, former)
    successor = current_owner(site)
    token = highest_token(site)
    site.run(0.5)
    for host in site.hosts:
        if host is not successor:
            owner_member = host.site_host.peers.owner_member
            assert owner_member is not None
            assert owner_member.name == successor.name
    site.kill(former)
    site.run(3.0)
    assert (site.owner, highest_token(site)) == (successor, token)


def test_new_owner_whose_first_heartbeats_are_late_is_not_replaced(
    larger_site: VirtualFleet,
) -> None:
    site, former = larger_site, current_owner(larger_site)
    site.kill(former)
    site.network.message_delays_ms[SiteHeartbeat] = LATE_HEARTBEAT_DELAY_MS
    seconds_until_other_owner(site, former)
    successor = current_owner(site)
    token = highest_token(site)
    site.run(3.0)
    assert (site.owner, highest_token(site)) == (successor, token)


def test_new_owner_that_crashes_before_its_first_heartbeat_is_replaced(
    larger_site: VirtualFleet,
) -> None:
    site, former = larger_site, current_owner(larger_site)
    site.kill(former)
    site.network.message_delays_ms[SiteHeartbeat] = LATE_HEARTBEAT_DELAY_MS
    seconds_until_other_owner(site, former)
    crashed = current_owner(site)
    site.kill(crashed)
    site.network.message_delays_ms.clear()
    assert seconds_until_other_owner(site, crashed) < 1.6


def test_restarted_host_that_has_not_heard_owner_is_no_evidence_against_it(
    site: VirtualFleet,
) -> None:
    owner = current_owner(site)
    token = highest_token(site)
    disconnected_host, restarted_host = (host for host in site.hosts if host is not owner)
    site.network.disconnect(disconnected_host.name, owner.name)
    site.run(2.0)
    site.kill(restarted_host)
    site.network.message_delays_ms[SiteHeartbeat] = LATE_HEARTBEAT_DELAY_MS
    site.restart(restarted_host)
    site.run(3.0)
    assert (site.owner, highest_token(site)) == (owner, token)


def test_peers_that_do_not_know_an_owner_give_no_vote_against_it(site: VirtualFleet) -> None:
    host = next(host for host in site.hosts if host is not site.owner)
    site.kill(current_owner(site))
    later = FencingToken(highest_token(site) + 1)
    assert site.await_result(host.site_host.peers.query_owner_silence_ms(later)) is None
