"""One entry host: its services, wired together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from jujubehall.core.jobs.policy import make_policy
from jujubehall.core.requests.claim_table import ClaimTable
from jujubehall.core.requests.endpoint_table import EndpointState
from jujubehall.core.requests.endpoint_table import EndpointTable
from jujubehall.identifiers import EndpointName
from jujubehall.identifiers import ZoneName
from jujubehall.platform.host import HostState
from jujubehall.services.claim_log import ClaimLog
from jujubehall.services.configuration_service import ConfigurationService
from jujubehall.services.dispatcher import Dispatcher
from jujubehall.services.host_list import HostList
from jujubehall.services.job_index import JobIndex
from jujubehall.services.job_service import JobService
from jujubehall.services.job_store import JobStore
from jujubehall.services.membership import Membership
from jujubehall.services.peer_monitor import PeerMonitor
from jujubehall.services.request_service import RequestService
from jujubehall.services.shard_takeover import ShardTakeover
from jujubehall.services.state_cache import StateCache
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start
from jujubehall.services.zone_context import ZoneContext
from jujubehall.services.zone_scheduler import ZoneScheduler

if TYPE_CHECKING:
    from random import Random

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import Member
    from jujubehall.endpoints.interface import Endpoints
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.platform.interface import Platform
    from jujubehall.workers.interface import Workers

DRAIN_CHECK_INTERVAL_MS = 50

log = structlog.get_logger()


class EntryHost:
    """The services of one entry host over the interfaces of its peers.

    The daemon gives it real clients; randomised runs give it fakes and a virtual reactor.
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
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._platform = platform
        self.cache = StateCache(reactor, platform, random)
        self.hosts = HostList(reactor, platform, random)
        self._job_index = JobIndex(self.cache, clock)
        self.membership = Membership(
            reactor, platform, self.cache, member, self._known_zones, random
        )
        self.configuration = ConfigurationService(self.cache)
        self.endpoint_table = EndpointTable(random)
        self.hosts.listen(lambda _: self._update_endpoints())
        claim_table = ClaimTable()
        self._claim_log = ClaimLog(platform, clock, member.name, member.incarnation)
        self._takeover = ShardTakeover(
            reactor, clock, platform, self.membership, self._claim_log, claim_table, random
        )
        dispatcher = Dispatcher(clock, endpoints, self.endpoint_table, self._slot_allotment)
        self.requests = RequestService(
            clock, mesh, self.membership, self._takeover, self._claim_log, claim_table, dispatcher
        )
        self.peers = PeerMonitor(reactor, clock, mesh, self.membership, self.cache)
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

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self.cache.is_loaded and self.membership.is_member and not self._draining

    def start(self) -> None:
        """Starts all services; works also while the platform is down."""
        for service in (
            self.cache,
            self.hosts,
            self.membership,
            self.peers,
            self._takeover,
            self.scheduler,
        ):
            start(service.run())

    async def stop(self, timeout_ms: int) -> bool:
        """Stops gracefully; returns whether everything in progress was finished in time."""
        self._draining = True
        log.info("stopping", in_progress=self.requests.in_progress)
        await self.membership.drain()
        self.requests.drain()
        give_up_at_ms = self._clock.now_ms + timeout_ms
        while self.requests.in_progress and self._clock.now_ms < give_up_at_ms:
            await sleep(self._reactor, DRAIN_CHECK_INTERVAL_MS)
        finished = self.requests.in_progress == 0
        self.scheduler.stop()
        self._takeover.stop()
        self.peers.stop()
        await self._claim_log.seal()
        await self.membership.leave()
        self.cache.stop()
        self.hosts.stop()
        return finished

    def _known_zones(self) -> list[ZoneName]:
        # The jobs of a zone that was lost still need an owner, who hands them to other zones.
        listed = {ZoneName(host.zone) for host in self.hosts.workers}
        return sorted(listed | self._job_index.zones)

    def _slot_allotment(self) -> int:
        members = max(1, len(self.membership.record.members))
        return max(1, self.configuration.current.defaults.endpoint_slots // members)

    def _update_endpoints(self) -> None:
        self.endpoint_table.update(
            EndpointState(EndpointName(h.name), h.address, h.state is HostState.LEAVING)
            for h in self.hosts.endpoints
        )
