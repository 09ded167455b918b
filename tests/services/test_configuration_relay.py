"""A configuration reaches entry hosts that the platform can't tell."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import set_default
from jujubehall.services.configuration_relay import ConfigurationRelay
from jujubehall.services.timing import start
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.virtual.ownership_site import OwnershipHost
from jujubehall.testing.virtual.ownership_site import OwnershipSite

if TYPE_CHECKING:
    from result import Result

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.errors import Failure

BOUND_MS = 19_000
HEARTBEATS_MS = 3_000
SETTLE_MS = 25_000


@pytest.fixture
def site() -> OwnershipSite:
    site = OwnershipSite(5, 3)
    site.run_until(site.is_settled, SETTLE_MS)
    site.run_for(2_000)
    return site


def change(site: OwnershipSite, host: OwnershipHost, slots: int) -> None:
    """Has an operator change the configuration at ``host`` until it is accepted."""
    author = ChangeAuthor("ada", "a reason", f"token-{slots}", 0)

    def set_slots(current: Configuration) -> Result[Configuration, Failure]:
        return set_default(current, author, "endpoint_slots", slots)

    changed = start(host.configuration.change(host.configuration.current.number, set_slots))
    site.run_until(lambda: bool(changed.called), 5_000)
    assert changed.result.unwrap().number  # type: ignore[attr-defined]


def slots_everywhere(site: OwnershipSite, slots: int) -> bool:
    return all(
        host.configuration.current.defaults.endpoint_slots == slots
        for host in site.live
        if not host.reactor.is_frozen
    )


def converge_ms(site: OwnershipSite, slots: int) -> int:
    return site.run_until(lambda: slots_everywhere(site, slots), BOUND_MS)


def test_a_change_reaches_every_entry_host_by_the_watch(site: OwnershipSite) -> None:
    change(site, site.live[0], 11)
    assert converge_ms(site, 11) < 500


def test_entry_hosts_cut_off_from_the_platform_learn_it_from_others(site: OwnershipSite) -> None:
    for host in site.live[1:]:
        site.network.cut(host.name, PLATFORM)
    change(site, site.live[0], 12)
    assert converge_ms(site, 12) <= HEARTBEATS_MS


def test_an_outage_after_the_write_does_not_keep_it_from_the_others(site: OwnershipSite) -> None:
    first = site.live[0]
    for host in site.live[1:]:
        site.network.cut(host.name, PLATFORM)
    change(site, first, 13)
    site.network.platform_down = True
    site.network.join_all()
    assert converge_ms(site, 13) <= HEARTBEATS_MS


def test_an_entry_host_started_during_an_outage_asks_its_seeds(site: OwnershipSite) -> None:
    change(site, site.live[0], 14)
    converge_ms(site, 14)
    site.network.platform_down = True
    site.hosts[next(iter(site.hosts))].reactor.kill()
    fresh = site.start_host(0)
    assert not fresh.configuration.is_known
    assert converge_ms(site, 14) <= HEARTBEATS_MS
    assert fresh.configuration.is_known


def test_a_stale_read_is_overtaken_by_the_heartbeats(site: OwnershipSite) -> None:
    change(site, site.live[0], 15)
    converge_ms(site, 15)
    replica = site.store.snapshot()
    change(site, site.live[0], 16)
    converge_ms(site, 16)
    site.hosts[next(iter(site.hosts))].reactor.kill()
    fresh = site.start_host(0)
    fresh.platform.read_from(replica)
    assert converge_ms(site, 16) <= HEARTBEATS_MS


def test_a_paused_entry_host_that_wakes_learns_it(site: OwnershipSite) -> None:
    paused = site.live[1]
    paused.reactor.freeze()
    change(site, site.live[0], 17)
    site.run_for(20_000)
    paused.reactor.thaw()
    assert converge_ms(site, 17) <= HEARTBEATS_MS


def test_without_the_relay_a_cut_off_entry_host_stays_behind(
    site: OwnershipSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def compare(self: object, peer: object, heartbeat: object) -> None:
        """Learns nothing."""

    monkeypatch.setattr(ConfigurationRelay, "compare", compare)
    site.network.cut(site.live[1].name, PLATFORM)
    change(site, site.live[0], 18)
    with pytest.raises(AssertionError):
        converge_ms(site, 18)
