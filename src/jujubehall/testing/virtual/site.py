"""Simulated site: entry hosts, endpoints, workers and the platform on one virtual clock."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import reactor_clock
from jujubehall.clock import to_seconds
from jujubehall.core.ownership.record import Member
from jujubehall.daemon.entry_host import EntryHost
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.services.async_utils import run_in_background
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.virtual.endpoints import VirtualEndpoint
from jujubehall.testing.virtual.endpoints import VirtualEndpoints
from jujubehall.testing.virtual.host_reactor import HostReactor
from jujubehall.testing.virtual.mesh import VirtualMesh
from jujubehall.testing.virtual.network import Network
from jujubehall.testing.virtual.platform import VirtualPlatform
from jujubehall.testing.virtual.virtual_time import VirtualTime
from jujubehall.testing.virtual.workers import VirtualWorkers
from jujubehall.testing.worker_state import WorkerBehaviour
from jujubehall.testing.worker_state import WorkerState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from jujubehall.platform.host import Host
    from jujubehall.testing.site_file import SiteFile


LEASE_CHECK_INTERVAL_MS = 100


class VirtualEntryHost:
    """One incarnation of an entry host, with its reactor and its platform client."""

    def __init__(self, host: EntryHost, reactor: HostReactor, platform: VirtualPlatform) -> None:
        self.entry_host = host
        self.reactor = reactor
        self.platform = platform

    @property
    def name(self) -> EntryHostName:
        """The entry host's name."""
        return self.entry_host.membership.member.name


class VirtualSite:
    """Runs the real entry host code with simulated external services.

    All randomness is derived from ``seed``. ``listed_hosts`` is the host list of the platform.
    """

    def __init__(self, site: SiteFile, seed: int) -> None:
        self.random = Random(seed)
        self.time = VirtualTime()
        self.clock = reactor_clock(self.time)
        self.network = Network(Random(self.random.random()))
        self.store = KeyValueStore(self.clock)
        self.endpoints = {host.name: VirtualEndpoint(host.name) for host in site.endpoint_hosts()}
        self.workers = {host.name: self._make_worker(site, host) for host in site.worker_hosts()}
        self.listed_hosts = [
            *(msgspec.structs.replace(host, address=host.name) for host in site.worker_hosts()),
            *site.endpoint_hosts(),
        ]
        self.hosts: dict[EntryHostName, VirtualEntryHost] = {}
        self._site = site
        self._meshes_by_address: dict[str, VirtualMesh] = {}
        self._expire_leases()
        for number in range(site.entry_hosts):
            self.start_host(number)

    def start_host(self, number: int) -> VirtualEntryHost:
        """Starts an entry host, or a new incarnation of it if it was killed."""
        name = EntryHostName(f"entry-{number}")
        incarnation = Incarnation(f"{self.random.getrandbits(64):016x}")
        zone = ZoneName(self._site.zone(number))
        member = Member(
            name,
            incarnation,
            zone,
            f"http://{name}",
            f"tcp://{name}",
            started_unix_ms=self.clock.now_ms,
        )
        reactor = HostReactor(self.time)
        platform = VirtualPlatform(
            reactor, self.network, name, self.store, lambda: self.listed_hosts
        )
        host = EntryHost(
            reactor,
            reactor_clock(reactor),
            member,
            platform,
            VirtualMesh(reactor, self.network, member, self._meshes_by_address),
            VirtualEndpoints(reactor, self.time, self.network, name, self.endpoints),
            VirtualWorkers(reactor, self.network, name, self.workers),
            Random(self.random.random()),
            [f"tcp://entry-{peer_number}" for peer_number in range(self._site.entry_hosts)],
        )
        self.hosts[name] = VirtualEntryHost(host, reactor, platform)
        host.start()
        return self.hosts[name]

    def run_for(self, duration_ms: int) -> None:
        """Advances virtual time."""
        end_s = self.time.seconds() + duration_ms / MS_PER_SECOND
        while self.time.calls and self.time.calls[0].getTime() <= end_s:
            self.time.advance(max(0.0, self.time.calls[0].getTime() - self.time.seconds()))
        self.time.advance(max(0.0, end_s - self.time.seconds()))

    def run_until(self, condition: Callable[[], bool], timeout_ms: int = 60_000) -> None:
        """Advances virtual time until ``condition`` is true; fails after ``timeout_ms``."""
        deadline_ms = self.clock.now_ms + timeout_ms
        while not condition():
            assert self.clock.now_ms < deadline_ms, f"condition not met within {timeout_ms} ms"
            self.run_for(10)

    def run_coroutine(self, coroutine: Coroutine[Any, Any, Any], timeout_ms: int = 60_000) -> Any:
        """Advances virtual time until a coroutine completes and returns its result."""
        results: list[Any] = []
        run_in_background(coroutine).addCallback(results.append)
        self.run_until(lambda: bool(results), timeout_ms)
        return results[0]

    def _expire_leases(self) -> None:
        self.store.expire_leases()
        self.time.callLater(to_seconds(LEASE_CHECK_INTERVAL_MS), self._expire_leases)

    def _make_worker(self, site: SiteFile, host: Host) -> WorkerState:
        return WorkerState(
            self.clock,
            WorkerName(host.name),
            ZoneName(host.zone),
            RackName(host.rack),
            site.worker_capacity,
            WorkerBehaviour(),
        )
