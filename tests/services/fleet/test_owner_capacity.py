"""Tests which of uneven entry hosts owns the site."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.core.ownership.capacity import HostCapacity
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import JobId
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.fleet.ownership import HANDOVER_CHECK_INTERVAL_MS
from jujubehall.services.fleet.records import HOST_PREFIX
from jujubehall.testing.virtual.fleet.site import VirtualFleet
from jujubehall.testing.virtual.fleet.store import StoreFaultMode
from jujubehall.testing.virtual.fleet.store import VirtualStore
from tests.core.fleet.small_site import CONFIGURATION
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualHost

LARGE = HostCapacity(2_150, 200)
SMALL = HostCapacity(516, 10)
HOSTS = 8
LARGE_HOSTS = ("entry-3", "entry-6")
CAPACITIES = {
    name: LARGE if name in LARGE_HOSTS else SMALL
    for name in (f"entry-{number}" for number in range(HOSTS))
}
CHECK_INTERVAL_S = 0.1
CHECKS = 600
MAX_FAILED_TERMS = 5
"""Terms that begin 3, 6, 12 and 24 s after the one before fill the minute of the checks."""

MIN_LOADED_SHARE = 0.7
"""Each of these terms costs at most 3.6 s: two attempts to load and an election."""

MAX_HANDOVER_S = HANDOVER_CHECK_INTERVAL_MS / 1000 + 2.0


@pytest.fixture(params=range(5))
def uneven_site(request: pytest.FixtureRequest) -> VirtualFleet:
    """Returns a site of two large and six small entry hosts."""
    site = VirtualFleet(
        CONFIGURATION, SmallSite().listed, HOSTS, seed=request.param, capacities=CAPACITIES
    )
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(MAX_HANDOVER_S)
    return site


def owner_of(site: VirtualFleet) -> VirtualHost:
    assert site.run_until(lambda: site.owner is not None, 5.0)
    assert site.owner is not None
    return site.owner


def large_hosts(site: VirtualFleet) -> list[VirtualHost]:
    return [host for host in site.hosts if host.name in LARGE_HOSTS]


def replace_owner(site: VirtualFleet) -> VirtualHost:
    former = owner_of(site)
    site.kill(former)
    assert site.run_until(lambda: site.owner not in (None, former), 2.0)
    return owner_of(site)


def test_large_host_takes_over_before_small_ones(uneven_site: VirtualFleet) -> None:
    assert replace_owner(uneven_site).name in LARGE_HOSTS


def test_large_host_takes_over_on_planned_stop_before_small_ones(
    uneven_site: VirtualFleet,
) -> None:
    former = owner_of(uneven_site)
    run_in_background(former.site_host.stop())
    assert uneven_site.run_until(lambda: uneven_site.owner not in (None, former), 0.3)
    assert owner_of(uneven_site).name in LARGE_HOSTS


def test_small_host_takes_over_if_no_large_one_is_left(uneven_site: VirtualFleet) -> None:
    replace_owner(uneven_site)
    assert replace_owner(uneven_site).name not in LARGE_HOSTS


def test_large_host_owns_the_site_after_all_hosts_have_restarted(
    uneven_site: VirtualFleet,
) -> None:
    for host in list(uneven_site.hosts):
        uneven_site.kill(host)
    uneven_site.run(9.0)
    for host in sorted(uneven_site.hosts, key=lambda host: host.name in LARGE_HOSTS):
        uneven_site.restart(host)
    assert owner_of(uneven_site).name in LARGE_HOSTS


def test_small_owner_hands_over_once_a_large_host_reaches_the_store(
    uneven_site: VirtualFleet,
) -> None:
    job = JobId("0000000000000001")
    for host in large_hosts(uneven_site):
        host.store.fault_mode = StoreFaultMode.UNAVAILABLE
    uneven_site.run(3.0)
    interim_owner = owner_of(uneven_site)
    assert interim_owner.name not in LARGE_HOSTS
    uneven_site.submit(job, JobRequest("spec", (step(tasks=4, expected_ms=9_000),)))
    uneven_site.run(3 * HANDOVER_CHECK_INTERVAL_MS / 1000)
    assert owner_of(uneven_site) is interim_owner
    for host in large_hosts(uneven_site):
        host.store.fault_mode = StoreFaultMode.NONE
    uneven_site.run(MAX_HANDOVER_S)
    assert owner_of(uneven_site).name in LARGE_HOSTS
    assert uneven_site.job_state(job).state is JobState.SUCCEEDED
    assert set(uneven_site.run_recorder.start_counts.values()) == {1}


def test_hand_overs_to_a_large_host_that_fails_as_owner_become_rare(
    uneven_site: VirtualFleet,
) -> None:
    broken, removed = large_hosts(uneven_site)
    uneven_site.kill(removed)
    broken.store.are_lists_unanswered = True
    if uneven_site.owner is broken:
        run_in_background(broken.site_host.ownership.give_up("injected"))
    loaded = 0
    owners: set[tuple[str, int]] = set()
    for _ in range(CHECKS):
        uneven_site.run(CHECK_INTERVAL_S)
        for host in uneven_site.hosts:
            owner = host.site_host.owner
            if owner is not None and not host.reactor.is_killed:
                owners.add((host.name, owner.token))
                loaded += owner.is_loaded
    assert sum(name == broken.name for name, _ in owners) <= MAX_FAILED_TERMS
    assert loaded >= MIN_LOADED_SHARE * CHECKS


def test_small_owner_does_not_hand_over_to_a_host_that_is_stopping(
    uneven_site: VirtualFleet,
) -> None:
    for host in large_hosts(uneven_site):
        run_in_background(host.site_host.stop())
    uneven_site.run(2.0)
    owner = owner_of(uneven_site)
    token = owner.site_host.ownership.highest_token
    uneven_site.run(3 * HANDOVER_CHECK_INTERVAL_MS / 1000)
    assert owner_of(uneven_site) is owner
    assert owner.site_host.ownership.highest_token == token


def test_capacity_is_learned_after_an_older_build_has_relayed_the_host_without_it() -> None:
    site = VirtualFleet(CONFIGURATION, SmallSite().listed, HOSTS, capacities=CAPACITIES)
    site.run(1.0)
    peers = site.hosts[0].site_host.peers
    known = next(each for each in peers.others if each.name in LARGE_HOSTS)
    restarted = msgspec.structs.replace(known, incarnation=Incarnation("x"), started_unix_ms=99)
    peers.note_member(msgspec.structs.replace(restarted, capacity=HostCapacity()))
    peers.note_member(restarted)
    assert restarted in peers.others


def test_hosts_that_fail_to_read_the_list_of_hosts_still_elect_an_owner(
    uneven_site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    list_items = VirtualStore.list_items

    async def list_or_raise(store: VirtualStore, prefix: str) -> Any:
        if prefix == HOST_PREFIX:
            raise RuntimeError("injected")
        return await list_items(store, prefix)

    monkeypatch.setattr(VirtualStore, "list_items", list_or_raise)
    for host in list(uneven_site.hosts):
        uneven_site.kill(host)
        uneven_site.restart(host)
    assert owner_of(uneven_site)


def test_hosts_of_similar_or_unknown_capacity_do_not_defer_to_each_other() -> None:
    assert LARGE.is_larger_than(SMALL)
    assert not SMALL.is_larger_than(LARGE)
    assert not HostCapacity(900, 15).is_larger_than(SMALL)
    assert not HostCapacity(2_150, 5).is_larger_than(SMALL)
    assert not LARGE.is_larger_than(HostCapacity())
    assert not HostCapacity().is_larger_than(SMALL)
