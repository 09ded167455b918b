"""Rate of heartbeats between entry hosts, and detection of silent peers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from jujubehall.services.peer_monitor import HEARTBEAT_INTERVAL_MS
from jujubehall.testing.virtual.mesh import VirtualMesh
from jujubehall.testing.virtual.ownership_site import OwnershipSite

if TYPE_CHECKING:
    import pytest

ENTRY_HOST_COUNT = 6
DURATION_S = 20
STARTUP_TIMEOUT_MS = 25_000
MAX_HEARTBEAT_AGE_MS = 2 * HEARTBEAT_INTERVAL_MS


def settled_site() -> OwnershipSite:
    site = OwnershipSite(ENTRY_HOST_COUNT, 1)
    site.run_until(site.has_converged, STARTUP_TIMEOUT_MS)
    site.run_for(3_000)
    return site


def all_heartbeats_received(site: OwnershipSite, within_ms: int) -> bool:
    names = [host.name for host in site.live_hosts]
    return all(
        host.peers.has_heartbeat_within(name, within_ms)
        for host in site.live_hosts
        for name in names
        if name != host.name
    )


def test_each_pair_of_entry_hosts_exchanges_about_one_heartbeat_per_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = settled_site()
    recipients: list[str] = []
    original = VirtualMesh.request

    async def record_request(self: Any, member: Any, message: Any, timeout_ms: int) -> Any:
        recipients.append(member.name)
        return await original(self, member, message, timeout_ms)

    monkeypatch.setattr(VirtualMesh, "request", record_request)
    for _ in range(DURATION_S):
        site.run_for(1_000)
        assert all_heartbeats_received(site, MAX_HEARTBEAT_AGE_MS)
    pairs = ENTRY_HOST_COUNT * (ENTRY_HOST_COUNT - 1) // 2
    assert len(recipients) <= 1.3 * pairs * DURATION_S


def test_heartbeats_of_a_suspended_peer_stop_and_resume() -> None:
    site = settled_site()
    silent = site.live_hosts[2]
    silent.reactor.suspend()
    site.run_for(MAX_HEARTBEAT_AGE_MS)
    others = [host for host in site.live_hosts if host is not silent]
    assert not any(
        host.peers.has_heartbeat_within(silent.name, MAX_HEARTBEAT_AGE_MS // 2) for host in others
    )
    silent.reactor.resume()
    site.run_for(MAX_HEARTBEAT_AGE_MS)
    assert all_heartbeats_received(site, MAX_HEARTBEAT_AGE_MS)
