"""Carries out the operators' maintenance waves during one term of the owner.

A wave is a set of machines to be taken down for maintenance within a given time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import structlog

from result import Err

from jujubehall.core.fleet.decisions import StopReason
from jujubehall.core.fleet.preemption import stop_decision
from jujubehall.core.maintenance.wave import OrderedMaintenance
from jujubehall.core.maintenance.wave import WaveProgress
from jujubehall.core.maintenance.wave_plan import plan_wave
from jujubehall.errors import FailureKind
from jujubehall.platform.site_machines import MaintenanceRefusal
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import Precondition
from jujubehall.platform.site_store import Write
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import run_loop
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import decode_record
from jujubehall.services.fleet.records import wave_key

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.maintenance.wave import Machine
    from jujubehall.core.maintenance.wave import Wave
    from jujubehall.core.maintenance.wave_plan import WavePlan
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import WaveNumber
    from jujubehall.identifiers import WorkerName
    from jujubehall.platform.site_machines import SiteMachines
    from jujubehall.platform.site_machines import SiteWaves
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.services.fleet.ownership import Term
    from jujubehall.services.fleet.site_owner import SiteOwner

WATCH_TIMEOUT_MS = 2_000
"""Timeout of one watch, the only way to learn of a new wave. If it is lost, the wave begins about 3 s
later, while waves last for tens of seconds."""

WAVE_STEP_INTERVAL_MS = 500
"""Interval between two listings of a wave's machines. The platform charges for each listing."""

WATCH_RETRY_INTERVAL_MS = 500
COMMIT_TIMEOUT_MS = 1_000
TAKEOVER_DELAY_MS = 3_500
"""How long after its election an owner takes down no machines. The platform does not allow two
owners to act on the same machine within 3 s, and the earlier owner may have sent its last order
to the cloud at the time of the election."""

FINAL_REFUSALS = (MaintenanceRefusal.NOT_IN_WAVE, MaintenanceRefusal.NO_SUCH_MACHINE)
"""Refusals after which the cloud is not asked again: the operators have changed the wave or removed
the machine."""

log = structlog.get_logger()


class MaintenanceClients(NamedTuple):
    """The clients that maintenance needs besides those of the store and the workers."""

    waves: SiteWaves
    machines: SiteMachines
    holder: EntryHostName
    """The name of the entry host under which orders are sent to the cloud."""


class MaintenanceController:
    """Watches and carries out the waves. Each order to the cloud is stored before it is sent."""

    def __init__(
        self,
        owner: SiteOwner,
        reactor: Reactor,
        clock: Clock,
        wall_clock: Clock,
        store: SiteStore,
        clients: MaintenanceClients,
        term: Term,
    ) -> None:
        self._owner = owner
        self._reactor = reactor
        self._clock = clock
        self._wall_clock = wall_clock
        self._store = store
        self._clients = clients
        self._term = term
        self._elected_ms = clock.now_ms
        self._watch_revision: Revision | None = None
        self._waves: dict[WaveNumber, Wave] = {}
        self._progress: dict[WaveNumber, WaveProgress] = {}
        self._vacating: dict[WaveNumber, set[WorkerName]] = {}
        self._revisions: dict[WaveNumber, Revision] = {}

    async def run(self) -> None:
        """Watches and carries out waves until the term ends."""
        run_in_background(
            run_loop(self._reactor, "waves", self._watch_waves, lambda: self._owner.is_closed)
        )
        await run_loop(self._reactor, "upkeep", self._step, lambda: self._owner.is_closed)

    async def _watch_waves(self) -> None:
        found = (
            await self._clients.waves.list_waves()
            if self._watch_revision is None
            else await self._clients.waves.wait_for_waves(self._watch_revision, WATCH_TIMEOUT_MS)
        )
        if isinstance(found, Err):
            log.info("reading maintenance waves failed", failure=str(found.err_value))
            if found.err_value.kind is FailureKind.NOT_FOUND:
                self._watch_revision = None
            await sleep(self._reactor, WATCH_RETRY_INTERVAL_MS)
            return
        self._watch_revision = found.ok_value.revision
        for wave in found.ok_value.waves:
            self._waves[wave.number] = wave

    async def _step(self) -> None:
        for wave in list(self._waves.values()) if self._owner.may_act else ():
            if not await self._load_progress(wave):
                continue
            if self._progress[wave.number].is_done:
                del self._waves[wave.number]
                self._set_vacating_workers(wave, set())
            else:
                await self._advance(wave)
        await sleep(self._reactor, WAVE_STEP_INTERVAL_MS)

    async def _load_progress(self, wave: Wave) -> bool:
        """Loads the progress that earlier owners stored, or stores the start of a new wave.

        Returns False if neither has succeeded.
        """
        if wave.number in self._progress:
            return True
        found = await self._store.get(wave_key(wave.number))
        if isinstance(found, Err):
            log.info(
                "loading maintenance wave failed", wave=wave.number, failure=str(found.err_value)
            )
            return False
        item = found.ok_value
        stored = decode_record(item.key, item.value, WaveProgress) if item is not None else None
        self._revisions[wave.number] = item.revision if item is not None else ABSENT
        if stored is not None:
            self._progress[wave.number] = stored
            return True
        log.info(
            "maintenance wave started",
            wave=wave.number,
            machines=len(wave.machines),
            duration_ms=wave.duration_ms,
            most_down=wave.max_machines_down,
        )
        return await self._write_progress(wave, WaveProgress(self._wall_clock.now_ms))

    async def _advance(self, wave: Wave) -> None:
        listed = await self._clients.machines.list_machines()
        if isinstance(listed, Err):
            log.warning("listing machines failed", wave=wave.number, failure=str(listed.err_value))
            return
        if not self._owner.may_act:
            return
        plan = self._plan(wave, listed.ok_value)
        if plan.is_done:
            log.info("maintenance wave complete", wave=wave.number)
            progress = msgspec.structs.replace(self._progress[wave.number], is_done=True)
            await self._write_progress(wave, progress)
            return
        self._set_vacating_workers(wave, plan.workers_to_vacate)
        for group in plan.groups_to_stop:
            self._stop_group(group)
        self._owner.worker_commands.send_stops()
        if self._clock.now_ms - self._elected_ms < TAKEOVER_DELAY_MS:
            return
        for order in plan.orders_to_repeat:
            await self._begin_maintenance(wave, order)
        for machine in plan.machines_to_begin:
            order = OrderedMaintenance(
                machine.name, machine.worker, self._worker_incarnation(machine)
            )
            progress = self._progress[wave.number]
            if await self._write_progress(
                wave, msgspec.structs.replace(progress, begun=(*progress.begun, order))
            ):
                await self._begin_maintenance(wave, order)

    def _plan(self, wave: Wave, listed: list[Machine]) -> WavePlan:
        progress = self._progress[wave.number]
        elapsed_ms = self._wall_clock.now_ms - progress.first_seen_unix_ms
        remaining_ms = wave.duration_ms - elapsed_ms
        return plan_wave(
            wave, progress, listed, self._owner.fleet_state, self._clock.now_ms, remaining_ms
        )

    def _worker_incarnation(self, machine: Machine) -> int:
        worker = self._owner.fleet_state.workers.get(machine.worker) if machine.worker else None
        return worker.incarnation if worker is not None else 0

    def _set_vacating_workers(self, wave: Wave, names: set[WorkerName]) -> None:
        self._vacating[wave.number] = names
        vacating = set().union(*self._vacating.values())
        for worker in self._owner.fleet_state.workers.values():
            if worker.is_awaiting_maintenance != (worker.name in vacating):
                worker.is_awaiting_maintenance = worker.name in vacating
                log.info(
                    (
                        "worker closed for maintenance"
                        if worker.is_awaiting_maintenance
                        else "worker reopened"
                    ),
                    worker=worker.name,
                    wave=wave.number,
                )

    def _stop_group(self, group: TaskGroup) -> None:
        stop = stop_decision(group, StopReason.MAINTENANCE, self._clock.now_ms)
        self._owner.worker_commands.log_stop(stop)
        self._owner.fleet_state.mark_stopping(group)

    async def _begin_maintenance(self, wave: Wave, order: OrderedMaintenance) -> None:
        if not self._owner.may_act:
            return
        result = await self._clients.machines.begin_maintenance(
            order.machine, wave.number, self._clients.holder, self._term.token
        )
        outcome = "begun" if not isinstance(result, Err) else str(result.err_value)
        log.info("maintenance ordered", wave=wave.number, machine=order.machine, outcome=outcome)
        if not isinstance(result, Err) or result.err_value in FINAL_REFUSALS:
            await self._mark_confirmed(wave, order)
        elif result.err_value is MaintenanceRefusal.FENCED:
            self._owner.yield_to_later_owner()

    async def _mark_confirmed(self, wave: Wave, order: OrderedMaintenance) -> None:
        progress = self._progress[wave.number]
        confirmed = tuple(
            (
                msgspec.structs.replace(each, is_confirmed=True)
                if each.machine == order.machine
                else each
            )
            for each in progress.begun
        )
        await self._write_progress(wave, msgspec.structs.replace(progress, begun=confirmed))

    async def _write_progress(self, wave: Wave, progress: WaveProgress) -> bool:
        """Writes the progress and the status for the operators, fenced by the owner record."""
        key = wave_key(wave.number)
        outcome = await self._store.commit(
            [
                Precondition(OWNER_KEY, self._term.owner_revision),
                Precondition(key, self._revisions[wave.number]),
            ],
            [
                Write(key, msgspec.json.encode(progress)),
                self._clients.waves.build_status_write(wave.number, progress.is_done),
            ],
            [],
            COMMIT_TIMEOUT_MS,
        )
        if isinstance(outcome, Err):
            log.warning(
                "writing maintenance wave failed", wave=wave.number, failure=str(outcome.err_value)
            )
            # The commit may have taken effect, so the next step loads the progress again.
            self._progress.pop(wave.number, None)
            return False
        if isinstance(outcome.ok_value, Conflict):
            self._progress.pop(wave.number, None)
            return False
        self._revisions[wave.number] = outcome.ok_value
        self._progress[wave.number] = progress
        return True
