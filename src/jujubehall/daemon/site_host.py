"""Creates, connects and starts the services of an entry host on the operators' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import structlog

from result import Err

from jujubehall.core.ownership.record import Member
from jujubehall.daemon.scheduling_settings import DEFAULT_SCHEDULING
from jujubehall.daemon.scheduling_settings import SchedulingSettings
from jujubehall.platform.site_store import Write
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import run_loop
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.admission import Admission
from jujubehall.services.fleet.configuration_follower import ConfigurationFollower
from jujubehall.services.fleet.instrumented_store import InstrumentedStore
from jujubehall.services.fleet.job_records import JobRecords
from jujubehall.services.fleet.latencies import LatencyHistogram
from jujubehall.services.fleet.maintenance import MaintenanceClients
from jujubehall.services.fleet.ownership import Ownership
from jujubehall.services.fleet.peer_request_handlers import PeerRequestHandlers
from jujubehall.services.fleet.peers import Peers
from jujubehall.services.fleet.records import HOST_PREFIX
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import decode_record
from jujubehall.services.fleet.records import host_key
from jujubehall.services.fleet.site_owner import SiteOwner

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.configuration import SiteConfiguration
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.platform.site_machines import SiteMachines
    from jujubehall.platform.site_machines import SiteWaves
    from jujubehall.platform.site_store import SiteAdvice
    from jujubehall.platform.site_store import SiteDirectory
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import SiteWorkers
    from jujubehall.services.fleet.ownership import Term

STORE_PROBE_INTERVAL_MS = 500
REGISTRATION_RETRY_INTERVAL_MS = 300
REGISTRATION_TIMEOUT_MS = 1_000

log = structlog.get_logger()


class SiteClients(NamedTuple):
    """Clients for the external systems that an entry host uses."""

    store: SiteStore
    make_directory: Callable[[SiteStore], SiteDirectory]
    workers: SiteWorkers
    mesh: Mesh
    advice: SiteAdvice | None = None
    make_waves: Callable[[SiteStore], SiteWaves] | None = None
    machines: SiteMachines | None = None
    """Maintenance waves are carried out only if both ``make_waves`` and ``machines`` are given."""


class SiteTimeLimits(NamedTuple):
    """Time limits of the site, in milliseconds."""

    max_lease_ms: int
    """Longest lease that a worker grants to a run."""

    gang_start_timeout_ms: int
    """How long a member of a gang waits on its worker for the others, until it is ended."""

    ended_job_retention_ms: int
    """How long the state of an ended job can still be queried."""

    max_configuration_age_ms: int | None
    """Calls are refused if the configuration has not been known to be current for this long.

    None lets an entry host keep serving with the configuration that it knew last.
    """

    evacuation_deadline_ms: int | None = None
    """Time from an evacuation of a zone until nothing may be started there any more.

    None if the operators of the site don't evacuate zones.
    """


class SiteHost:
    """Entry host that accepts jobs, and schedules the whole site while it is the elected owner."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        wall_clock: Clock,
        member: Member,
        clients: SiteClients,
        time_limits: SiteTimeLimits,
        random: Random,
        scheduling: SchedulingSettings = DEFAULT_SCHEDULING,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._wall_clock = wall_clock
        self._member = member
        self.store = InstrumentedStore(reactor, clients.store, clock)
        self._directory = clients.make_directory(self.store)
        self._workers = clients.workers
        self._advice = clients.advice
        self._maintenance_clients = (
            MaintenanceClients(clients.make_waves(self.store), clients.machines, member.name)
            if clients.make_waves is not None and clients.machines is not None
            else None
        )
        self._time_limits = time_limits
        self._scheduling = scheduling
        self._owner: SiteOwner | None = None
        self._is_stopping = False
        self.configuration = ConfigurationFollower(reactor, clock, self._directory)
        records = JobRecords(clock, self.store)
        self.peers = Peers(reactor, clock, clients.mesh, member, self.configuration)
        self.configuration.set_owner_query(self.peers.request_configuration)
        self.ownership = Ownership(reactor, clock, self.store, member, random)
        self.ownership.set_callbacks(self._begin_term, self._end_term)
        self.ownership.set_hand_over_preparation(self._finish_starts)
        self.peers.set_ownership(self.ownership)
        PeerRequestHandlers(
            reactor,
            clients.mesh,
            self.peers,
            self.ownership,
            self.store,
            self.configuration,
            records,
        )
        self.configuration.add_listener(self._configure)
        self.submission_latencies = LatencyHistogram()
        self.admission = Admission(
            reactor,
            clock,
            wall_clock,
            self.configuration,
            records,
            self.peers,
            self.submission_latencies,
            time_limits.max_configuration_age_ms,
        )

    @property
    def owner(self) -> SiteOwner | None:
        """Owner services of the current term, or None if this entry host does not own the site."""
        return self._owner

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should route requests to this entry host."""
        return not self._is_stopping and self.admission.is_ready

    def start(self) -> None:
        """Starts the services."""
        run_in_background(self.configuration.run())
        run_in_background(self._run_for_ownership())
        run_in_background(self._register())
        run_in_background(run_loop(self._reactor, "store probe", self._probe_store, lambda: False))

    async def stop(self) -> None:
        """Hands over the ownership of the site; calls are still served."""
        self._is_stopping = True
        await self.ownership.stop()

    def _begin_term(self, term: Term) -> None:
        owner = SiteOwner(
            self._reactor,
            self._clock,
            self._wall_clock,
            self.store,
            self._directory,
            self._workers,
            self._advice,
            self.ownership,
            self.peers,
            term,
            self._time_limits.max_lease_ms,
            self._time_limits.gang_start_timeout_ms,
            self._time_limits.ended_job_retention_ms,
            self._maintenance_clients,
            refuses_when_overloaded=self._scheduling.refuse_when_overloaded,
            evacuation_deadline_ms=self._time_limits.evacuation_deadline_ms,
        )
        self._owner = owner
        if self.configuration.current is not None:
            owner.configure(self.configuration.current)
        self.peers.begin_term(owner)
        run_in_background(owner.run())

    def _end_term(self, reason: str) -> None:
        if self._owner is not None:
            self._owner.close()
            self._owner = None
        self.peers.end_term()

    async def _finish_starts(self) -> None:
        if self._owner is not None:
            await self._owner.finish_starts()

    def _configure(self, configuration: SiteConfiguration) -> None:
        if self._owner is not None:
            self._owner.configure(configuration)

    async def _probe_store(self) -> None:
        """Reads a key while the store is unreachable, to detect when it is reachable again.

        Without this probe, only the owner might notice.
        """
        if self.store.is_lost:
            await self.store.get(OWNER_KEY)
        await sleep(self._reactor, STORE_PROBE_INTERVAL_MS)

    async def _run_for_ownership(self) -> None:
        """Campaigns for the ownership, knowing the entry hosts that are registered already."""
        try:
            await self._read_members()
        except Exception as error:
            log.error("reading the entry hosts failed unexpectedly", error=repr(error))
        await self.ownership.run()

    async def _read_members(self) -> None:
        registered = await self.store.list_items(HOST_PREFIX)
        if isinstance(registered, Err):
            log.warning("reading the entry hosts failed", failure=str(registered.err_value))
            return
        for item in registered.ok_value.items:
            member = decode_record(item.key, item.value, Member)
            if member is not None:
                self.peers.note_member(member)

    async def _register(self) -> None:
        """Registers this entry host in the store, where the owner looks it up."""
        registration = Write(host_key(self._member.name), msgspec.json.encode(self._member))
        while not self._is_stopping:
            written = await self.store.commit([], [registration], [], REGISTRATION_TIMEOUT_MS)
            if not isinstance(written, Err):
                return
            log.info("entry host registration failed, retrying", failure=str(written.err_value))
            await sleep(self._reactor, REGISTRATION_RETRY_INTERVAL_MS)
