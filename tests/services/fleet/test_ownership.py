"""How fast the site gets a new owner, and that it doesn't change owners for nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.platform.site_store import ABSENT
from jujubehall.services.fleet.worker_register import WorkerRegister
from jujubehall.services.timing import start
from jujubehall.testing.virtual.fleet.store import Path

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet
    from jujubehall.testing.virtual.fleet.site import VirtualHost


def owner_of(site: VirtualFleet) -> VirtualHost:
    assert site.owner is not None
    return site.owner


def seconds_until_other_owner(site: VirtualFleet, former: VirtualHost) -> float:
    began = site.time.seconds()
    assert site.run_until(lambda: site.owner not in (None, former), 10.0)
    return site.time.seconds() - began


def test_a_term_that_has_ended_recalls_no_workers(site: VirtualFleet) -> None:
    host = site.hosts[0]
    host.store.path = Path.SILENT
    register = WorkerRegister(host.reactor, host.store, ABSENT)
    assert site.await_result(register.load(lambda: True), seconds=5.0) == []


def test_a_dead_owner_is_replaced_before_its_lease_ends(site: VirtualFleet) -> None:
    owner = owner_of(site)
    site.kill(owner)
    assert seconds_until_other_owner(site, owner) < 1.6


def test_an_owner_that_stops_as_planned_is_replaced_at_once(site: VirtualFleet) -> None:
    owner = owner_of(site)
    start(owner.host.stop())
    assert seconds_until_other_owner(site, owner) < 0.3


def test_an_owner_that_alone_loses_the_store_gives_way(site: VirtualFleet) -> None:
    owner = owner_of(site)
    owner.store.path = Path.REFUSED
    assert seconds_until_other_owner(site, owner) < 1.5


def test_a_restarted_owner_takes_the_place_of_its_earlier_life(site: VirtualFleet) -> None:
    owner = owner_of(site)
    site.kill(owner)
    site.run(0.2)
    fresh = site.restart(owner)
    site.run(0.5)
    assert site.owner is fresh


def test_an_outage_of_the_store_changes_no_owner(site: VirtualFleet) -> None:
    owner = owner_of(site)
    site.store.leases_stand_still = True
    site.set_store_path(Path.SILENT)
    site.run(4.5)
    site.set_store_path(Path.SOUND)
    site.store.leases_stand_still = False
    site.run(3.0)
    assert site.owner is owner


def test_an_entry_host_that_does_not_hear_the_owner_leaves_it_in_place(
    site: VirtualFleet,
) -> None:
    owner = owner_of(site)
    deaf = next(host for host in site.hosts if host is not owner)
    site.network.cut(deaf.name, owner.name)
    site.run(6.0)
    assert site.owner is owner


def test_an_entry_host_without_any_peers_leaves_a_live_owner_in_place(site: VirtualFleet) -> None:
    owner = owner_of(site)
    lonely = next(host for host in site.hosts if host is not owner)
    for host in site.hosts:
        if host is not lonely:
            site.network.cut(lonely.name, host.name)
    site.run(6.0)
    assert site.owner is owner
