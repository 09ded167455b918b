"""Exchanges heartbeats with the other entry hosts and maintains the connections to them."""

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
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep

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
PRIMARY_MAX_SILENCE_MS = 700
"""After this silence the peer whose name sorts first sends a heartbeat."""

SECONDARY_MAX_SILENCE_MS = 1_500
"""After this silence the other peer of the pair sends a heartbeat."""


class PeerState(msgspec.Struct):
    """The last heartbeat of a peer and the time at which it arrived."""

    received_at_ms: int
    heartbeat: Heartbeat


class PeerMonitor:
    """Exchanges heartbeats with every member about once a second, and stores the latest ones."""

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
        """The last heartbeat received from each peer."""
        return dict(self._peers)

    def has_heartbeat_within(self, peer: EntryHostName, within_ms: int) -> bool:
        """Whether a heartbeat from ``peer`` arrived within the last ``within_ms`` milliseconds."""
        state = self._peers.get(peer)
        return state is not None and self._clock.now_ms - state.received_at_ms <= within_ms

    def listen(self, listener: Callable[[Member, Heartbeat], object]) -> None:
        """Calls ``listener`` with each heartbeat from a peer whose address is known."""
        self._listeners.append(listener)

    def stop(self) -> None:
        """Stops sending heartbeats."""
        self._running = False

    async def run(self) -> None:
        """Sends heartbeats until stopped."""
        while self._running:
            peers = self._known_peers()
            self._mesh.connect(peers)
            for peer in peers:
                if not self.has_heartbeat_within(peer.name, self._max_silence_ms(peer)):
                    run_in_background(self._exchange_heartbeats(peer))
            await sleep(self._reactor, HEARTBEAT_INTERVAL_MS)

    def _max_silence_ms(self, peer: Member) -> int:
        # One exchange informs both peers. Of each pair, the peer whose name sorts first sends the
        # heartbeat; the other one sends only if it has received none for longer than that.
        own = self._membership.member.name
        return PRIMARY_MAX_SILENCE_MS if own < peer.name else SECONDARY_MAX_SILENCE_MS

    async def _exchange_heartbeats(self, peer: Member) -> None:
        result = await self._mesh.request(peer, self._own_heartbeat(), HEARTBEAT_TIMEOUT_MS)
        if isinstance(result, Ok) and isinstance(result.ok_value, HeartbeatAnswer):
            self._record_heartbeat(peer.name, result.ok_value.heartbeat, peer)

    async def _on_heartbeat(self, sender: EntryHostName, heartbeat: Heartbeat) -> Message:
        peer = next((peer for peer in self._known_peers() if peer.name == sender), None)
        self._record_heartbeat(sender, heartbeat, peer)
        return HeartbeatAnswer(self._own_heartbeat())

    def _record_heartbeat(
        self, sender: EntryHostName, heartbeat: Heartbeat, peer: Member | None
    ) -> None:
        self._peers[sender] = PeerState(self._clock.now_ms, heartbeat)
        if peer is not None:
            for listener in self._listeners:
                listener(peer, heartbeat)

    def _known_peers(self) -> list[Member]:
        # Includes members of the ownership record whose registration expired in an outage. Seeds
        # are contacted only while no member is known, as after a start during an outage.
        own = self._membership.member
        known = {member.name: member for member in self._membership.record.members}
        known.update({member.name: member for member in self._membership.members})
        known.pop(own.name, None)
        if not known:
            addresses = [each for each in self._seeds if each != own.mesh_address]
            return [_seed_member(address) for address in addresses]
        return list(known.values())

    def _own_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._membership.record.epoch,
            self._cache.version(CONFIGURATION_KEY),
            self._cache.is_connected,
            self._membership.member.draining,
        )


def _seed_member(address: str) -> Member:
    return Member(EntryHostName(address), Incarnation(""), ZoneName(""), "", address)
