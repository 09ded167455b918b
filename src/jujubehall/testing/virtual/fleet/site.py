"""Builds a simulated site of entry hosts with a simulated store, cloud, workers and mesh."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import Clock
from jujubehall.clock import reactor_clock
from jujubehall.core.ownership.capacity import HostCapacity
from jujubehall.core.ownership.record import Member
from jujubehall.daemon.scheduling_settings import DEFAULT_SCHEDULING
from jujubehall.daemon.site_host import SiteClients
from jujubehall.daemon.site_host import SiteHost
from jujubehall.daemon.site_host import SiteTimeLimits
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.platform.site_store import StoredConfiguration
from jujubehall.platform.site_store import Write
from jujubehall.platform.site_store import ZoneChange
from jujubehall.platform.site_store import ZoneChanges
from jujubehall.services.fleet.admission import CallResponse
from jujubehall.services.fleet.admission import IncomingCall
from jujubehall.testing.virtual.fleet.cloud import VirtualCloud
from jujubehall.testing.virtual.fleet.cloud import VirtualMachines
from jujubehall.testing.virtual.fleet.cloud import VirtualWaves
from jujubehall.testing.virtual.fleet.cloud import wave_write
from jujubehall.testing.virtual.fleet.store import RevisionedStore
from jujubehall.testing.virtual.fleet.store import StoreFaultMode
from jujubehall.testing.virtual.fleet.store import VirtualStore
from jujubehall.testing.virtual.fleet.workers import GANG_START_TIMEOUT_MS
from jujubehall.testing.virtual.fleet.workers import MAX_LEASE_MS
from jujubehall.testing.virtual.fleet.workers import TaskRunRecorder
from jujubehall.testing.virtual.fleet.workers import VirtualWorker
from jujubehall.testing.virtual.fleet.workers import VirtualWorkers
from jujubehall.testing.virtual.host_reactor import HostReactor
from jujubehall.testing.virtual.mesh import VirtualMesh
from jujubehall.testing.virtual.network import Network
from jujubehall.testing.virtual.virtual_time import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from jujubehall.core.fleet.configuration import SiteConfiguration
    from jujubehall.core.fleet.reports import TaskId
    from jujubehall.core.fleet.requests import JobRequest
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.core.maintenance.wave import Wave
    from jujubehall.daemon.scheduling_settings import SchedulingSettings
    from jujubehall.identifiers import JobId
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import StoredItems

TIME_STEP_S = 0.01
"""The step by which virtual time advances between updates of the workers."""

CONFIGURATION_KEY = "operators/configuration"
EVACUATIONS_PREFIX = "operators/evacuations/"


class VirtualDirectory:
    """Implements ``SiteDirectory``; the store holds just the version of a configuration.

    The configurations themselves are in ``VirtualFleet.configurations``, by their versions.
    """

    def __init__(self, site: VirtualFleet, store: SiteStore) -> None:
        self._site = site
        self._store = store

    async def read_configuration(self) -> Result[StoredConfiguration, Failure]:
        """Reads the latest configuration."""
        found = await self._store.list_items(CONFIGURATION_KEY)
        return found.map(_to_stored_configuration)

    async def wait_for_configuration(
        self, after: Revision, wait_ms: int, answer_timeout_ms: int
    ) -> Result[StoredConfiguration, Failure]:
        """Waits up to ``wait_ms`` for a configuration written after a revision."""
        found = await self._store.watch(CONFIGURATION_KEY, after, wait_ms, answer_timeout_ms)
        return found.map(_to_stored_configuration)

    def decode_configuration(self, content: bytes) -> Result[SiteConfiguration, Failure]:
        """Returns the configuration whose version is encoded in ``content``."""
        found = self._site.configurations.get(int(content))
        if found is None:
            return Err(Failure(FailureKind.INVALID, "decode configuration", "operator"))
        return Ok(found)

    async def list_workers(self) -> Result[list[ListedWorker], Failure]:
        """Returns the workers that are listed in the store now."""
        found = await self._store.get(CONFIGURATION_KEY)
        return found.map(
            lambda _: [
                worker.listing(self._site.listing_delay_s)
                for worker in self._site.workers.values()
                if worker.is_listed
            ]
        )

    async def list_evacuated_zones(self) -> Result[ZoneChanges, Failure]:
        """Returns the zones that are evacuated now."""
        return (await self._store.list_items(EVACUATIONS_PREFIX)).map(_to_zone_changes)

    async def wait_for_zone_changes(
        self, after: Revision, wait_ms: int
    ) -> Result[ZoneChanges, Failure]:
        """Waits up to ``wait_ms`` for changes of the evacuated zones after a revision."""
        return (await self._store.watch(EVACUATIONS_PREFIX, after, wait_ms)).map(_to_zone_changes)


def _to_stored_configuration(stored: StoredItems) -> StoredConfiguration:
    return StoredConfiguration(stored.items[-1].value if stored.items else None, stored.revision)


def _to_zone_changes(stored: StoredItems) -> ZoneChanges:
    return ZoneChanges(
        [
            ZoneChange(ZoneName(item.key.removeprefix(EVACUATIONS_PREFIX)), not item.is_deleted)
            for item in stored.items
        ],
        stored.revision,
    )


class VirtualHost:
    """A simulated entry host with its own connections to the store, workers, cloud and peers."""

    def __init__(self, site: VirtualFleet, name: str, incarnation: int) -> None:
        self.name = EntryHostName(name)
        self.reactor = HostReactor(site.time)
        self.store = VirtualStore(self.reactor, site.store, site.random)
        self.workers = VirtualWorkers(self.reactor, site.workers, site.random)
        self.machines = VirtualMachines(self.reactor, site.cloud)
        member = Member(
            self.name,
            Incarnation(f"{name}/{incarnation}"),
            ZoneName("lagos-island"),
            f"http://{name}",
            f"tcp://{name}:1",
            started_unix_ms=incarnation,
            capacity=site.capacities.get(name, HostCapacity()),
        )
        mesh = VirtualMesh(self.reactor, site.network, member, site.meshes)
        clock = reactor_clock(self.reactor)
        self.wall_clock_offset_ms = 0
        """How far the time of day of this entry host is ahead."""

        wall_clock = Clock(lambda: clock.now_ms + self.wall_clock_offset_ms)
        self.site_host = SiteHost(
            self.reactor,
            clock,
            wall_clock,
            member,
            SiteClients(
                self.store,
                lambda store: VirtualDirectory(site, store),
                self.workers,
                mesh,
                make_waves=VirtualWaves,
                machines=self.machines,
            ),
            SiteTimeLimits(
                MAX_LEASE_MS,
                GANG_START_TIMEOUT_MS,
                120_000,
                4_000,
                evacuation_deadline_ms=site.evacuation_deadline_ms,
            ),
            site.random,
            scheduling=site.scheduling,
        )
        self.site_host.start()


class VirtualFleet:
    """A simulated site with ``hosts`` entry hosts and the given workers.

    site = VirtualFleet(configuration, listed, hosts=3, seed=7)
    site.run(1.0)
    response = site.submit("0000000000000001", request)
    """

    def __init__(
        self,
        configuration: SiteConfiguration,
        listed: list[ListedWorker],
        hosts: int = 3,
        seed: int = 0,
        capacities: dict[str, HostCapacity] | None = None,
        scheduling: SchedulingSettings = DEFAULT_SCHEDULING,
        evacuation_deadline_ms: int | None = None,
    ) -> None:
        self.scheduling = scheduling
        self.evacuation_deadline_ms = evacuation_deadline_ms
        self.capacities = capacities or {}
        """The capacity of each entry host by its name; unknown if it is missing."""

        self.time = VirtualTime()
        self.time.advance(1_000)
        self.random = Random(seed)
        self.network = Network(self.random)
        self.meshes: dict[str, VirtualMesh] = {}
        self.store = RevisionedStore(self.time)
        self.run_recorder = TaskRunRecorder()
        self.run_recorder.evacuation_deadline_ms = evacuation_deadline_ms
        self.requests: dict[JobId, JobRequest] = {}
        self.configurations: dict[int, SiteConfiguration] = {}
        self.workers: dict[WorkerName, VirtualWorker] = {}
        for worker in listed:
            self.add_worker(worker)
        self.listing_delay_s = 0.0
        """How long the list of workers takes to show a change of a worker."""

        self.cloud = VirtualCloud(self.time, self.workers)
        self.configure(configuration)
        self._incarnation_count = 0
        self.hosts: list[VirtualHost] = []
        for number in range(hosts):
            self.hosts.append(self._make_host(f"entry-{number}"))

    @property
    def owner(self) -> VirtualHost | None:
        """The running entry host that owns the site and may act; None unless exactly one does."""
        owners = [
            host
            for host in self.hosts
            if host.site_host.owner is not None and not host.reactor.is_killed
        ]
        return owners[0] if len(owners) == 1 else None

    def add_worker(self, listed: ListedWorker) -> None:
        """Adds a worker that is listed from now on."""
        self.workers[listed.name] = VirtualWorker(
            listed, self.time, self.run_recorder, self._find_step
        )

    def remove_worker(self, name: WorkerName) -> None:
        """Removes a worker for good, with everything that runs on it."""
        self.workers.pop(name).restart()

    def configure(self, configuration: SiteConfiguration) -> None:
        """Writes a configuration to the store, as the operators do."""
        self.configurations[configuration.version] = configuration
        self.store.commit([], [Write(CONFIGURATION_KEY, str(configuration.version).encode())], [])

    def evacuate_zone(self, zone: ZoneName) -> None:
        """Requests that nothing more be started in a zone, as the operators do."""
        self.run_recorder.evacuated_ms.setdefault(zone, round(self.time.seconds() * MS_PER_SECOND))
        self.store.commit([], [Write(EVACUATIONS_PREFIX + zone, b"{}")], [])

    def return_zone(self, zone: ZoneName) -> None:
        """Takes the evacuation of a zone back, as the operators do."""
        self.run_recorder.evacuated_ms.pop(zone, None)
        self.store.commit([], [], [EVACUATIONS_PREFIX + zone])

    def request_wave(self, wave: Wave) -> None:
        """Requests a maintenance wave, as the operators do."""
        self.cloud.waves[wave.number] = wave
        self.store.commit([], [wave_write(wave)], [])

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        end_s = self.time.seconds() + seconds
        while self.time.seconds() < end_s:
            self.time.advance(TIME_STEP_S)
            for worker in self.workers.values():
                worker.advance()

    def run_until(self, condition: Any, seconds: float) -> bool:
        """Advances virtual time until a condition holds, for at most ``seconds``.

        Returns whether the condition holds.
        """
        end_s = self.time.seconds() + seconds
        while not condition() and self.time.seconds() < end_s:
            self.run(TIME_STEP_S)
        return bool(condition())

    def await_result(self, coroutine: Coroutine[Any, Any, Any], seconds: float = 10.0) -> Any:
        """Runs a coroutine in virtual time and returns its result.

        Raises:
            AssertionError: the coroutine did not finish within ``seconds``.
        """
        results: list[Any] = []
        deferred = Deferred.fromCoroutine(coroutine)
        deferred.addBoth(results.append)
        assert self.run_until(lambda: results, seconds), "the coroutine did not finish in time"
        return results[0]

    def check_admission(self, host: VirtualHost, path: str, key: str = "key") -> Any:
        """Runs the admission check of an entry host for a call."""
        return host.site_host.admission.check(IncomingCall("site.example", path, key, 3_000))

    def submit(
        self, job: JobId, request: JobRequest, queue: str = "normal", host: int = 0
    ) -> CallResponse:
        """Submits a job through an entry host."""
        self.requests[job] = request
        target = self.hosts[host]
        admitted = self.check_admission(target, f"/{queue}/{job}")
        if isinstance(admitted, CallResponse):
            return admitted
        response: CallResponse = self.await_result(
            target.site_host.admission.submit(admitted, job, request)
        )
        return response

    def job_state(self, job: JobId, queue: str = "normal", host: int = 0) -> CallResponse:
        """Reads a job's state through an entry host."""
        target = self.hosts[host]
        admitted = self.check_admission(target, f"/{queue}/{job}")
        if isinstance(admitted, CallResponse):
            return admitted
        response: CallResponse = self.await_result(target.site_host.admission.show(admitted, job))
        return response

    def cancel(self, job: JobId, queue: str = "normal", host: int = 0) -> CallResponse:
        """Cancels a job through an entry host."""
        target = self.hosts[host]
        self.run_recorder.services.cancelled_jobs.add(job)
        admitted = self.check_admission(target, f"/{queue}/{job}")
        if isinstance(admitted, CallResponse):
            return admitted
        response: CallResponse = self.await_result(target.site_host.admission.cancel(admitted, job))
        return response

    def kill(self, host: VirtualHost) -> None:
        """Kills the process of an entry host."""
        host.reactor.kill()

    def restart(self, host: VirtualHost) -> VirtualHost:
        """Replaces a killed entry host by a new incarnation of it and returns that."""
        replacement = self._make_host(host.name)
        self.hosts[self.hosts.index(host)] = replacement
        return replacement

    def set_store_fault_mode(self, fault_mode: StoreFaultMode) -> None:
        """Sets the fault mode of all entry hosts' calls to the store."""
        for host in self.hosts:
            host.store.fault_mode = fault_mode

    def _make_host(self, name: str) -> VirtualHost:
        self._incarnation_count += 1
        return VirtualHost(self, name, self._incarnation_count)

    def _find_step(self, task: TaskId) -> StepRequest:
        return self.requests[task.job].steps[task.step]
