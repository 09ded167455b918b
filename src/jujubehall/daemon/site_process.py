"""The process of an entry host on the operators' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import structlog
import zmq

from twisted.internet import reactor as _reactor
from twisted.internet.error import CannotListenError
from twisted.web.server import Site

from jujubehall.clock import suspend_aware_clock
from jujubehall.clock import unix_time_ms
from jujubehall.core.ownership.record import Member
from jujubehall.daemon.site_logs import configure_site_logs
from jujubehall.entry_hosts.zmq_mesh import ZmqMesh
from jujubehall.http.limits import HttpLimits
from jujubehall.http.site import LimitedSite
from jujubehall.identifiers import Incarnation
from jujubehall.platform.adapter.directory import StoreDirectory
from jujubehall.platform.adapter.front import FrontResource
from jujubehall.platform.adapter.front import ReadinessResource
from jujubehall.platform.adapter.store import StoreClient
from jujubehall.platform.adapter.workers import WorkerOrders
from jujubehall.platform.site_store import NO_LEASE
from jujubehall.platform.site_store import Write
from jujubehall.services.fleet.admission import Admission
from jujubehall.services.fleet.configuration_follower import ConfigurationFollower
from jujubehall.services.fleet.job_records import JobRecords
from jujubehall.services.fleet.latencies import Latencies
from jujubehall.services.fleet.ownership import Ownership
from jujubehall.services.fleet.peers import Peers
from jujubehall.services.fleet.records import host_key
from jujubehall.services.fleet.site_owner import OwnerBounds
from jujubehall.services.fleet.site_owner import SiteOwner
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from random import Random

    from jujubehall.platform.adapter.settings import SiteSettings
    from jujubehall.services.fleet.ownership import Term

INCARNATION_BITS = 64
STOP_CHECK_INTERVAL_MS = 50
LEAVE_ROTATION_MS = 2_500
"""The balancer checks each second and takes an entry host out after two misses."""

EXIT_MARGIN_MS = 1_500
"""Kept from the time between SIGTERM and SIGKILL."""

ANNOUNCE_RETRY_MS = 300
ANNOUNCE_TIMEOUT_MS = 1_000
KEY_AGE_SHARE = 0.8
"""An entry host that has not known its keys to be current for this share of the time in which a
revoked key must go out of use refuses calls; the rest is for the calls under way."""

reactor: Any = _reactor
log = structlog.get_logger()


class SiteProcess:
    """Wires the services of one entry host and stops them in order."""

    def __init__(
        self, settings: SiteSettings, mesh: ZmqMesh, member: Member, random: Random
    ) -> None:
        self._settings = settings
        self._mesh = mesh
        self._member = member
        self._clock = suspend_aware_clock()
        self._store = StoreClient(reactor, settings.store.address)
        self._directory = StoreDirectory(self._store)
        self._workers = WorkerOrders(reactor)
        self._configuration = ConfigurationFollower(reactor, self._clock, self._directory)
        records = JobRecords(self._clock, self._store)
        self._peers = Peers(
            reactor, self._clock, mesh, member, self._store, self._configuration, records
        )
        self._ownership = Ownership(reactor, self._clock, self._store, member, random)
        self._ownership.on_change(self._begin_term, self._end_term)
        self._peers.attach(self._ownership)
        self._configuration.read_store_while(lambda: self._owner is not None)
        self._configuration.on_change(self._configure)
        bounds = settings.bounds
        longest_age_ms = (
            int(bounds.revoke_ms * KEY_AGE_SHARE) if bounds.is_revocation_strict else None
        )
        self._admission = Admission(
            self._clock,
            self._configuration,
            records,
            self._peers,
            Latencies(),
            longest_age_ms,
        )
        self._owner: SiteOwner | None = None
        self._is_stopping = False
        self._site: LimitedSite
        self._ports: list[Any] = []
        self.stopped_cleanly = False

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send clients here."""
        return not self._is_stopping and self._admission.is_ready

    def listen(self) -> None:
        """Opens the HTTP ports; raises ``CannotListenError`` if one is taken."""
        front = FrontResource(self._admission, lambda: self._is_stopping)
        self._site = LimitedSite(front, HttpLimits(connections=MAX_CLIENT_CONNECTIONS))
        self._listen(self._settings.listen.front, self._site)
        readiness = Site(ReadinessResource(lambda: self.is_ready))
        self._listen(self._settings.listen.readiness, readiness)

    def start(self) -> None:
        """Starts the services."""
        start(self._configuration.run())
        start(self._ownership.run())
        start(self._announce())
        log.info("started", incarnation=self._member.incarnation, zone=self._member.zone)

    def run(self) -> None:
        """Serves until the planned stop is complete."""
        reactor.run(installSignalHandlers=False)

    def begin_stop_soon(self) -> None:
        """Begins the planned stop from a signal handler."""
        reactor.callFromThread(self._begin_stop)

    def note_settings_changed(self) -> None:
        """Notes SIGHUP: nothing that the process has read at its start changes while it lives."""
        reactor.callFromThread(log.info, "settings file changed")

    def _listen(self, address: str, site: Any) -> None:
        if address:
            host, _, port = address.partition(":")
            self._ports.append(reactor.listenTCP(int(port), site, interface=host))

    def _begin_stop(self) -> None:
        if not self._is_stopping:
            self._is_stopping = True
            log.info("stopping", requests=self._site.requests_in_progress)
            start(self._stop())

    async def _stop(self) -> None:
        began_ms = self._clock.now_ms
        start(self._ownership.stop())
        self._site.close_idle()
        grace_ms = int(self._settings.bounds.stop_grace_s * 1_000) - EXIT_MARGIN_MS
        while (elapsed_ms := self._clock.now_ms - began_ms) < grace_ms:
            if elapsed_ms >= LEAVE_ROTATION_MS and not self._site.requests_in_progress:
                break
            await sleep(reactor, STOP_CHECK_INTERVAL_MS)
        self.stopped_cleanly = not self._site.requests_in_progress
        for port in self._ports:
            port.stopListening()
        self._site.close_idle()
        await sleep(reactor, STOP_CHECK_INTERVAL_MS)
        log.info("stopped", clean=self.stopped_cleanly)
        self._mesh.close()
        reactor.stop()

    def _begin_term(self, term: Term) -> None:
        bounds = self._settings.bounds
        owner = SiteOwner(
            reactor,
            self._clock,
            self._store,
            self._directory,
            self._workers,
            self._ownership,
            self._peers,
            term,
            OwnerBounds(bounds.longest_lease_ms, int(bounds.keep_ended_s * 1_000)),
        )
        self._owner = owner
        if self._configuration.current is not None:
            owner.configure(self._configuration.current)
        self._peers.begin_term(owner)
        start(owner.run())

    def _end_term(self, reason: str) -> None:
        if self._owner is not None:
            self._owner.close()
            self._owner = None
        self._peers.end_term()

    def _configure(self, configuration: Any) -> None:
        if self._owner is not None:
            self._owner.configure(configuration)

    async def _announce(self) -> None:
        """Writes this entry host to the store, where the owner finds it."""
        content = msgspec.json.encode(self._member)
        while not self._is_stopping:
            written = await self._store.commit(
                [], [Write(host_key(self._member.name), content, NO_LEASE)], [], ANNOUNCE_TIMEOUT_MS
            )
            if written.is_ok():
                return
            await sleep(reactor, ANNOUNCE_RETRY_MS)


MAX_CLIENT_CONNECTIONS = 2_000
"""Half of the descriptors that the smallest entry hosts may open."""


def start_site_process(settings: SiteSettings, random: Random) -> SiteProcess | str:
    """Binds the addresses and starts the services; returns the reason if an address is taken."""
    configure_site_logs(settings.name)
    incarnation = Incarnation(f"{random.getrandbits(INCARNATION_BITS):016x}")
    member = Member(
        settings.name,
        incarnation,
        settings.zone,
        f"http://{settings.listen.front}",
        f"tcp://{settings.ip}:{settings.port_range[0]}",
        started_unix_ms=unix_time_ms(),
    )
    mesh = ZmqMesh(reactor, settings.name, incarnation)
    try:
        mesh.bind(member.mesh_address)
    except zmq.ZMQError as error:
        return f"{member.mesh_address}: {error}"
    process = SiteProcess(settings, mesh, member, random)
    try:
        process.listen()
    except CannotListenError as error:
        mesh.close()
        return f"{settings.listen.front}: {error.socketError}"
    process.start()
    return process
