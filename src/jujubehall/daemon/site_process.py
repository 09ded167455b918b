"""Process of an entry host on the operators' platform: sockets and graceful shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import structlog
import zmq

from twisted.internet import reactor as _reactor
from twisted.internet.error import CannotListenError
from twisted.web.resource import Resource

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import suspend_aware_clock
from jujubehall.clock import unix_time_ms
from jujubehall.clock import wall_clock
from jujubehall.core.ownership.record import Member
from jujubehall.daemon.site_host import SiteClients
from jujubehall.daemon.site_host import SiteHost
from jujubehall.daemon.site_host import SiteTimeLimits
from jujubehall.daemon.site_logs import configure_site_logs
from jujubehall.daemon.site_metrics import MetricsResource
from jujubehall.entry_hosts.zmq_mesh import ZmqMesh
from jujubehall.http.capacity import make_http_capacity
from jujubehall.http.limits import HttpLimits
from jujubehall.http.server import LimitedSite
from jujubehall.http.server import listen_tcp
from jujubehall.identifiers import Incarnation
from jujubehall.platform.adapter.advice import AdviceClient
from jujubehall.platform.adapter.cloud import CloudClient
from jujubehall.platform.adapter.directory import StoreDirectory
from jujubehall.platform.adapter.job_api import JobApiResource
from jujubehall.platform.adapter.job_api import ReadinessResource
from jujubehall.platform.adapter.placement_api import LOCATE_PATH
from jujubehall.platform.adapter.placement_api import PlacementResource
from jujubehall.platform.adapter.store import StoreClient
from jujubehall.platform.adapter.waves import StoreWaves
from jujubehall.platform.adapter.workers import WorkerCommandClient
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from random import Random

    from jujubehall.daemon.scheduling_settings import SchedulingSettings
    from jujubehall.platform.adapter.settings import SiteSettings

INCARNATION_BITS = 64
SHUTDOWN_POLL_INTERVAL_MS = 50
LOAD_BALANCER_REMOVAL_MS = 2_500
"""Time within which the load balancer stops sending calls to an entry host that is not ready.

The load balancer checks readiness every second and removes an entry host after two failed checks.
"""

SIGKILL_MARGIN_MS = 1_500
"""Part of the time between SIGTERM and SIGKILL that is reserved for exiting."""

REVOCATION_DEADLINE_FRACTION = 0.8
"""Fraction of ``revocation_deadline_ms`` after which an entry host refuses calls.

A revoked key must go out of use within the deadline. Calls are refused if the keys have not been
known to be current for this fraction of it; the rest is left for the calls in progress.
"""

reactor: Any = _reactor
log = structlog.get_logger()


class SiteProcess:
    """Runs a ``SiteHost`` on real sockets and shuts it down gracefully.

    ``stopped_cleanly`` says after the shutdown whether all requests got a response.
    """

    def __init__(self, settings: SiteSettings, mesh: ZmqMesh, host: SiteHost) -> None:
        self._settings = settings
        self._mesh = mesh
        self._host = host
        self._clock = suspend_aware_clock()
        self._is_stopping = False
        self._site: LimitedSite
        self._ports: list[Any] = []
        self.stopped_cleanly = False

    def listen(self) -> None:
        """Opens the HTTP ports; raises ``CannotListenError`` if one is in use."""
        limits = self._settings.limits
        capacity = make_http_capacity(reactor, limits.memory_mb, limits.descriptors)
        front = JobApiResource(self._host.admission, lambda: self._is_stopping)
        front_limits = HttpLimits(connections=capacity.plan.connections)
        self._site = LimitedSite(front, front_limits, capacity=capacity)
        self._listen(self._settings.listen.front, self._site)
        readiness = ReadinessResource(lambda: self._host.is_ready)
        self._listen(
            self._settings.listen.readiness,
            LimitedSite(readiness, INTERNAL_LIMITS, capacity=capacity),
        )
        operators: Any = Resource()
        operators.putChild(b"metrics", MetricsResource(self._host))
        operators.putChild(LOCATE_PATH[1:].encode(), PlacementResource(self._host.admission))
        self._listen(
            f"{self._settings.ip}:{METRICS_PORT}",
            LimitedSite(operators, INTERNAL_LIMITS, capacity=capacity),
        )

    def run(self) -> None:
        """Runs the reactor until the shutdown is complete."""
        reactor.run(installSignalHandlers=False)

    def begin_shutdown_from_signal(self) -> None:
        """Schedules a graceful shutdown; safe to call from a signal handler."""
        reactor.callFromThread(self._begin_shutdown)

    def log_settings_change(self) -> None:
        """Logs a SIGHUP; settings read at startup are not reloaded while the process lives."""
        reactor.callFromThread(log.info, "settings file changed")

    def _listen(self, address: str, site: LimitedSite) -> None:
        if address:
            host, _, port = address.partition(":")
            self._ports.append(listen_tcp(reactor, int(port), site, host))

    def _begin_shutdown(self) -> None:
        if not self._is_stopping:
            self._is_stopping = True
            log.info("stopping", requests=self._site.requests_in_progress)
            run_in_background(self._shut_down())

    async def _shut_down(self) -> None:
        began_ms = self._clock.now_ms
        run_in_background(self._host.stop())
        self._site.close_idle()
        grace_ms = int(self._settings.bounds.stop_grace_s * MS_PER_SECOND) - SIGKILL_MARGIN_MS
        while (elapsed_ms := self._clock.now_ms - began_ms) < grace_ms:
            if elapsed_ms >= LOAD_BALANCER_REMOVAL_MS and not self._site.requests_in_progress:
                break
            await sleep(reactor, SHUTDOWN_POLL_INTERVAL_MS)
        self.stopped_cleanly = not self._site.requests_in_progress
        for port in self._ports:
            port.stopListening()
        self._site.close_idle()
        await sleep(reactor, SHUTDOWN_POLL_INTERVAL_MS)
        log.info("stopped", clean=self.stopped_cleanly)
        self._mesh.close()
        reactor.stop()


METRICS_PORT = 9464
"""Also set in deploy/system.toml; outside the range of ports that change from day to day."""

INTERNAL_LIMITS = HttpLimits(connections=16)
"""Limits of the ports for the load balancer and the operators, which call now and then."""


def start_site_process(
    settings: SiteSettings, scheduling: SchedulingSettings, random: Random
) -> SiteProcess | str:
    """Binds the addresses and starts the services.

    Returns an error message instead of a process if an address can't be bound.
    """
    configure_site_logs(settings.name)
    incarnation = Incarnation(f"{random.getrandbits(INCARNATION_BITS):016x}")
    member = Member(
        settings.name,
        incarnation,
        settings.zone,
        f"http://{settings.listen.front}",
        f"tcp://{settings.ip}:{settings.port_range[0]}",
        started_unix_ms=unix_time_ms(),
        capacity=settings.limits.capacity,
    )
    mesh = ZmqMesh(reactor, settings.name, incarnation)
    try:
        mesh.bind(member.mesh_address)
    except zmq.ZMQError as error:
        return f"{member.mesh_address}: {error}"
    store = StoreClient(reactor, settings.store.address)
    host = SiteHost(
        reactor,
        suspend_aware_clock(),
        wall_clock(),
        member,
        SiteClients(
            store,
            StoreDirectory,
            WorkerCommandClient(reactor),
            mesh,
            AdviceClient(reactor, settings.advice) if settings.advice else None,
            StoreWaves,
            CloudClient(reactor, settings.cloud.address) if settings.cloud.address else None,
        ),
        _site_time_limits(settings),
        random,
        scheduling,
    )
    process = SiteProcess(settings, mesh, host)
    try:
        process.listen()
    except CannotListenError as error:
        mesh.close()
        return f"{settings.listen.front}: {error.socketError}"
    host.start()
    log.info("started", incarnation=incarnation, zone=settings.zone)
    return process


def _site_time_limits(settings: SiteSettings) -> SiteTimeLimits:
    limits = settings.bounds
    return SiteTimeLimits(
        limits.max_lease_ms,
        limits.gang_start_timeout_ms,
        int(limits.ended_job_retention_s * MS_PER_SECOND),
        (
            int(limits.revocation_deadline_ms * REVOCATION_DEADLINE_FRACTION)
            if limits.is_revocation_strict
            else None
        ),
        limits.evacuation_deadline_ms,
    )
