"""Simulates the control services of entry hosts and checks the ownership invariants."""

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
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.configuration_relay import ConfigurationRelay
from jujubehall.services.configuration_service import ConfigurationService
from jujubehall.services.membership import Membership
from jujubehall.services.peer_monitor import PeerMonitor
from jujubehall.services.state_cache import StateCache
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
CHECK_INTERVAL_MS = 50
HAND_OVER_TIMEOUT_MS = 5_000


class OwnershipHost:
    """One incarnation of an entry host that runs only the control services.

    These are membership, which also assigns ownership, the peer monitor and configuration.
    """

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
        mesh = VirtualMesh(self.reactor, site.network, self.member, site.meshes_by_address)
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
        seeds = [f"tcp://entry-{peer_number}" for peer_number in range(site.size)]
        clock = reactor_clock(self.reactor)
        self.peers = PeerMonitor(self.reactor, clock, mesh, self.membership, self.cache, seeds)
        self.membership.set_heartbeat_check(self.peers.has_heartbeat_within)
        relay = ConfigurationRelay(mesh, self.cache)
        self.peers.listen(
            lambda peer, heartbeat: run_in_background(relay.fetch_if_newer(peer, heartbeat))
        )
        self.is_stopped = False
        self.last_epoch = 0
        for service in (self.cache, self.membership, self.peers):
            run_in_background(service.run())

    @property
    def is_live(self) -> bool:
        """Whether the process is a member or can become one again without a restart."""
        ended = self.reactor.is_killed or self.is_stopped or self.membership.is_replaced
        return not ended

    async def stop(self) -> None:
        """Shuts down gracefully: drains, hands its scopes over and deregisters the host."""
        await self.membership.drain()
        await self.membership.wait_for_hand_over(HAND_OVER_TIMEOUT_MS)
        self.peers.stop()
        await self.membership.deregister()
        self.cache.stop()
        self.is_stopped = True


class OwnershipSite:
    """Runs ``OwnershipHost`` processes and checks the ownership invariants while time advances."""

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.random = Random(seed)
        self.time = VirtualTime()
        self.network = Network(Random(self.random.random()))
        self.store = KeyValueStore(reactor_clock(self.time))
        self.meshes_by_address: dict[str, VirtualMesh] = {}
        self.hosts: dict[EntryHostName, OwnershipHost] = {}
        self.replaced_hosts: list[OwnershipHost] = []
        """Incarnations replaced by one of the same name; they may still run or be suspended."""
        self._records_by_epoch: dict[Epoch, OwnershipRecord] = {}
        self._last_stored_epoch = 0
        for number in range(size):
            self.start_host(number)

    @property
    def now_ms(self) -> int:
        """The virtual time in milliseconds."""
        return round(self.time.seconds() * MS_PER_SECOND)

    @property
    def live_hosts(self) -> list[OwnershipHost]:
        """The live hosts among the latest incarnations."""
        return [host for host in self.hosts.values() if host.is_live]

    @property
    def record(self) -> OwnershipRecord:
        """The ownership record stored in the platform."""
        stored = self.store.get(OWNERSHIP_KEY)
        if isinstance(stored, Err):
            return EMPTY_RECORD
        return msgspec.convert(stored.ok_value.value, OwnershipRecord)

    def start_host(self, number: int) -> OwnershipHost:
        """Starts an entry host; an earlier incarnation of the same name is not stopped."""
        host = OwnershipHost(self, number)
        if host.name in self.hosts:
            self.replaced_hosts.append(self.hosts[host.name])
        self.hosts[host.name] = host
        return host

    def run_for(self, duration_ms: int) -> None:
        """Advances virtual time and checks the invariants after every ``CHECK_INTERVAL_MS``."""
        for _ in range(duration_ms // CHECK_INTERVAL_MS):
            self._advance_time(CHECK_INTERVAL_MS)
            self.check_invariants()

    def run_until(self, condition: Callable[[], bool], timeout_ms: int) -> int:
        """Advances virtual time until ``condition`` is true; returns the elapsed milliseconds."""
        started_ms = self.now_ms
        while not condition():
            assert (
                self.now_ms - started_ms < timeout_ms
            ), f"condition not met within {timeout_ms} ms"
            self.run_for(CHECK_INTERVAL_MS)
        return self.now_ms - started_ms

    def has_converged(self) -> bool:
        """Returns whether ownership has converged.

        All live hosts and no others are registered and members of the stored record, the record
        assigns every scope, and all live hosts know this record.
        """
        record = self.record
        live = {host.member.incarnation for host in self.live_hosts}
        registered = self.store.list_entries(MEMBERS_PREFIX).entries
        return (
            {entry.value["incarnation"] for entry in registered} == live
            and {member.incarnation for member in record.members} == live
            and set(record.owners) == set(all_scopes(ZONES))
            and all(host.membership.record == record for host in self.live_hosts)
        )

    def check_invariants(self) -> None:
        """Asserts the ownership invariants.

        The epoch never decreases in the platform or at a host, all copies of the record of an epoch
        are equal, and a scope's fencing token changes exactly when its owner does.
        """
        record = self.record
        assert record.epoch >= self._last_stored_epoch, "the stored epoch decreased"
        self._last_stored_epoch = record.epoch
        self._check_record(record)
        for host in (*self.hosts.values(), *self.replaced_hosts):
            local_record = host.membership.record
            assert local_record.epoch >= host.last_epoch, "the epoch of an entry host decreased"
            host.last_epoch = local_record.epoch
            self._check_record(local_record)

    def _check_record(self, record: OwnershipRecord) -> None:
        first_seen = self._records_by_epoch.setdefault(record.epoch, record)
        assert (
            first_seen is record or first_seen == record
        ), "two different records have the same epoch"
        previous = self._records_by_epoch.get(record.epoch - 1)  # type: ignore[call-overload]
        if previous is None or first_seen is not record:
            return
        for scope, fencing_token in record.owned_since.items():
            old_owner = previous.owner_of(scope)
            new_owner = record.owner_of(scope)
            assert new_owner is not None, "a scope has no owner"
            is_kept = old_owner is not None and old_owner.incarnation == new_owner.incarnation
            expected_token = previous.owned_since[scope] if is_kept else record.epoch
            assert fencing_token == expected_token, "the fencing token doesn't match the owner"

    def _advance_time(self, duration_ms: int) -> None:
        end_s = self.time.seconds() + duration_ms / MS_PER_SECOND
        while self.time.calls and self.time.calls[0].getTime() <= end_s:
            self.time.advance(max(0.0, self.time.calls[0].getTime() - self.time.seconds()))
        self.time.advance(max(0.0, end_s - self.time.seconds()))
