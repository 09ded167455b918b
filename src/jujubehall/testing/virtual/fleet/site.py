"""Builds a site of entry hosts over the virtual store, workers and mesh."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import reactor_clock
from jujubehall.core.ownership.record import Member
from jujubehall.daemon.site_host import SiteBounds
from jujubehall.daemon.site_host import SiteHost
from jujubehall.daemon.site_host import SitePeers
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.platform.site_store import ConfigurationRead
from jujubehall.platform.site_store import Write
from jujubehall.services.fleet.admission import Answer
from jujubehall.services.fleet.admission import CallerCall
from jujubehall.testing.virtual.fleet.cloud import VirtualCloud
from jujubehall.testing.virtual.fleet.cloud import VirtualMachines
from jujubehall.testing.virtual.fleet.cloud import VirtualWaves
from jujubehall.testing.virtual.fleet.cloud import wave_write
from jujubehall.testing.virtual.fleet.store import Path
from jujubehall.testing.virtual.fleet.store import RevisionedStore
from jujubehall.testing.virtual.fleet.store import VirtualStore
from jujubehall.testing.virtual.fleet.workers import LONGEST_LEASE_MS
from jujubehall.testing.virtual.fleet.workers import TaskLedger
from jujubehall.testing.virtual.fleet.workers import VirtualWorker
from jujubehall.testing.virtual.fleet.workers import VirtualWorkers
from jujubehall.testing.virtual.host_reactor import HostReactor
from jujubehall.testing.virtual.mesh import VirtualMesh
from jujubehall.testing.virtual.network import Network
from jujubehall.testing.virtual.virtual_time import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from jujubehall.core.fleet.configuration import SiteConfiguration
    from jujubehall.core.fleet.reports import TaskName
    from jujubehall.core.fleet.requests import JobRequest
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.core.upkeep.wave import Wave
    from jujubehall.identifiers import JobId
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore

STEP_S = 0.01
CONFIGURATION_KEY = "operators/configuration"


class VirtualDirectory:
    """Implements ``SiteDirectory``; the operators' configuration is passed by its version."""

    def __init__(self, site: VirtualFleet, store: SiteStore) -> None:
        self._site = site
        self._store = store

    async def configuration(self) -> Result[ConfigurationRead | None, Failure]:
        """Reads the newest configuration."""
        found = await self._store.get(CONFIGURATION_KEY)
        if isinstance(found, Err):
            return found
        item = found.ok_value
        return Ok(None if item is None else self._read(item.value, item.revision))

    async def wait_for_configuration(
        self, after: Revision, wait_ms: int
    ) -> Result[ConfigurationRead | None, Failure]:
        """Waits for a configuration later than ``after``."""
        found = await self._store.watch(CONFIGURATION_KEY, after, wait_ms)
        if isinstance(found, Err):
            return found
        items = found.ok_value.items
        return Ok(self._read(items[-1].value, items[-1].revision) if items else None)

    def decode_configuration(self, content: bytes) -> Result[SiteConfiguration, Failure]:
        """Finds a configuration by its version."""
        found = self._site.configurations.get(int(content))
        if found is None:
            return Err(Failure(FailureKind.INVALID, "decode configuration", "operator"))
        return Ok(found)

    async def workers(self) -> Result[list[ListedWorker], Failure]:
        """Lists the workers."""
        answered = await self._store.get(CONFIGURATION_KEY)
        return answered.map(
            lambda _: [each.listed for each in self._site.workers.values() if each.is_listed]
        )

    def _read(self, value: bytes, revision: Revision) -> ConfigurationRead:
        return ConfigurationRead(self._site.configurations[int(value)], value, revision)


class VirtualHost:
    """One entry host with its paths to everything else."""

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
        )
        mesh = VirtualMesh(self.reactor, site.network, member, site.meshes)
        clock = reactor_clock(self.reactor)
        self.host = SiteHost(
            self.reactor,
            clock,
            clock,
            member,
            SitePeers(
                self.store,
                lambda store: VirtualDirectory(site, store),
                self.workers,
                mesh,
                make_waves=VirtualWaves,
                machines=self.machines,
            ),
            SiteBounds(LONGEST_LEASE_MS, 120_000, 4_000),
            site.random,
        )
        self.host.start()


class VirtualFleet:
    """A site: ``hosts`` entry hosts, and the given workers.

    site = VirtualFleet(configuration, listed, hosts=3, seed=7)
    site.run(1.0)
    answer = site.submit("0000000000000001", request)
    """

    def __init__(
        self,
        configuration: SiteConfiguration,
        listed: list[ListedWorker],
        hosts: int = 3,
        seed: int = 0,
    ) -> None:
        self.time = VirtualTime()
        self.time.advance(1_000)
        self.random = Random(seed)
        self.network = Network(self.random)
        self.meshes: dict[str, VirtualMesh] = {}
        self.store = RevisionedStore(self.time)
        self.ledger = TaskLedger()
        self.requests: dict[JobId, JobRequest] = {}
        self.configurations: dict[int, SiteConfiguration] = {}
        gang_runs: dict[tuple[Any, ...], set[int]] = {}
        self.workers: dict[WorkerName, VirtualWorker] = {
            each.name: VirtualWorker(each, self.time, self.ledger, self._find_step, gang_runs)
            for each in listed
        }
        self.cloud = VirtualCloud(self.time, self.workers)
        self.configure(configuration)
        self._incarnations = 0
        self.hosts: list[VirtualHost] = []
        for number in range(hosts):
            self.hosts.append(self._make_host(f"entry-{number}"))

    @property
    def owner(self) -> VirtualHost | None:
        """The entry host that owns the site and may act."""
        owners = [
            host
            for host in self.hosts
            if host.host.owner is not None and not host.reactor.is_killed
        ]
        return owners[0] if len(owners) == 1 else None

    def configure(self, configuration: SiteConfiguration) -> None:
        """Has the operators write a configuration."""
        self.configurations[configuration.version] = configuration
        self.store.commit([], [Write(CONFIGURATION_KEY, str(configuration.version).encode())], [])

    def ask_for_wave(self, wave: Wave) -> None:
        """Has the operators ask for a wave of upkeep."""
        self.cloud.waves[wave.number] = wave
        self.store.commit([], [wave_write(wave)], [])

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.time.seconds() + seconds
        while self.time.seconds() < end:
            self.time.advance(STEP_S)
            for worker in self.workers.values():
                worker.advance()

    def run_until(self, condition: Any, seconds: float) -> bool:
        """Lets time pass until a condition holds; False if it never does."""
        end = self.time.seconds() + seconds
        while not condition() and self.time.seconds() < end:
            self.run(STEP_S)
        return bool(condition())

    def await_result(self, coroutine: Coroutine[Any, Any, Any], seconds: float = 10.0) -> Any:
        """Runs a coroutine to its end."""
        results: list[Any] = []
        deferred = Deferred.fromCoroutine(coroutine)
        deferred.addBoth(results.append)
        assert self.run_until(lambda: results, seconds), "no answer"
        return results[0]

    def call(self, host: VirtualHost, path: str, key: str = "key") -> Any:
        """Checks a call at an entry host."""
        return host.host.admission.check(CallerCall("site.example", path, key, 3_000))

    def submit(
        self, job: JobId, request: JobRequest, queue: str = "normal", host: int = 0
    ) -> Answer:
        """Submits a job at an entry host."""
        self.requests[job] = request
        target = self.hosts[host]
        admitted = self.call(target, f"/{queue}/{job}")
        if isinstance(admitted, Answer):
            return admitted
        answer: Answer = self.await_result(target.host.admission.submit(admitted, job, request))
        return answer

    def show(self, job: JobId, queue: str = "normal", host: int = 0) -> Answer:
        """Asks an entry host for a job's state."""
        target = self.hosts[host]
        admitted = self.call(target, f"/{queue}/{job}")
        if isinstance(admitted, Answer):
            return admitted
        answer: Answer = self.await_result(target.host.admission.show(admitted, job))
        return answer

    def cancel(self, job: JobId, queue: str = "normal", host: int = 0) -> Answer:
        """Cancels a job at an entry host."""
        target = self.hosts[host]
        admitted = self.call(target, f"/{queue}/{job}")
        if isinstance(admitted, Answer):
            return admitted
        answer: Answer = self.await_result(target.host.admission.cancel(admitted, job))
        return answer

    def kill(self, host: VirtualHost) -> None:
        """Kills an entry host's process."""
        host.reactor.kill()

    def restart(self, host: VirtualHost) -> VirtualHost:
        """Starts a killed process again."""
        fresh = self._make_host(host.name)
        self.hosts[self.hosts.index(host)] = fresh
        return fresh

    def set_store_path(self, path: Path) -> None:
        """Sets how the calls of all entry hosts to the store fare."""
        for host in self.hosts:
            host.store.path = path

    def _make_host(self, name: str) -> VirtualHost:
        self._incarnations += 1
        return VirtualHost(self, name, self._incarnations)

    def _find_step(self, task: TaskName) -> StepRequest:
        return self.requests[task.job].steps[task.step]
