"""Creates, connects, starts and stops the services of an entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from jujubehall.core.jobs.packing import pack_guarantees
from jujubehall.core.jobs.policy import make_policy
from jujubehall.daemon.request_services import RequestServices
from jujubehall.identifiers import ZoneName
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.configuration_relay import ConfigurationRelay
from jujubehall.services.configuration_service import ConfigurationService
from jujubehall.services.guarantee_packer import GuaranteePacker
from jujubehall.services.host_list import HostList
from jujubehall.services.job_index import JobIndex
from jujubehall.services.job_service import JobService
from jujubehall.services.job_store import JobStore
from jujubehall.services.membership import Membership
from jujubehall.services.peer_monitor import PeerMonitor
from jujubehall.services.state_cache import StateCache
from jujubehall.services.zone_context import ZoneContext
from jujubehall.services.zone_scheduler import ZoneScheduler

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import Member
    from jujubehall.core.requests.endpoint_table import EndpointTable
    from jujubehall.endpoints.interface import Endpoints
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.identifiers import EndpointName
    from jujubehall.platform.interface import Platform
    from jujubehall.services.dispatcher import Dispatcher
    from jujubehall.services.outage_claims import OutageClaims
    from jujubehall.services.request_service import RequestService
    from jujubehall.services.shard_takeover import ShardTakeover
    from jujubehall.workers.interface import Workers

DRAIN_POLL_INTERVAL_MS = 50
HAND_OVER_TIMEOUT_MS = 5_000

log = structlog.get_logger()


class EntryHost:
    """Runs the services of one entry host on top of the given clients of its peers.

    The daemon passes real clients; randomised tests pass fakes and a virtual reactor.

    ``seeds`` are mesh addresses of entry hosts to ask for the configuration while the platform is
    down.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        member: Member,
        platform: Platform,
        mesh: Mesh,
        endpoints: Endpoints,
        workers: Workers,
        random: Random,
        seeds: Sequence[str] = (),
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self.cache = StateCache(reactor, platform, random)
        self.hosts = HostList(reactor, platform, random)
        self._job_index = JobIndex(self.cache, clock)
        self.membership = Membership(
            reactor, platform, self.cache, member, self._known_zones, random
        )
        self.configuration = ConfigurationService(
            platform, self.cache, GuaranteePacker(self.cache, pack_guarantees)
        )
        self.request_services = RequestServices(
            reactor,
            clock,
            platform,
            mesh,
            endpoints,
            self.membership,
            self.hosts,
            self._endpoint_slots,
            random,
        )
        self.peers = PeerMonitor(reactor, clock, mesh, self.membership, self.cache, seeds)
        self.membership.set_heartbeat_check(self.peers.has_heartbeat_within)
        relay = ConfigurationRelay(mesh, self.cache)
        self.peers.listen(
            lambda peer, heartbeat: run_in_background(relay.fetch_if_newer(peer, heartbeat))
        )
        store = JobStore(reactor, platform, self.cache, random)
        self.jobs = JobService(reactor, platform, self.cache, store, self.hosts, random)
        zones = ZoneContext(
            reactor,
            clock,
            platform,
            self.cache,
            self.hosts,
            workers,
            self.configuration,
            make_policy,
            self._job_index,
            store,
            random,
        )
        self.scheduler = ZoneScheduler(zones, self.membership)
        self._draining = False
        self._has_failed = False
        self._failure_listeners: list[Callable[[], object]] = []

    @property
    def requests(self) -> RequestService:
        """Service that handles the callers' requests."""
        return self.request_services.service

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher that sends requests to endpoints."""
        return self.request_services.dispatcher

    @property
    def endpoint_table(self) -> EndpointTable:
        """Endpoints known to this entry host, with their state and requests in flight."""
        return self.request_services.endpoint_table

    @property
    def shard_takeover(self) -> ShardTakeover:
        """Service that prepares the request shards that this entry host has taken over."""
        return self.request_services.takeover

    @property
    def outage_claims(self) -> OutageClaims:
        """Service that claims requests in memory while the platform is down."""
        return self.request_services.outage_claims

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should route requests to this entry host."""
        is_known = self.cache.is_loaded and self.configuration.is_known
        return is_known and self.membership.is_member and not self._draining

    def start(self) -> None:
        """Starts all services; the platform need not be reachable."""
        for service in (
            self.cache,
            self.hosts,
            self.membership,
            self.peers,
            self.shard_takeover,
            self.outage_claims,
            self.request_services.allotments,
            self.scheduler,
        ):
            run_in_background(service.run()).addErrback(
                self._on_service_failure, type(service).__name__
            )

    def add_failure_listener(self, listener: Callable[[], object]) -> None:
        """Registers ``listener`` to be called if a service fails with an unexpected exception.

        The process must exit then, so that its lease expires and other entry hosts take over. If a
        service has already failed, ``listener`` is called at once.
        """
        self._failure_listeners.append(listener)
        if self._has_failed:
            listener()

    async def stop(self, timeout_ms: int) -> bool:
        """Stops gracefully: hands over ownership, then waits for the requests in progress.

        Returns whether all requests finished within ``timeout_ms`` milliseconds.
        """
        self._draining = True
        log.info("stopping", in_progress=self.requests.in_progress)
        deadline_ms = self._clock.now_ms + timeout_ms
        await self.membership.drain()
        self.requests.drain()
        await self.membership.wait_for_hand_over(min(timeout_ms, HAND_OVER_TIMEOUT_MS))
        while self.requests.in_progress and self._clock.now_ms < deadline_ms:
            await sleep(self._reactor, DRAIN_POLL_INTERVAL_MS)
        finished = self.requests.in_progress == 0
        self.scheduler.stop()
        self.peers.stop()
        await self.request_services.stop()
        await self.membership.deregister()
        self.cache.stop()
        self.hosts.stop()
        return finished

    def _on_service_failure(self, failure: object, service: str) -> None:
        self._has_failed = True
        log.error("service failed", service=service, error=str(failure))
        for listener in self._failure_listeners:
            listener()

    def _known_zones(self) -> list[ZoneName]:
        # A lost zone lists no workers, but its jobs need an owner that moves them to other zones.
        listed = {ZoneName(host.zone) for host in self.hosts.workers}
        return sorted(listed | self._job_index.zones_with_unfinished_jobs)

    def _endpoint_slots(self, endpoint: EndpointName, zone: ZoneName) -> int:
        scopes = (f"endpoint/{endpoint}", f"zone/{zone}")
        slots: int = self.configuration.current.value("endpoint_slots", *scopes)
        return slots
