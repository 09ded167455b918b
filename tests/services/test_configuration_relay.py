"""A configuration change reaches entry hosts that can't read it from the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jujubehall.core.configuration.change import ChangeAuthor
from jujubehall.core.configuration.change import set_default
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.configuration_relay import ConfigurationRelay
from jujubehall.testing.virtual.network import PLATFORM
from jujubehall.testing.virtual.ownership_site import OwnershipHost
from jujubehall.testing.virtual.ownership_site import OwnershipSite

if TYPE_CHECKING:
    from result import Result

    from jujubehall.core.configuration.document import Configuration
    from jujubehall.errors import Failure

CONVERGENCE_TIMEOUT_MS = 19_000
MAX_RELAY_MS = 3_000
STARTUP_TIMEOUT_MS = 25_000


@pytest.fixture
def site() -> OwnershipSite:
    site = OwnershipSite(5, 3)
    site.run_until(site.has_converged, STARTUP_TIMEOUT_MS)
    site.run_for(2_000)
    return site


def change_slots(site: OwnershipSite, host: OwnershipHost, slots: int) -> None:
    """Changes the configuration on ``host`` as an operator and waits until it is accepted."""
    author = ChangeAuthor("ada", "a reason", f"token-{slots}", 0)

    def set_slots(current: Configuration) -> Result[Configuration, Failure]:
        return set_default(current, author, "endpoint_slots", slots)

    changed = run_in_background(
        host.configuration.change(host.configuration.current.number, set_slots)
    )
    site.run_until(lambda: bool(changed.called), 5_000)
    assert changed.result.unwrap().number  # type: ignore[attr-defined]


def all_hosts_have_slots(site: OwnershipSite, slots: int) -> bool:
    return all(
        host.configuration.current.defaults.endpoint_slots == slots
        for host in site.live_hosts
        if not host.reactor.is_suspended
    )


def convergence_time_ms(site: OwnershipSite, slots: int) -> int:
    return site.run_until(lambda: all_hosts_have_slots(site, slots), CONVERGENCE_TIMEOUT_MS)


def test_change_reaches_all_entry_hosts_through_the_platform_watch(site: OwnershipSite) -> None:
    change_slots(site, site.live_hosts[0], 11)
    assert convergence_time_ms(site, 11) < 500


def test_entry_hosts_without_platform_access_get_the_change_from_peers(site: OwnershipSite) -> None:
    for host in site.live_hosts[1:]:
        site.network.disconnect(host.name, PLATFORM)
    change_slots(site, site.live_hosts[0], 12)
    assert convergence_time_ms(site, 12) <= MAX_RELAY_MS


def test_change_reaches_peers_during_an_outage_after_the_write(site: OwnershipSite) -> None:
    first = site.live_hosts[0]
    for host in site.live_hosts[1:]:
        site.network.disconnect(host.name, PLATFORM)
    change_slots(site, first, 13)
    site.network.is_platform_down = True
    site.network.reconnect_all()
    assert convergence_time_ms(site, 13) <= MAX_RELAY_MS


def test_entry_host_started_during_an_outage_gets_the_configuration_from_seeds(
    site: OwnershipSite,
) -> None:
    change_slots(site, site.live_hosts[0], 14)
    convergence_time_ms(site, 14)
    site.network.is_platform_down = True
    site.hosts[next(iter(site.hosts))].reactor.kill()
    fresh = site.start_host(0)
    assert not fresh.configuration.is_known
    assert convergence_time_ms(site, 14) <= MAX_RELAY_MS
    assert fresh.configuration.is_known


def test_stale_platform_read_is_corrected_through_heartbeats(site: OwnershipSite) -> None:
    change_slots(site, site.live_hosts[0], 15)
    convergence_time_ms(site, 15)
    replica = site.store.snapshot()
    change_slots(site, site.live_hosts[0], 16)
    convergence_time_ms(site, 16)
    site.hosts[next(iter(site.hosts))].reactor.kill()
    fresh = site.start_host(0)
    fresh.platform.read_from_replica(replica)
    assert convergence_time_ms(site, 16) <= MAX_RELAY_MS


def test_entry_host_gets_the_change_after_a_pause(site: OwnershipSite) -> None:
    paused = site.live_hosts[1]
    paused.reactor.suspend()
    change_slots(site, site.live_hosts[0], 17)
    site.run_for(20_000)
    paused.reactor.resume()
    assert convergence_time_ms(site, 17) <= MAX_RELAY_MS


def test_disconnected_entry_host_is_outdated_without_the_relay(
    site: OwnershipSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fetch_nothing(self: object, peer: object, heartbeat: object) -> None:
        """Fetches nothing."""

    monkeypatch.setattr(ConfigurationRelay, "fetch_if_newer", fetch_nothing)
    site.network.disconnect(site.live_hosts[1].name, PLATFORM)
    change_slots(site, site.live_hosts[0], 18)
    with pytest.raises(AssertionError):
        convergence_time_ms(site, 18)
