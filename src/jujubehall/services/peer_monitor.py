"""Exchanges heartbeats with the other entry hosts and keeps the connections to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from result import Ok

from jujubehall.core.configuration.document import CONFIGURATION_KEY
from jujubehall.entry_hosts.messages import Heartbeat
from jujubehall.entry_hosts.messages import HeartbeatAnswer
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import Member
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.services.membership import Membership
    from jujubehall.services.state_cache import StateCache

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 2_000

log = structlog.get_logger()


class PeerState(msgspec.Struct):
    """When a peer was last heard and what it said."""

    heard_at_ms: int
    heartbeat: Heartbeat


class PeerMonitor:
    """Sends a heartbeat to every member each second, and remembers theirs."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        mesh: Mesh,
        membership: Membership,
        cache: StateCache,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._cache = cache
        self._peers: dict[EntryHostName, PeerState] = {}
        self._running = True
        mesh.register(Heartbeat, self._on_heartbeat)

    @property
    def peers(self) -> dict[EntryHostName, PeerState]:
        """What was last heard from each peer."""
        return dict(self._peers)

    def stop(self) -> None:
        """Ends the heartbeats."""
        self._running = False

    async def run(self) -> None:
        """Sends heartbeats until stopped."""
        while self._running:
            own = self._membership.member.name
            peers = [member for member in self._membership.members if member.name != own]
            self._mesh.connect(peers)
            for peer in peers:
                start(self._exchange(peer))
            await sleep(self._reactor, HEARTBEAT_INTERVAL_MS)

    async def _exchange(self, peer: Member) -> None:
        answered = await self._mesh.ask(peer, self._heartbeat(), HEARTBEAT_TIMEOUT_MS)
        if isinstance(answered, Ok) and isinstance(answered.ok_value, HeartbeatAnswer):
            self._hear(peer.name, answered.ok_value.heartbeat)

    async def _on_heartbeat(self, sender: EntryHostName, heartbeat: Heartbeat) -> Message:
        self._hear(sender, heartbeat)
        return HeartbeatAnswer(self._heartbeat())

    def _hear(self, sender: EntryHostName, heartbeat: Heartbeat) -> None:
        self._peers[sender] = PeerState(self._clock.now_ms, heartbeat)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._membership.record.epoch,
            self._cache.version(CONFIGURATION_KEY),
            self._cache.is_connected,
            self._membership.member.draining,
        )
