"""Exchanges heartbeats with the other entry hosts and keeps the connections to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Ok

from jujubehall.core.configuration.document import CONFIGURATION_KEY
from jujubehall.core.ownership.record import Member
from jujubehall.entry_hosts.messages import Heartbeat
from jujubehall.entry_hosts.messages import HeartbeatAnswer
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import ZoneName
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.services.membership import Membership
    from jujubehall.services.state_cache import StateCache

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 2_000
FIRST_PATIENCE_MS = 700
SECOND_PATIENCE_MS = 1_500


class PeerState(msgspec.Struct):
    """When a peer was last heard and what it said."""

    heard_at_ms: int
    heartbeat: Heartbeat


class PeerMonitor:
    """Exchanges heartbeats with every member each second, and remembers theirs."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        mesh: Mesh,
        membership: Membership,
        cache: StateCache,
        seeds: Sequence[str] = (),
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._cache = cache
        self._seeds = seeds
        self._peers: dict[EntryHostName, PeerState] = {}
        self._listeners: list[Callable[[Member, Heartbeat], object]] = []
        self._running = True
        mesh.register(Heartbeat, self._on_heartbeat)

    @property
    def peers(self) -> dict[EntryHostName, PeerState]:
        """What was last heard from each peer."""
        return dict(self._peers)

    def has_heard(self, peer: EntryHostName, within_ms: int) -> bool:
        """Whether a heartbeat of ``peer`` arrived in the last ``within_ms`` milliseconds."""
        state = self._peers.get(peer)
        return state is not None and self._clock.now_ms - state.heard_at_ms <= within_ms

    def listen(self, listener: Callable[[Member, Heartbeat], object]) -> None:
        """Calls ``listener`` with each heartbeat of a peer whose address is known."""
        self._listeners.append(listener)

    def stop(self) -> None:
        """Ends the heartbeats."""
        self._running = False

    async def run(self) -> None:
        """Sends heartbeats until stopped."""
        while self._running:
            peers = self._known_peers()
            self._mesh.connect(peers)
            for peer in peers:
                if not self.has_heard(peer.name, self._patience_ms(peer)):
                    start(self._exchange(peer))
            await sleep(self._reactor, HEARTBEAT_INTERVAL_MS)

    def _patience_ms(self, peer: Member) -> int:
        # One exchange tells both sides: the first of the two by name asks, the second only if
        # it has heard nothing for longer than the first would have waited.
        own = self._membership.member.name
        return FIRST_PATIENCE_MS if own < peer.name else SECOND_PATIENCE_MS

    async def _exchange(self, peer: Member) -> None:
        answered = await self._mesh.ask(peer, self._heartbeat(), HEARTBEAT_TIMEOUT_MS)
        if isinstance(answered, Ok) and isinstance(answered.ok_value, HeartbeatAnswer):
            self._hear(peer.name, answered.ok_value.heartbeat, peer)

    async def _on_heartbeat(self, sender: EntryHostName, heartbeat: Heartbeat) -> Message:
        peer = next((peer for peer in self._known_peers() if peer.name == sender), None)
        self._hear(sender, heartbeat, peer)
        return HeartbeatAnswer(self._heartbeat())

    def _hear(self, sender: EntryHostName, heartbeat: Heartbeat, peer: Member | None) -> None:
        self._peers[sender] = PeerState(self._clock.now_ms, heartbeat)
        if peer is not None:
            for listener in self._listeners:
                listener(peer, heartbeat)

    def _known_peers(self) -> list[Member]:
        # Members whose registration lapsed in an outage are heard on; seeds are asked while
        # nothing else is known, as after a start during an outage.
        own = self._membership.member
        known = {member.name: member for member in self._membership.record.members}
        known.update({member.name: member for member in self._membership.members})
        known.pop(own.name, None)
        if not known:
            addresses = [each for each in self._seeds if each != own.mesh_address]
            return [_seed(address) for address in addresses]
        return list(known.values())

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._membership.record.epoch,
            self._cache.version(CONFIGURATION_KEY),
            self._cache.is_connected,
            self._membership.member.draining,
        )


def _seed(address: str) -> Member:
    return Member(EntryHostName(address), Incarnation(""), ZoneName(""), "", address)
