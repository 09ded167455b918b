"""Heartbeats between entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from jujubehall.services.peer_monitor import HEARTBEAT_INTERVAL_MS
from jujubehall.testing.virtual.mesh import VirtualMesh
from jujubehall.testing.virtual.ownership_site import OwnershipSite

if TYPE_CHECKING:
    import pytest

SIZE = 6
SECONDS = 20
SETTLE_MS = 25_000
LATE_MS = 2 * HEARTBEAT_INTERVAL_MS


def settled_site() -> OwnershipSite:
    site = OwnershipSite(SIZE, 1)
    site.run_until(site.is_settled, SETTLE_MS)
    site.run_for(3_000)
    return site


def all_heard(site: OwnershipSite, within_ms: int) -> bool:
    names = [host.name for host in site.live]
    return all(
        host.peers.has_heard(name, within_ms)
        for host in site.live
        for name in names
        if name != host.name
    )


def test_each_pair_exchanges_about_one_heartbeat_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = settled_site()
    asked: list[str] = []
    original = VirtualMesh.ask

    async def ask(self: Any, member: Any, message: Any, timeout_ms: int) -> Any:
        asked.append(member.name)
        return await original(self, member, message, timeout_ms)

    monkeypatch.setattr(VirtualMesh, "ask", ask)
    for _ in range(SECONDS):
        site.run_for(1_000)
        assert all_heard(site, LATE_MS)
    pairs = SIZE * (SIZE - 1) // 2
    assert len(asked) <= 1.3 * pairs * SECONDS


def test_a_silent_peer_is_noticed_and_heard_again() -> None:
    site = settled_site()
    silent = site.live[2]
    silent.reactor.freeze()
    site.run_for(LATE_MS)
    others = [host for host in site.live if host is not silent]
    assert not any(host.peers.has_heard(silent.name, LATE_MS // 2) for host in others)
    silent.reactor.thaw()
    site.run_for(LATE_MS)
    assert all_heard(site, LATE_MS)
