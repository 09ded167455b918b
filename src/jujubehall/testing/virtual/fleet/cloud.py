"""The cloud below the virtual workers: takes machines down for upkeep, under fences."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.upkeep.wave import Machine
from jujubehall.core.upkeep.wave import MachineState
from jujubehall.core.upkeep.wave import Wave
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import MachineName
from jujubehall.platform.site_machines import UpkeepRefusal
from jujubehall.platform.site_machines import Waves
from jujubehall.platform.site_store import Write
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import WaveNumber
    from jujubehall.identifiers import WorkerName
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import StoredItems
    from jujubehall.testing.virtual.fleet.workers import VirtualWorker
    from jujubehall.testing.virtual.virtual_time import VirtualTime

WAVES_PREFIX = "operators/wave/"
STATUS_PREFIX = "operators/status/"
UPKEEP_S = 2.0
LATENCY_MS = 5
TIMEOUT_MS = 2_000
LATE_S = 3.0


class CloudPath(Enum):
    """How calls to the cloud fare."""

    SOUND = "sound"
    SILENT = "silent"
    ANSWERS_LOST = "answers-lost"
    LATE = "late"
    """No answer, and carried out seconds later."""


def machine_of(worker: WorkerName) -> MachineName:
    """The machine below a worker."""
    return MachineName(f"m-{worker}")


class VirtualCloud:
    """The state shared by all entry hosts; notes what must not happen."""

    def __init__(self, time: VirtualTime, workers: dict[WorkerName, VirtualWorker]) -> None:
        self._time = time
        self._workers = workers
        self._tokens: dict[MachineName, tuple[FencingToken, EntryHostName]] = {}
        self._down: set[MachineName] = set()
        self.waves: dict[WaveNumber, Wave] = {}
        self.done: set[tuple[WaveNumber, MachineName]] = set()
        self.most_down = 0
        """The most machines that were ever down at once."""

        self.interrupted = 0
        """Tasks that ended because their machine went down."""

        self.violations: list[str] = []

    def list_machines(self) -> list[Machine]:
        """All machines."""
        return [
            Machine(
                machine_of(name),
                MachineState.IN_UPKEEP if machine_of(name) in self._down else MachineState.UP,
                name,
            )
            for name in self._workers
        ]

    def begin(
        self, machine: MachineName, wave: WaveNumber, holder: EntryHostName, token: FencingToken
    ) -> Result[None, UpkeepRefusal | Failure]:
        """Takes a machine down, once a wave."""
        worker = next((each for each in self._workers if machine_of(each) == machine), None)
        if worker is None:
            return Err(UpkeepRefusal.NO_SUCH_MACHINE)
        highest, by = self._tokens.get(machine, (token, holder))
        if token < highest:
            return Err(UpkeepRefusal.FENCED)
        if token == highest and by != holder:
            self.violations.append(f"{machine}: {holder} and {by} hold token {token}")
        self._tokens[machine] = (token, holder)
        if machine not in self.waves[wave].machines:
            return Err(UpkeepRefusal.NOT_IN_WAVE)
        if (wave, machine) in self.done:
            return Ok(None)
        if machine in self._down:
            return Err(UpkeepRefusal.BUSY)
        if len(self._down) >= self.waves[wave].most_down:
            self.violations.append(f"{machine} goes down beside {sorted(self._down)}")
        self._take_down(machine, self._workers[worker])
        self.done.add((wave, machine))
        return Ok(None)

    def _take_down(self, machine: MachineName, worker: VirtualWorker) -> None:
        self._down.add(machine)
        self.most_down = max(self.most_down, len(self._down))
        self.interrupted += len(worker.tasks)
        worker.restart()
        worker.is_down = True
        worker.is_listed = False
        self._time.callLater(UPKEEP_S, lambda: self._bring_back(machine, worker))

    def _bring_back(self, machine: MachineName, worker: VirtualWorker) -> None:
        self._down.discard(machine)
        worker.is_down = False
        worker.is_listed = True


class VirtualMachines:
    """Implements ``SiteMachines`` for one entry host."""

    def __init__(self, reactor: Any, cloud: VirtualCloud) -> None:
        self._reactor = reactor
        self._cloud = cloud
        self.path = CloudPath.SOUND

    async def list_machines(self) -> Result[list[Machine], Failure]:
        """Lists all machines."""
        if self.path is CloudPath.SILENT:
            return await self._no_answer("list")
        await sleep(self._reactor, LATENCY_MS)
        return Ok(self._cloud.list_machines())

    async def begin_upkeep(
        self, machine: MachineName, wave: WaveNumber, holder: EntryHostName, token: FencingToken
    ) -> Result[None, UpkeepRefusal | Failure]:
        """Takes a machine down."""
        if self.path is CloudPath.SILENT:
            return await self._no_answer("begin upkeep")
        if self.path is CloudPath.LATE:
            self._reactor.callLater(LATE_S, lambda: self._cloud.begin(machine, wave, holder, token))
            return await self._no_answer("begin upkeep")
        await sleep(self._reactor, LATENCY_MS)
        outcome = self._cloud.begin(machine, wave, holder, token)
        if self.path is CloudPath.ANSWERS_LOST:
            return await self._no_answer("begin upkeep")
        return outcome

    async def _no_answer(self, step: str) -> Err[Failure]:
        await sleep(self._reactor, TIMEOUT_MS)
        return Err(Failure(FailureKind.NO_ANSWER, step, "cloud", "timed out"))


class VirtualWaves:
    """Implements ``SiteWaves`` over the virtual store."""

    def __init__(self, store: SiteStore) -> None:
        self._store = store

    async def list_waves(self) -> Result[Waves, Failure]:
        """Reads all waves."""
        return (await self._store.list_items(WAVES_PREFIX)).map(_to_waves)

    async def wait_for_waves(self, after: Revision, wait_ms: int) -> Result[Waves, Failure]:
        """Waits for waves."""
        return (await self._store.watch(WAVES_PREFIX, after, wait_ms)).map(_to_waves)

    def status_write(self, wave: WaveNumber, is_done: bool) -> Write:
        """What tells the operators how far a wave is."""
        return Write(f"{STATUS_PREFIX}{wave}", b"done" if is_done else b"running")


def wave_write(wave: Wave) -> Write:
    """What the operators write to ask for a wave."""
    return Write(f"{WAVES_PREFIX}{wave.number}", msgspec.json.encode(wave))


def _to_waves(found: StoredItems) -> Waves:
    waves = [msgspec.json.decode(item.value, type=Wave) for item in found.items]
    return Waves(waves, found.revision)
