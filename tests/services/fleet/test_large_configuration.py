"""A large configuration reaches all entry hosts without filling the link of the owner."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from jujubehall.entry_hosts.messages import SiteConfigurationOffered
from jujubehall.entry_hosts.messages import SiteConfigurationWanted
from jujubehall.platform.site_store import Write
from jujubehall.services.fleet.peer_request_handlers import MAX_OFFERED_BYTES
from jujubehall.testing.virtual.fleet.site import CONFIGURATION_KEY
from jujubehall.testing.virtual.fleet.store import StoreFaultMode
from tests.core.fleet.small_site import CONFIGURATION

if TYPE_CHECKING:
    import pytest

    from jujubehall.testing.virtual.fleet.site import VirtualFleet

LARGE = msgspec.structs.replace(CONFIGURATION, version=2)


def configure_large(site: VirtualFleet) -> None:
    """Writes a configuration of a large size; the virtual site reads only its version."""
    site.configurations[LARGE.version] = LARGE
    content = f"{LARGE.version}{' ' * 2 * MAX_OFFERED_BYTES}".encode()
    site.store.commit([], [Write(CONFIGURATION_KEY, content)], [])


def record_offers(site: VirtualFleet, monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Records the size of each configuration that an entry host sends to another one."""
    sizes: list[int] = []
    for mesh in site.meshes.values():
        handlers: dict[Any, Any] = mesh._handlers
        handle: Any = handlers[SiteConfigurationWanted]

        async def handle_and_record(sender: Any, request: Any, handle: Any = handle) -> Any:
            response = await handle(sender, request)
            if isinstance(response, SiteConfigurationOffered):
                sizes.append(len(response.content))
            return response

        monkeypatch.setitem(handlers, SiteConfigurationWanted, handle_and_record)
    return sizes


def has_latest_everywhere(site: VirtualFleet) -> bool:
    return all(host.site_host.configuration.version == LARGE.version for host in site.hosts)


def test_owner_does_not_send_a_large_configuration_to_hosts_that_reach_the_store(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    sizes = record_offers(site, monkeypatch)
    configure_large(site)
    assert site.run_until(lambda: has_latest_everywhere(site), 2.0)
    site.run(2.0)
    assert max(sizes, default=0) <= MAX_OFFERED_BYTES


def test_host_without_the_store_gets_a_large_configuration_from_the_owner(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    sizes = record_offers(site, monkeypatch)
    cut_off = next(host for host in site.hosts if host is not site.owner)
    cut_off.store.fault_mode = StoreFaultMode.CONNECTION_REFUSED
    configure_large(site)
    assert site.run_until(lambda: has_latest_everywhere(site), 3.0)
    assert sum(size > MAX_OFFERED_BYTES for size in sizes) == 1


def test_owner_is_asked_once_for_each_announced_version_while_the_answer_is_under_way(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    sizes = record_offers(site, monkeypatch)
    site.network.message_delays_ms[SiteConfigurationWanted] = 350
    configure_large(site)
    assert site.run_until(lambda: has_latest_everywhere(site), 3.0)
    others = len(site.hosts) - 1
    assert len(sizes) <= 3 * others
