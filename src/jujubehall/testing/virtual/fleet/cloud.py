"""Simulated cloud that takes machines of workers down for maintenance and checks fencing tokens."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.maintenance.wave import Machine
from jujubehall.core.maintenance.wave import MachineState
from jujubehall.core.maintenance.wave import Wave
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import MachineName
from jujubehall.platform.site_machines import MaintenanceRefusal
from jujubehall.platform.site_machines import Waves
from jujubehall.platform.site_store import Write
from jujubehall.services.async_utils import sleep

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
WAVE_STATUS_PREFIX = "operators/status/"
MAINTENANCE_DURATION_S = 2.0
"""How long a machine is down for maintenance."""

CALL_LATENCY_MS = 5
CALL_TIMEOUT_MS = 2_000
LATE_EXECUTION_DELAY_S = 3.0
"""Delay after which a call takes effect with ``CloudFaultMode.LATE_EXECUTION``."""


class CloudFaultMode(Enum):
    """Fault mode of an entry host's calls to the cloud."""

    NONE = "sound"
    NO_RESPONSE = "silent"
    RESPONSE_LOST = "answers-lost"
    LATE_EXECUTION = "late"
    """The call gets no response and takes effect ``LATE_EXECUTION_DELAY_S`` later."""


def machine_name_of(worker: WorkerName) -> MachineName:
    """Returns the name of the machine that a worker runs on."""
    return MachineName(f"m-{worker}")


class VirtualCloud:
    """The cloud's state, shared by all entry hosts; records violations of its invariants."""

    def __init__(self, time: VirtualTime, workers: dict[WorkerName, VirtualWorker]) -> None:
        self._time = time
        self._workers = workers
        self._token_holders: dict[MachineName, tuple[FencingToken, EntryHostName]] = {}
        self._machines_down: set[MachineName] = set()
        self.waves: dict[WaveNumber, Wave] = {}
        self.maintenance_begun: set[tuple[WaveNumber, MachineName]] = set()
        """The machines that have been taken down for maintenance, with the wave."""

        self.max_machines_down = 0
        """The highest number of machines that were down at the same time."""

        self.interrupted_task_count = 0
        """Number of tasks that were lost because their machine was taken down."""

        self.violations: list[str] = []

    def list_machines(self) -> list[Machine]:
        """Returns all machines with their states."""
        return [
            Machine(
                machine_name_of(name),
                (
                    MachineState.IN_MAINTENANCE
                    if machine_name_of(name) in self._machines_down
                    else MachineState.UP
                ),
                name,
            )
            for name in self._workers
        ]

    def begin_maintenance(
        self, machine: MachineName, wave: WaveNumber, holder: EntryHostName, token: FencingToken
    ) -> Result[None, MaintenanceRefusal | Failure]:
        """Takes a machine down for maintenance, at most once for each wave.

        A repeated call returns ``Ok`` without taking the machine down again. Records a violation if
        two holders use the same token, or if more machines are down than the wave allows.
        """
        worker_name = next(
            (name for name in self._workers if machine_name_of(name) == machine), None
        )
        if worker_name is None:
            return Err(MaintenanceRefusal.NO_SUCH_MACHINE)
        highest_token, current_holder = self._token_holders.get(machine, (token, holder))
        if token < highest_token:
            return Err(MaintenanceRefusal.FENCED)
        if token == highest_token and current_holder != holder:
            self.violations.append(
                f"{machine}: {holder} and {current_holder} both hold fencing token {token}"
            )
        self._token_holders[machine] = (token, holder)
        if machine not in self.waves[wave].machines:
            return Err(MaintenanceRefusal.NOT_IN_WAVE)
        if (wave, machine) in self.maintenance_begun:
            return Ok(None)
        if machine in self._machines_down:
            return Err(MaintenanceRefusal.BUSY)
        if len(self._machines_down) >= self.waves[wave].max_machines_down:
            self.violations.append(
                f"{machine} is taken down while {sorted(self._machines_down)} are down"
            )
        self._take_down(machine, self._workers[worker_name])
        self.maintenance_begun.add((wave, machine))
        return Ok(None)

    def _take_down(self, machine: MachineName, worker: VirtualWorker) -> None:
        self._machines_down.add(machine)
        self.max_machines_down = max(self.max_machines_down, len(self._machines_down))
        self.interrupted_task_count += len(worker.tasks)
        worker.restart()
        worker.is_down = True
        worker.is_listed = False
        self._time.callLater(MAINTENANCE_DURATION_S, lambda: self._bring_up(machine, worker))

    def _bring_up(self, machine: MachineName, worker: VirtualWorker) -> None:
        self._machines_down.discard(machine)
        worker.is_down = False
        worker.is_listed = True


class VirtualMachines:
    """Implements ``SiteMachines`` for one entry host, with injected faults."""

    def __init__(self, reactor: Any, cloud: VirtualCloud) -> None:
        self._reactor = reactor
        self._cloud = cloud
        self.fault_mode = CloudFaultMode.NONE

    async def list_machines(self) -> Result[list[Machine], Failure]:
        """Returns all machines with their states."""
        if self.fault_mode is CloudFaultMode.NO_RESPONSE:
            return await self._time_out("list")
        await sleep(self._reactor, CALL_LATENCY_MS)
        return Ok(self._cloud.list_machines())

    async def begin_maintenance(
        self, machine: MachineName, wave: WaveNumber, holder: EntryHostName, token: FencingToken
    ) -> Result[None, MaintenanceRefusal | Failure]:
        """Takes a machine down for maintenance; a timed-out call may still have taken effect."""
        if self.fault_mode is CloudFaultMode.NO_RESPONSE:
            return await self._time_out("begin upkeep")
        if self.fault_mode is CloudFaultMode.LATE_EXECUTION:
            self._reactor.callLater(
                LATE_EXECUTION_DELAY_S,
                lambda: self._cloud.begin_maintenance(machine, wave, holder, token),
            )
            return await self._time_out("begin upkeep")
        await sleep(self._reactor, CALL_LATENCY_MS)
        outcome = self._cloud.begin_maintenance(machine, wave, holder, token)
        if self.fault_mode is CloudFaultMode.RESPONSE_LOST:
            return await self._time_out("begin upkeep")
        return outcome

    async def _time_out(self, step: str) -> Err[Failure]:
        await sleep(self._reactor, CALL_TIMEOUT_MS)
        return Err(Failure(FailureKind.NO_ANSWER, step, "cloud", "timed out"))


class VirtualWaves:
    """Implements ``SiteWaves`` on top of the simulated store."""

    def __init__(self, store: SiteStore) -> None:
        self._store = store

    async def list_waves(self) -> Result[Waves, Failure]:
        """Returns all requested waves."""
        return (await self._store.list_items(WAVES_PREFIX)).map(_to_waves)

    async def wait_for_waves(self, after: Revision, wait_ms: int) -> Result[Waves, Failure]:
        """Waits up to ``wait_ms`` for waves that were written after a revision."""
        return (await self._store.watch(WAVES_PREFIX, after, wait_ms)).map(_to_waves)

    def build_status_write(self, wave: WaveNumber, is_done: bool) -> Write:
        """Returns the write that reports a wave's progress to the operators."""
        return Write(f"{WAVE_STATUS_PREFIX}{wave}", b"done" if is_done else b"running")


def wave_write(wave: Wave) -> Write:
    """Returns the write by which the operators request a wave."""
    return Write(f"{WAVES_PREFIX}{wave.number}", msgspec.json.encode(wave))


def _to_waves(found: StoredItems) -> Waves:
    waves = [msgspec.json.decode(item.value, type=Wave) for item in found.items]
    return Waves(waves, found.revision)
