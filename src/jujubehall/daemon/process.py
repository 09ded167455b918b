"""Daemon process: clients of the peers, listening sockets and graceful shutdown."""

from __future__ import annotations

import logging

from typing import TYPE_CHECKING
from typing import Any

import structlog
import zmq

from twisted.internet import reactor as _reactor
from twisted.internet.error import CannotListenError

from jujubehall.callers.interface import CallerInterface
from jujubehall.callers.interface import routes as caller_routes
from jujubehall.clock import system_clock
from jujubehall.clock import unix_time_ms
from jujubehall.core.ownership.record import Member
from jujubehall.daemon.entry_host import EntryHost
from jujubehall.daemon.metrics_collector import MetricsCollector
from jujubehall.endpoints.client import EndpointClient
from jujubehall.entry_hosts.zmq_mesh import ZmqMesh
from jujubehall.http.capacity import make_http_capacity
from jujubehall.http.server import listen_tcp
from jujubehall.http.server import make_http_site
from jujubehall.identifiers import Incarnation
from jujubehall.operators.interface import OperatorInterface
from jujubehall.operators.interface import routes as operator_routes
from jujubehall.operators.monitoring import MonitoringInterface
from jujubehall.operators.monitoring import routes as monitoring_routes
from jujubehall.platform.client import PlatformClient
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.workers.client import WorkerClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.daemon.settings import Settings

INCARNATION_BITS = 64
MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 7
SHUTDOWN_POLL_INTERVAL_MS = 20
RESPONSE_FLUSH_TIMEOUT_MS = 1_000

reactor: Any = _reactor
log = structlog.get_logger()


class Process:
    """Running daemon with its listening sockets.

    ``stop_timeout_ms`` limits how long a graceful shutdown waits for requests in progress;
    ``stopped_cleanly`` says afterwards whether all of them got a response.
    """

    def __init__(self, host: EntryHost, mesh: ZmqMesh, stop_timeout_ms: int) -> None:
        self._host = host
        self._mesh = mesh
        self._clock = system_clock()
        self._site: Any = None
        self._port: Any = None
        self._stop_timeout_ms = stop_timeout_ms
        self._is_stopping = False
        self.stopped_cleanly = False

    def listen(self, host: str, port: int, site: Any) -> None:
        """Opens the HTTP port; raises ``CannotListenError`` if it is in use."""
        self._site = site
        self._port = listen_tcp(reactor, port, site, host)

    def run(self) -> None:
        """Runs the reactor until the shutdown is complete."""
        reactor.run(installSignalHandlers=False)

    def begin_shutdown_from_signal(self) -> None:
        """Schedules a graceful shutdown; safe to call from a signal handler."""
        reactor.callFromThread(self.begin_shutdown)

    def begin_shutdown(self) -> None:
        """Starts a graceful shutdown; repeated calls have no effect."""
        if not self._is_stopping:
            self._is_stopping = True
            run_in_background(self._shut_down())

    def abort(self) -> None:
        """Stops the process at once, as after a failure; other entry hosts take over."""
        reactor.callWhenRunning(reactor.callLater, 0, _stop_reactor)

    async def _shut_down(self) -> None:
        deadline_ms = self._clock.now_ms + self._stop_timeout_ms
        finished = await self._host.stop(self._stop_timeout_ms)
        # Forwarded requests run on another entry host, but this process sends their responses.
        responses_sent = await self._wait_until(
            lambda: not self._site.requests_in_progress, deadline_ms
        )
        self.stopped_cleanly = finished and responses_sent
        await self._port.stopListening()
        self._site.close_idle()
        flush_until_ms = self._clock.now_ms + RESPONSE_FLUSH_TIMEOUT_MS
        await self._wait_until(lambda: not self._site.connections, flush_until_ms)
        log.info("stopped", clean=self.stopped_cleanly)
        self._mesh.close()
        reactor.stop()

    async def _wait_until(self, condition: Callable[[], bool], deadline_ms: int) -> bool:
        while not condition() and self._clock.now_ms < deadline_ms:
            await sleep(reactor, SHUTDOWN_POLL_INTERVAL_MS)
        return condition()


def _stop_reactor() -> None:
    if reactor.running:
        reactor.stop()


def start_process(settings: Settings, random: Random) -> Process | str:
    """Binds the addresses and starts the services.

    Returns an error message instead of a process if an address can't be bound.
    """
    configure_logging(settings)
    listen = settings.listen
    incarnation = Incarnation(f"{random.getrandbits(INCARNATION_BITS):016x}")
    member = Member(
        settings.name,
        incarnation,
        settings.zone,
        f"http://{listen.host}:{listen.http_port}",
        f"tcp://{listen.host}:{listen.mesh_port}",
        started_unix_ms=unix_time_ms(),
    )
    mesh = ZmqMesh(reactor, settings.name, incarnation)
    try:
        mesh.bind(member.mesh_address)
    except zmq.ZMQError as error:
        return f"$.listen.mesh_port: {member.mesh_address}: {error}"
    platform = PlatformClient(reactor, settings.platform)
    host = EntryHost(
        reactor,
        system_clock(),
        member,
        platform,
        mesh,
        EndpointClient(reactor, MAX_IDLE_CONNECTIONS_PER_ENDPOINT),
        WorkerClient(reactor),
        random,
        settings.seeds,
    )
    process = Process(host, mesh, settings.stop_timeout_ms)
    site = make_http_site(
        (caller_routes, CallerInterface(host)),
        (operator_routes, OperatorInterface(host, process.begin_shutdown)),
        (monitoring_routes, MonitoringInterface(host, MetricsCollector(host, platform).collect)),
        limits=settings.limits,
        capacity=make_http_capacity(reactor, settings.memory_mb),
    )
    try:
        process.listen(listen.host, listen.http_port, site)
    except CannotListenError as error:
        mesh.close()
        return f"$.listen.http_port: {member.http_address}: {error.socketError}"
    host.membership.on_replaced(process.begin_shutdown)
    host.add_failure_listener(process.abort)
    host.start()
    log.info("started", incarnation=incarnation, address=member.http_address)
    return process


def configure_logging(settings: Settings) -> None:
    """Configures logging as JSON lines with the time, the level and the entry host's name."""
    logging.basicConfig(level=logging.WARNING)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ]
    )
    structlog.contextvars.bind_contextvars(entry_host=settings.name)
