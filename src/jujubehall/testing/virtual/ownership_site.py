"""Membership and ownership alone, of several entry hosts under virtual time, with invariants."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import msgspec

from result import Err

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import reactor_clock
from jujubehall.core.ownership.record import EMPTY_RECORD
from jujubehall.core.ownership.record import MEMBERS_PREFIX
from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.ownership.record import Member
from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.core.ownership.scopes import all_scopes
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import ZoneName
from jujubehall.services.configuration_relay import ConfigurationRelay
from jujubehall.services.configuration_service import ConfigurationService
from jujubehall.services.membership import Membership
from jujubehall.services.peer_monitor import PeerMonitor
from jujubehall.services.state_cache import StateCache
from jujubehall.services.timing import start
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.virtual.host_reactor import HostReactor
from jujubehall.testing.virtual.mesh import VirtualMesh
from jujubehall.testing.virtual.network import Network
from jujubehall.testing.virtual.platform import VirtualPlatform
from jujubehall.testing.virtual.virtual_time import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.identifiers import Epoch

ZONES = [ZoneName("zone-a"), ZoneName("zone-b"), ZoneName("zone-c")]
STEP_MS = 50
HAND_OVER_TIMEOUT_MS = 5_000


class OwnershipHost:
    """The control services of one started entry host."""

    def __init__(self, site: OwnershipSite, number: int) -> None:
        self.name = EntryHostName(f"entry-{number}")
        self.reactor = HostReactor(site.time)
        incarnation = Incarnation(f"{site.random.getrandbits(64):016x}")
        self.member = Member(
            self.name,
            incarnation,
            ZONES[number % len(ZONES)],
            f"http://{self.name}",
            f"tcp://{self.name}",
            started_unix_ms=site.now_ms,
        )
        self.platform = VirtualPlatform(self.reactor, site.network, self.name, site.store, list)
        mesh = VirtualMesh(self.reactor, site.network, self.member, site.switchboard)
        self.cache = StateCache(self.reactor, self.platform, Random(site.random.random()))
        self.membership = Membership(
            self.reactor,
            self.platform,
            self.cache,
            self.member,
            lambda: ZONES,
            Random(site.random.random()),
        )
        self.configuration = ConfigurationService(self.platform, self.cache)
        seeds = [f"tcp://entry-{each}" for each in range(site.size)]
        clock = reactor_clock(self.reactor)
        self.peers = PeerMonitor(self.reactor, clock, mesh, self.membership, self.cache, seeds)
        self.membership.follow_peers(self.peers.has_heard)
        relay = ConfigurationRelay(mesh, self.cache)
        self.peers.listen(lambda peer, heartbeat: start(relay.compare(peer, heartbeat)))
        self.is_stopped = False
        self.last_epoch = 0
        for service in (self.cache, self.membership, self.peers):
            start(service.run())

    @property
    def is_live(self) -> bool:
        """Whether the process runs as a member, or could be one again by itself."""
        ended = self.reactor.is_killed or self.is_stopped or self.membership.is_replaced
        return not ended

    async def stop(self) -> None:
        """Stops in the planned way."""
        await self.membership.drain()
        await self.membership.hand_over(HAND_OVER_TIMEOUT_MS)
        self.peers.stop()
        await self.membership.leave()
        self.cache.stop()
        self.is_stopped = True


class OwnershipSite:
    """Starts, stops and disturbs entry hosts; checks the invariants of ownership at each step."""

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.random = Random(seed)
        self.time = VirtualTime()
        self.network = Network(Random(self.random.random()))
        self.store = KeyValueStore(reactor_clock(self.time))
        self.switchboard: dict[str, VirtualMesh] = {}
        self.hosts: dict[EntryHostName, OwnershipHost] = {}
        self.earlier: list[OwnershipHost] = []
        """Incarnations whose names others have taken; they may still run or be paused."""
        self._records: dict[Epoch, OwnershipRecord] = {}
        self._stored_epoch = 0
        for number in range(size):
            self.start_host(number)

    @property
    def now_ms(self) -> int:
        """Milliseconds of virtual time."""
        return round(self.time.seconds() * MS_PER_SECOND)

    @property
    def live(self) -> list[OwnershipHost]:
        """The entry hosts that run."""
        return [host for host in self.hosts.values() if host.is_live]

    @property
    def record(self) -> OwnershipRecord:
        """The record in the platform."""
        found = self.store.get(OWNERSHIP_KEY)
        if isinstance(found, Err):
            return EMPTY_RECORD
        return msgspec.convert(found.ok_value.value, OwnershipRecord)

    def start_host(self, number: int) -> OwnershipHost:
        """Starts an entry host; the incarnation that had its name, if any, is left as it is."""
        host = OwnershipHost(self, number)
        if host.name in self.hosts:
            self.earlier.append(self.hosts[host.name])
        self.hosts[host.name] = host
        return host

    def run_for(self, duration_ms: int) -> None:
        """Lets virtual time pass, checking the invariants."""
        for _ in range(duration_ms // STEP_MS):
            self._advance(STEP_MS)
            self.check()

    def run_until(self, condition: Callable[[], bool], timeout_ms: int) -> int:
        """Lets virtual time pass until ``condition`` holds; returns how long that took."""
        begun_ms = self.now_ms
        while not condition():
            assert self.now_ms - begun_ms < timeout_ms, f"not met within {timeout_ms} ms"
            self.run_for(STEP_MS)
        return self.now_ms - begun_ms

    def is_settled(self) -> bool:
        """Whether all live hosts are registered, share one record and own every scope."""
        record = self.record
        live = {host.member.incarnation for host in self.live}
        registered = self.store.list_entries(MEMBERS_PREFIX).entries
        return (
            {entry.value["incarnation"] for entry in registered} == live
            and {member.incarnation for member in record.members} == live
            and set(record.owners) == set(all_scopes(ZONES))
            and all(host.membership.record == record for host in self.live)
        )

    def check(self) -> None:
        """Asserts that epochs never fall and that each has one record, wherever it is known."""
        record = self.record
        assert record.epoch >= self._stored_epoch, "the epoch in the platform fell"
        self._stored_epoch = record.epoch
        self._check_record(record)
        for host in (*self.hosts.values(), *self.earlier):
            known = host.membership.record
            assert known.epoch >= host.last_epoch, "the epoch fell at an entry host"
            host.last_epoch = known.epoch
            self._check_record(known)

    def _check_record(self, record: OwnershipRecord) -> None:
        known = self._records.setdefault(record.epoch, record)
        assert known is record or known == record, "two records of one epoch"
        before = self._records.get(record.epoch - 1)  # type: ignore[call-overload]
        if before is None or known is not record:
            return
        for scope, since in record.owned_since.items():
            old = before.owner_of(scope)
            new = record.owner_of(scope)
            assert new is not None, "a scope without an owner"
            kept = old is not None and old.incarnation == new.incarnation
            expected = before.owned_since[scope] if kept else record.epoch
            assert since == expected, "the fencing token doesn't follow the owner"

    def _advance(self, duration_ms: int) -> None:
        end_s = self.time.seconds() + duration_ms / MS_PER_SECOND
        while self.time.calls and self.time.calls[0].getTime() <= end_s:
            self.time.advance(max(0.0, self.time.calls[0].getTime() - self.time.seconds()))
        self.time.advance(max(0.0, end_s - self.time.seconds()))
