"""State machine of one attempt to run a job as a gang: all of its parts run, or none of them.

The zone owner feeds it events and carries out the actions that it returns. An attempt records the
placement, reserves every part, records the start and then starts every part, in this order. Task
leases are renewed only while all parts are confirmed to be alive. The job is requeued or ended
only once no part can still be running. ``gang_timing`` documents the resulting time bounds.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.gang_messages import CheckpointCompleted
from jujubehall.core.jobs.gang_messages import CommandPart
from jujubehall.core.jobs.gang_messages import GangAction
from jujubehall.core.jobs.gang_messages import GangEvent
from jujubehall.core.jobs.gang_messages import PartRefused
from jujubehall.core.jobs.gang_messages import PartReported
from jujubehall.core.jobs.gang_messages import PartStep
from jujubehall.core.jobs.gang_messages import RecordChanged
from jujubehall.core.jobs.gang_messages import RecordWritten
from jujubehall.core.jobs.gang_messages import Refusal
from jujubehall.core.jobs.gang_messages import StopRequested
from jujubehall.core.jobs.gang_messages import Tick
from jujubehall.core.jobs.gang_messages import WorkerRemoved
from jujubehall.core.jobs.gang_messages import WriteRecord
from jujubehall.core.jobs.gang_timing import CHECKPOINT_TIMEOUT_MS
from jujubehall.core.jobs.gang_timing import COMMAND_TIMEOUT_MS
from jujubehall.core.jobs.gang_timing import OWNER_PAUSE_THRESHOLD_MS
from jujubehall.core.jobs.gang_timing import PART_UNSEEN_TIMEOUT_MS
from jujubehall.core.jobs.gang_timing import PARTIAL_GANG_BOUND_MS
from jujubehall.core.jobs.gang_timing import RESEND_INTERVAL_MS
from jujubehall.core.jobs.gang_timing import RESERVATION_TIMEOUT_MS
from jujubehall.core.jobs.gang_timing import TASK_LEASE_MS
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.retry_policy import apply_failure
from jujubehall.identifiers import WorkerName
from jujubehall.workers.messages import TaskKey
from jujubehall.workers.messages import TaskState

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.core.jobs.job import PartPlacement
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import Version

ACTIVE_TASK_STATES = (TaskState.RESERVED, TaskState.RUNNING, TaskState.CHECKPOINTED)
"""Task states in which a part occupies resources of its worker under a lease."""

_STARTED_STATES = (TaskState.RUNNING, TaskState.CHECKPOINTED, TaskState.SUCCEEDED)
_STATE_ORDER = {TaskState.RESERVED: 0, TaskState.RUNNING: 1, TaskState.CHECKPOINTED: 2}


class GangPhase(Enum):
    """The phases of an attempt."""

    NEW = "new"
    RECORDING_PLACEMENT = "recording"
    """The placement is being written to the job record, before any part is reserved."""

    RESERVING = "reserving"
    RECORDING_START = "deciding"
    """All parts are reserved and the start is being written to the job record."""

    STARTING = "starting"
    RUNNING = "running"
    ADOPTING = "adopting"
    """A new owner waits until every part of a gang that was running has been observed."""

    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    ENDING = "ending"
    """No part can run any more and the outcome is being recorded."""

    DONE = "done"


_PLACING_PHASES = (
    GangPhase.RECORDING_PLACEMENT,
    GangPhase.RESERVING,
    GangPhase.RECORDING_START,
    GangPhase.STARTING,
)
_RENEWING_PHASES = (
    GangPhase.RESERVING,
    GangPhase.RECORDING_START,
    GangPhase.STARTING,
    GangPhase.RUNNING,
    GangPhase.CHECKPOINTING,
)


class Part(msgspec.Struct):
    """The zone owner's knowledge of one part of a gang.

    ``fenced`` is set once the worker has responded to this owner: from then on the worker rejects
    commands of earlier owners. ``seen_at_ms`` is the send time of the latest command whose response
    showed the part in one of ``ACTIVE_TASK_STATES``. ``first_seen_sequence`` is the number of the
    last command sent to the worker when the part was first observed; responses to that command and
    earlier ones don't prove that the part is missing. ``last_lease_command_ms`` is the time of the
    last command that could have created or extended the part's lease. ``may_be_reserved`` is set
    once a reserve or start command was sent, ``may_run`` once a start command was sent.
    ``checkpoint_completed`` is set once a checkpoint command has completed, successfully or not.
    """

    key: TaskKey
    worker: WorkerName
    fenced: bool
    state: TaskState | None = None
    seen_at_ms: int | None = None
    first_seen_sequence: int | None = None
    last_lease_command_ms: int = 0
    may_be_reserved: bool = False
    may_run: bool = False
    is_ended: bool = False
    checkpoint_completed: bool = False

    def is_accounted_for(self, now_ms: int) -> bool:
        """Whether the part has succeeded or was recently observed to be active.

        Active means one of ``ACTIVE_TASK_STATES``, recently within ``PART_UNSEEN_TIMEOUT_MS``.
        """
        if self.state is TaskState.SUCCEEDED:
            return True
        if self.is_ended or self.state not in ACTIVE_TASK_STATES or self.seen_at_ms is None:
            return False
        return now_ms - self.seen_at_ms <= PART_UNSEEN_TIMEOUT_MS


class Gang:
    """State machine of one attempt; it has no clock and performs no I/O."""

    def __init__(
        self,
        record: JobRecord,
        version: Version,
        epoch: Epoch,
        is_quarantined: Callable[[WorkerName], bool],
    ) -> None:
        self._record = record
        self._version = version
        self._epoch = epoch
        self._is_quarantined = is_quarantined
        self._phase = GangPhase.NEW
        self._phase_since_ms = 0
        self._parts: list[Part] = []
        self._pending_write: JobRecord | None = None
        self._next_record: JobRecord | None = None
        self._first_fenced_at_ms: int | None = None
        self._started_at_ms: int | None = None
        self._reason = ""
        self._last_resent_at_ms = 0
        self._last_tick_at_ms = 0
        self._resumed_at_ms = 0

    @property
    def record(self) -> JobRecord:
        """The job's record as last known to be stored."""
        return self._record

    @property
    def version(self) -> Version:
        """The stored version of ``record``."""
        return self._version

    @property
    def phase(self) -> GangPhase:
        """The current phase of the attempt."""
        return self._phase

    @property
    def parts(self) -> list[Part]:
        """The parts in the order of their numbers."""
        return self._parts

    @property
    def is_placing(self) -> bool:
        """Whether the attempt has begun and its parts have not all started yet."""
        return self._phase in _PLACING_PHASES

    @property
    def is_stopping(self) -> bool:
        """Whether the attempt is being checkpointed, stopped or ended."""
        return self._phase in (GangPhase.CHECKPOINTING, GangPhase.STOPPING, GangPhase.ENDING)

    @property
    def started_at_ms(self) -> int | None:
        """When all parts were first observed to have started, or None before that."""
        return self._started_at_ms

    def begin(self, placement: tuple[PartPlacement, ...], now_ms: int) -> list[GangAction]:
        """Begins the attempt by recording the placement of the queued job."""
        assert self._record.state is JobState.QUEUED
        assert len(placement) == self._record.spec.parts
        reserving = msgspec.structs.replace(
            self._record,
            state=JobState.RESERVING,
            attempt=self._record.attempt + 1,
            epoch=self._epoch,
            placement=placement,
            reason="",
        )
        self._make_parts(reserving, fenced=True)
        self._enter_phase(GangPhase.RECORDING_PLACEMENT, now_ms)
        return self._write(reserving)

    def adopt(self, now_ms: int) -> list[GangAction]:
        """Takes over the attempt of an earlier owner.

        Stops the attempt unless its start was recorded and no cancellation was requested.
        """
        self._make_parts(self._record, fenced=False)
        for part in self._parts:
            part.may_be_reserved = True
            part.may_run = True
        self._enter_phase(GangPhase.ADOPTING, now_ms)
        if self._record.cancel_requested or self._record.state is not JobState.RUNNING:
            return self._stop(now_ms, "the zone owner changed before the job started")
        return []

    def renewable_keys(self, worker: WorkerName, now_ms: int) -> tuple[TaskKey, ...]:
        """Returns the tasks on a worker whose leases may be renewed now."""
        if self._phase not in _RENEWING_PHASES or not self._may_renew(now_ms):
            return ()
        renewed = [
            part
            for part in self._parts
            if part.worker == worker and part.state in ACTIVE_TASK_STATES
        ]
        for part in renewed:
            part.last_lease_command_ms = now_ms
        return tuple(part.key for part in renewed)

    def handle(self, event: GangEvent, now_ms: int) -> list[GangAction]:
        """Processes an event and returns the resulting actions."""
        actions = self._dispatch(event, now_ms)
        self._check_invariants(actions)
        return actions

    def _dispatch(self, event: GangEvent, now_ms: int) -> list[GangAction]:
        if self._phase is GangPhase.DONE:
            return []
        match event:
            case RecordWritten():
                return self._on_record_written(event, now_ms)
            case RecordChanged():
                return self._on_record_changed(event, now_ms)
            case PartReported():
                return self._on_part_reported(event, now_ms)
            case PartRefused():
                return self._on_part_refused(event, now_ms)
            case CheckpointCompleted():
                self._parts[event.part].checkpoint_completed = True
                return self._after_checkpoint(now_ms)
            case WorkerRemoved():
                return self._on_worker_removed(event, now_ms)
            case StopRequested():
                return self._on_stop_requested(event, now_ms)
            case Tick():
                return self._on_tick(now_ms)

    # Record

    def _write(self, record: JobRecord) -> list[GangAction]:
        assert self._pending_write is None, "a write of the record is already in progress"
        self._pending_write = record
        return [WriteRecord(record, self._version)]

    def _on_record_written(self, event: RecordWritten, now_ms: int) -> list[GangAction]:
        assert self._pending_write is not None
        self._record = self._pending_write
        self._version = event.version
        self._pending_write = None
        if self._phase is GangPhase.RECORDING_PLACEMENT:
            self._enter_phase(GangPhase.RESERVING, now_ms)
            return self._command_all(PartStep.RESERVE, now_ms)
        if self._phase is GangPhase.RECORDING_START:
            return self._start_all(now_ms)
        if self._phase is GangPhase.ENDING:
            self._enter_phase(GangPhase.DONE, now_ms)
            return []
        return self._try_end(now_ms)

    def _on_record_changed(self, event: RecordChanged, now_ms: int) -> list[GangAction]:
        if event.version <= self._version and event.record is not None:
            return []
        rejected = self._pending_write
        if event.write_failed:
            self._pending_write = None
        elif self._pending_write is not None:
            # The result of the pending write will account for this change.
            return []
        own_record = self._record if self._phase is not GangPhase.RECORDING_PLACEMENT else None
        changed = event.record
        if own_record is None:
            self._enter_phase(GangPhase.DONE, now_ms)
            return []
        if changed is not None:
            self._record = changed
            self._version = event.version
        if changed is None or changed.state.is_final:
            self._next_record = None
            self._reason = "the job has ended"
            self._record = changed or msgspec.structs.replace(own_record, state=JobState.CANCELLED)
            return self._stop_parts(now_ms)
        if changed.epoch > self._epoch or changed.attempt != own_record.attempt:
            # A later owner has taken over the job and stops any remaining parts.
            self._enter_phase(GangPhase.DONE, now_ms)
            return []
        if self._phase is GangPhase.ENDING and rejected is not None:
            self._enter_phase(GangPhase.STOPPING, now_ms)
            self._next_record = msgspec.structs.replace(
                rejected, cancel_requested=changed.cancel_requested
            )
            return self._try_end(now_ms)
        if self._phase is GangPhase.STOPPING:
            return self._try_end(now_ms)
        if changed.cancel_requested or not self._is_running:
            return self._stop(now_ms, "the job record changed during placement")
        return []

    @property
    def _is_running(self) -> bool:
        return self._phase in (GangPhase.RUNNING, GangPhase.STARTING, GangPhase.ADOPTING)

    # Parts

    def _make_parts(self, record: JobRecord, *, fenced: bool) -> None:
        self._parts = [
            Part(TaskKey(record.id, record.attempt, placed.part), placed.worker, fenced)
            for placed in record.placement
        ]

    def _on_part_reported(self, event: PartReported, now_ms: int) -> list[GangAction]:
        part = self._parts[event.part]
        if not part.fenced:
            # An earlier owner may have renewed the lease just before this response.
            part.fenced = True
            part.last_lease_command_ms = now_ms
        if self._first_fenced_at_ms is None:
            self._first_fenced_at_ms = now_ms
        if part.is_ended:
            return []
        if event.state is None:
            return self._on_part_missing(part, event, now_ms)
        if part.first_seen_sequence is None:
            part.first_seen_sequence = event.latest_sequence
        if event.state in ACTIVE_TASK_STATES:
            self._update_active_part(part, event)
        else:
            part.state = event.state
            part.is_ended = True
        return self._after_part_update(part, now_ms)

    def _update_active_part(self, part: Part, event: PartReported) -> None:
        assert event.state is not None
        if part.state is None or _STATE_ORDER[event.state] >= _STATE_ORDER.get(part.state, 0):
            part.state = event.state
        part.seen_at_ms = max(part.seen_at_ms or 0, event.sent_at_ms)

    def _on_part_missing(self, part: Part, event: PartReported, now_ms: int) -> list[GangAction]:
        if part.first_seen_sequence is None and self._phase in _PLACING_PHASES:
            # The reserve command may not have arrived yet.
            return []
        if part.first_seen_sequence is not None and event.sequence <= part.first_seen_sequence:
            # The response may predate the reservation.
            return []
        part.state = None
        part.is_ended = True
        return self._after_part_update(part, now_ms)

    def _after_part_update(self, part: Part, now_ms: int) -> list[GangAction]:
        if self._phase is GangPhase.STOPPING:
            return self._try_end(now_ms)
        if self._phase is GangPhase.ENDING:
            return []
        if part.state is TaskState.FAILED:
            return self._fail(part, now_ms)
        if part.is_ended and part.state is not TaskState.SUCCEEDED:
            return self._stop(now_ms, f"part lost on worker {part.worker}")
        return self._advance(now_ms)

    def _advance(self, now_ms: int) -> list[GangAction]:
        states = [part.state for part in self._parts]
        if self._phase is GangPhase.RESERVING and all(s is TaskState.RESERVED for s in states):
            self._enter_phase(GangPhase.RECORDING_START, now_ms)
            return self._write(msgspec.structs.replace(self._record, state=JobState.RUNNING))
        if self._phase is GangPhase.ADOPTING and all(
            state in (*ACTIVE_TASK_STATES, TaskState.SUCCEEDED) for state in states
        ):
            return self._start_all(now_ms)
        if self._phase is GangPhase.STARTING and all(state in _STARTED_STATES for state in states):
            self._enter_phase(GangPhase.RUNNING, now_ms)
            self._started_at_ms = now_ms
        if self._phase is GangPhase.RUNNING and self._all_succeeded:
            self._enter_phase(GangPhase.STOPPING, now_ms)
            return self._try_end(now_ms)
        return self._after_checkpoint(now_ms)

    @property
    def _all_succeeded(self) -> bool:
        return all(part.state is TaskState.SUCCEEDED for part in self._parts)

    def _start_all(self, now_ms: int) -> list[GangAction]:
        assert self._record.state is JobState.RUNNING, "the start must be recorded first"
        self._enter_phase(GangPhase.STARTING, now_ms)
        reserved = [part for part in self._parts if part.state is TaskState.RESERVED]
        return self._command(PartStep.START, reserved, now_ms) + self._advance(now_ms)

    def _on_part_refused(self, event: PartRefused, now_ms: int) -> list[GangAction]:
        part = self._parts[event.part]
        reservation_lost = (
            event.refusal is Refusal.NO_RESERVATION and self._phase is GangPhase.STARTING
        )
        if self._phase is GangPhase.RESERVING or reservation_lost:
            return self._stop(now_ms, f"worker {part.worker}: {event.refusal.value}")
        return []

    def _on_worker_removed(self, event: WorkerRemoved, now_ms: int) -> list[GangAction]:
        lost_parts = [
            part for part in self._parts if part.worker == event.worker and not part.is_ended
        ]
        actions: list[GangAction] = []
        for part in lost_parts:
            part.is_ended = True
            part.state = None
            actions += self._after_part_update(part, now_ms)
        return actions

    # End

    def _on_stop_requested(self, event: StopRequested, now_ms: int) -> list[GangAction]:
        if self._phase in _PLACING_PHASES or self._phase is GangPhase.ADOPTING:
            return self._stop(now_ms, event.reason)
        if event.immediate and self._phase in (GangPhase.RUNNING, GangPhase.CHECKPOINTING):
            return self._stop(now_ms, event.reason)
        if self._phase is not GangPhase.RUNNING:
            return []
        self._reason = event.reason
        self._enter_phase(GangPhase.CHECKPOINTING, now_ms)
        running = [part for part in self._parts if part.state in ACTIVE_TASK_STATES]
        return self._command(PartStep.CHECKPOINT, running, now_ms)

    def _after_checkpoint(self, now_ms: int) -> list[GangAction]:
        if self._phase is not GangPhase.CHECKPOINTING:
            return []
        if not all(part.checkpoint_completed or part.is_ended for part in self._parts):
            return []
        if not self._all_succeeded and all(
            part.state in (TaskState.CHECKPOINTED, TaskState.SUCCEEDED) for part in self._parts
        ):
            run_ms = now_ms - (now_ms if self._started_at_ms is None else self._started_at_ms)
            progress_ms = self._record.progress_ms + run_ms
            self._record = msgspec.structs.replace(self._record, progress_ms=progress_ms)
        return self._stop(now_ms, self._reason)

    def _stop(self, now_ms: int, reason: str) -> list[GangAction]:
        self._reason = reason
        return self._stop_parts(now_ms)

    def _fail(self, part: Part, now_ms: int) -> list[GangAction]:
        failed = apply_failure(self._record, part.worker, self._is_quarantined)
        self._reason = failed.reason
        placement = self._record.placement if failed.state.is_final else ()
        self._next_record = msgspec.structs.replace(failed, epoch=self._epoch, placement=placement)
        return self._stop_parts(now_ms)

    def _stop_parts(self, now_ms: int) -> list[GangAction]:
        self._enter_phase(GangPhase.STOPPING, now_ms)
        self._last_resent_at_ms = now_ms
        return self._command(PartStep.STOP, self._unfinished_parts(), now_ms) + self._try_end(
            now_ms
        )

    def _unfinished_parts(self) -> list[Part]:
        return [part for part in self._parts if part.may_be_reserved and not part.is_ended]

    def _try_end(self, now_ms: int) -> list[GangAction]:
        if self._phase is not GangPhase.STOPPING or self._pending_write is not None:
            return []
        if any(self._blocks_end(part, now_ms) for part in self._parts):
            return []
        if self._record.state.is_final:
            self._enter_phase(GangPhase.DONE, now_ms)
            return []
        next_record = self._next_record or self._requeued_record(self._reason)
        if self._all_succeeded:
            next_record = self._record_with_state(JobState.SUCCEEDED, "")
        if self._record.cancel_requested and not next_record.state.is_final:
            next_record = self._record_with_state(JobState.CANCELLED, "cancelled")
        self._enter_phase(GangPhase.ENDING, now_ms)
        return self._write(next_record)

    def _blocks_end(self, part: Part, now_ms: int) -> bool:
        if part.is_ended or not part.may_be_reserved:
            return False
        if part.may_run:
            return True
        # A part that is only reserved can't run. Its release is awaited, for a limited time, only
        # so that the free capacity is known.
        return now_ms - self._phase_since_ms < 2 * COMMAND_TIMEOUT_MS

    def _requeued_record(self, reason: str) -> JobRecord:
        return msgspec.structs.replace(
            self._record_with_state(JobState.QUEUED, reason), placement=()
        )

    def _record_with_state(self, state: JobState, reason: str) -> JobRecord:
        return msgspec.structs.replace(self._record, state=state, reason=reason, epoch=self._epoch)

    # Time

    def _on_tick(self, now_ms: int) -> list[GangAction]:
        if now_ms - self._last_tick_at_ms > OWNER_PAUSE_THRESHOLD_MS:
            # The owner was paused and could not receive its workers' responses meanwhile.
            self._resumed_at_ms = now_ms
        self._last_tick_at_ms = now_ms
        in_phase_ms = now_ms - max(self._phase_since_ms, self._resumed_at_ms)
        if self._phase in (GangPhase.RESERVING, GangPhase.RECORDING_START):
            if in_phase_ms > RESERVATION_TIMEOUT_MS:
                return self._stop(now_ms, "timed out while reserving or recording the start")
        elif self._phase in (GangPhase.STARTING, GangPhase.ADOPTING):
            return self._on_tick_before_run(in_phase_ms, now_ms)
        elif self._phase is GangPhase.RUNNING:
            unseen = [part for part in self._parts if not part.is_accounted_for(now_ms)]
            if unseen and now_ms - self._resumed_at_ms > PART_UNSEEN_TIMEOUT_MS:
                return self._stop(now_ms, f"worker {unseen[0].worker} is unreachable")
        elif self._phase is GangPhase.CHECKPOINTING and in_phase_ms > CHECKPOINT_TIMEOUT_MS:
            return self._stop(now_ms, self._reason)
        elif self._phase is GangPhase.STOPPING:
            return self._on_tick_stopping(now_ms)
        return []

    def _on_tick_before_run(self, in_phase_ms: int, now_ms: int) -> list[GangAction]:
        if in_phase_ms > PART_UNSEEN_TIMEOUT_MS:
            return self._stop(now_ms, "timed out waiting for all parts to run")
        if self._phase is GangPhase.STARTING and self._may_resend(now_ms):
            unstarted = [part for part in self._parts if part.state is TaskState.RESERVED]
            return self._command(PartStep.START, unstarted, now_ms)
        return []

    def _on_tick_stopping(self, now_ms: int) -> list[GangAction]:
        for part in self._unfinished_parts():
            if part.may_run and not self._may_still_run(part, now_ms):
                part.is_ended = True
        commands: list[GangAction] = []
        if self._may_resend(now_ms):
            commands = self._command(PartStep.STOP, self._unfinished_parts(), now_ms)
        return commands + self._try_end(now_ms)

    def _may_resend(self, now_ms: int) -> bool:
        if now_ms - self._last_resent_at_ms < RESEND_INTERVAL_MS:
            return False
        self._last_resent_at_ms = now_ms
        return True

    def _may_still_run(self, part: Part, now_ms: int) -> bool:
        if part.fenced:
            return now_ms <= part.last_lease_command_ms + 2 * TASK_LEASE_MS
        if self._first_fenced_at_ms is None:
            # An earlier owner may still be renewing the gang on workers this owner can't reach.
            return True
        return now_ms <= self._first_fenced_at_ms + PARTIAL_GANG_BOUND_MS

    # Commands

    def _command_all(self, step: PartStep, now_ms: int) -> list[GangAction]:
        return self._command(step, self._parts, now_ms)

    def _command(self, step: PartStep, parts: list[Part], now_ms: int) -> list[GangAction]:
        for part in parts:
            if step in (PartStep.RESERVE, PartStep.START):
                part.last_lease_command_ms = now_ms
                part.may_be_reserved = True
            part.may_run = part.may_run or step is PartStep.START
        return [CommandPart(step, part.key, part.worker) for part in parts]

    def _may_renew(self, now_ms: int) -> bool:
        if self._phase in (GangPhase.RESERVING, GangPhase.RECORDING_START):
            return True
        return self._all_parts_accounted_for(now_ms)

    def _all_parts_accounted_for(self, now_ms: int) -> bool:
        return all(part.is_accounted_for(now_ms) for part in self._parts)

    def _enter_phase(self, phase: GangPhase, now_ms: int) -> None:
        if phase is not self._phase:
            self._phase = phase
            self._phase_since_ms = now_ms

    def _check_invariants(self, actions: list[GangAction]) -> None:
        if self._phase is GangPhase.ENDING:
            assert not any(part.may_run and not part.is_ended for part in self._parts)
        if any(isinstance(a, CommandPart) and a.step is PartStep.START for a in actions):
            assert self._record.state is JobState.RUNNING
            assert all(part.state is not None for part in self._parts)
        if self._phase is GangPhase.RUNNING:
            assert all(part.state in _STARTED_STATES for part in self._parts)
