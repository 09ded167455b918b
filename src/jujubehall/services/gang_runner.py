"""Executes the actions of one gang and passes the results back to it as events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from jujubehall.core.jobs.gang_messages import CheckpointCompleted
from jujubehall.core.jobs.gang_messages import CommandPart
from jujubehall.core.jobs.gang_messages import PartRefused
from jujubehall.core.jobs.gang_messages import PartReported
from jujubehall.core.jobs.gang_messages import PartStep
from jujubehall.core.jobs.gang_messages import Refusal
from jujubehall.core.jobs.gang_messages import WriteRecord
from jujubehall.core.jobs.gang_timing import TASK_LEASE_MS
from jujubehall.errors import FailureKind
from jujubehall.services.async_utils import run_in_background
from jujubehall.workers.messages import Checkpoint
from jujubehall.workers.messages import Reserve
from jujubehall.workers.messages import Resources
from jujubehall.workers.messages import StartTask
from jujubehall.workers.messages import StopTask
from jujubehall.workers.refusals import is_no_room

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from jujubehall.clock import Clock
    from jujubehall.core.jobs.gang import Gang
    from jujubehall.core.jobs.gang_messages import GangAction
    from jujubehall.core.jobs.gang_messages import GangEvent
    from jujubehall.errors import Failure
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import WorkerName
    from jujubehall.services.job_store import JobStore
    from jujubehall.services.zone_workers import Command
    from jujubehall.services.zone_workers import WorkerResponse
    from jujubehall.services.zone_workers import ZoneWorkers


class GangRunner:
    """Runs one gang until it is done. All actions are executed concurrently."""

    def __init__(
        self,
        gang: Gang,
        clock: Clock,
        epoch: Epoch,
        store: JobStore,
        workers: ZoneWorkers,
        is_active: Callable[[], bool],
        on_change: Callable[[GangRunner], None],
    ) -> None:
        self.gang = gang
        self._clock = clock
        self._epoch = epoch
        self._store = store
        self._workers = workers
        self._is_active = is_active
        self._on_change = on_change

    @property
    def resources(self) -> Resources:
        """The resources that each part of the gang needs."""
        spec = self.gang.record.spec
        return Resources(spec.accelerators_per_part, spec.cores_per_part, spec.memory_gb_per_part)

    def deliver(self, event: GangEvent) -> None:
        """Passes an event to the gang and starts the actions that it returns.

        Ignored if the owner is no longer active.
        """
        if self._is_active():
            self.execute(self.gang.handle(event, self._clock.now_ms))

    def execute(self, actions: Iterable[GangAction]) -> None:
        """Starts actions in the background, without waiting for their results."""
        for action in actions:
            run_in_background(self._execute_action(action))
        self._on_change(self)

    def on_response(self, worker: WorkerName, response: WorkerResponse) -> None:
        """Notifies the gang of the state of its parts on a worker, from the worker's response."""
        states = {task.key: task.state for task in response.inventory.tasks}
        for number, part in enumerate(self.gang.parts):
            if part.worker == worker:
                state = states.get(part.key)
                self.deliver(
                    PartReported(
                        number,
                        state,
                        response.sent_at_ms,
                        response.sequence,
                        response.latest_sequence,
                    )
                )

    async def _execute_action(self, action: GangAction) -> None:
        if isinstance(action, WriteRecord):
            await self._write_record(action)
        else:
            await self._send_command(action)

    async def _write_record(self, action: WriteRecord) -> None:
        outcome = await self._store.write(action.record, action.version, self._is_active)
        if outcome is not None:
            self.deliver(outcome)

    async def _send_command(self, action: CommandPart) -> None:
        result = await self._workers.send(action.worker, self._make_command(action))
        if result is None or isinstance(result, Err):
            self._on_failure(action, result.err_value if result else None)
        elif action.step is PartStep.RESERVE and (status := self._workers.status(action.worker)):
            status.reset_no_room_back_off()
        if action.step is PartStep.CHECKPOINT:
            self.deliver(CheckpointCompleted(action.key.part))

    def _on_failure(self, action: CommandPart, failure: Failure | None) -> None:
        if action.step not in (PartStep.RESERVE, PartStep.START):
            return
        refusal = Refusal.UNREACHABLE
        if failure is not None and failure.kind is FailureKind.CONFLICT:
            refusal = Refusal.NO_ROOM if is_no_room(failure) else Refusal.NO_RESERVATION
        self.deliver(PartRefused(action.key.part, refusal))

    def _make_command(self, action: CommandPart) -> Command:
        match action.step:
            case PartStep.RESERVE:
                return Reserve(self._epoch, action.key, self.resources, TASK_LEASE_MS)
            case PartStep.START:
                command = self.gang.record.spec.command
                return StartTask(self._epoch, action.key, command, TASK_LEASE_MS)
            case PartStep.CHECKPOINT:
                return Checkpoint(self._epoch, action.key)
            case PartStep.STOP:
                return StopTask(self._epoch, action.key)
