"""The daemon's process: real clients, listening sockets and the planned stop."""

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
from jujubehall.endpoints.client import EndpointClient
from jujubehall.entry_hosts.zmq_mesh import ZmqMesh
from jujubehall.http.site import make_site
from jujubehall.identifiers import Incarnation
from jujubehall.operators.interface import OperatorInterface
from jujubehall.operators.interface import routes as operator_routes
from jujubehall.platform.client import PlatformClient
from jujubehall.services.timing import start
from jujubehall.workers.client import WorkerClient

if TYPE_CHECKING:
    from random import Random

    from jujubehall.daemon.settings import Settings

INCARNATION_BITS = 64
CONNECTIONS_PER_ENDPOINT = 7

reactor: Any = _reactor
log = structlog.get_logger()


class Process:
    """A serving daemon."""

    def __init__(self, host: EntryHost, mesh: ZmqMesh, port: Any, stop_timeout_ms: int) -> None:
        self._host = host
        self._mesh = mesh
        self._port = port
        self._stop_timeout_ms = stop_timeout_ms
        self._stopping = False
        self.stopped_cleanly = False

    def run(self) -> None:
        """Serves until the planned stop is complete."""
        reactor.run(installSignalHandlers=False)

    def begin_stop_soon(self) -> None:
        """Begins the planned stop from a signal handler."""
        reactor.callFromThread(self.begin_stop)

    def begin_stop(self) -> None:
        """Begins the planned stop; a repeated signal changes nothing."""
        if not self._stopping:
            self._stopping = True
            start(self._stop())

    def abort(self) -> None:
        """Ends the process at once, as a failure does; others take over."""
        reactor.callWhenRunning(reactor.callLater, 0, _stop_reactor)

    async def _stop(self) -> None:
        self.stopped_cleanly = await self._host.stop(self._stop_timeout_ms)
        await self._port.stopListening()
        log.info("stopped", clean=self.stopped_cleanly)
        self._mesh.close()
        reactor.stop()


def _stop_reactor() -> None:
    if reactor.running:
        reactor.stop()


def start_process(settings: Settings, random: Random) -> Process | str:
    """Binds the addresses and starts the services; returns the reason if an address is taken."""
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
        return f"listen.mesh_port: {member.mesh_address}: {error}"
    host = EntryHost(
        reactor,
        system_clock(),
        member,
        PlatformClient(reactor, settings.platform),
        mesh,
        EndpointClient(reactor, CONNECTIONS_PER_ENDPOINT),
        WorkerClient(reactor),
        random,
        settings.seeds,
    )
    site = make_site(
        (caller_routes, CallerInterface(host)), (operator_routes, OperatorInterface(host))
    )
    try:
        port = reactor.listenTCP(listen.http_port, site, interface=listen.host)
    except CannotListenError as error:
        return f"listen.http_port: {error}"
    process = Process(host, mesh, port, settings.stop_timeout_ms)
    host.membership.on_replaced(process.begin_stop)
    host.on_failure(process.abort)
    host.start()
    log.info("started", incarnation=incarnation, address=member.http_address)
    return process


def configure_logging(settings: Settings) -> None:
    """Writes JSON lines, each with the time, the level and the entry host's name."""
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
