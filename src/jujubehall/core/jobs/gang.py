"""One attempt to run a job: all its parts, or none of them.

The owner of the zone drives it with events and carries its actions out. The order is: record the
placement, reserve every part, record the start, start every part. Leases are renewed only while
all parts are known to hold, and the job is queued again or ended only when no part can still run.
``gang_timing`` states the bounds that follow.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.attempts import after_failure
from jujubehall.core.jobs.gang_messages import CommandPart
from jujubehall.core.jobs.gang_messages import GangAction
from jujubehall.core.jobs.gang_messages import GangEvent
from jujubehall.core.jobs.gang_messages import PartRefused
from jujubehall.core.jobs.gang_messages import PartSaved
from jujubehall.core.jobs.gang_messages import PartSeen
from jujubehall.core.jobs.gang_messages import PartStep
from jujubehall.core.jobs.gang_messages import RecordChanged
from jujubehall.core.jobs.gang_messages import RecordWritten
from jujubehall.core.jobs.gang_messages import Refusal
from jujubehall.core.jobs.gang_messages import StopWanted
from jujubehall.core.jobs.gang_messages import TimePassed
from jujubehall.core.jobs.gang_messages import WorkerGone
from jujubehall.core.jobs.gang_messages import WriteRecord
from jujubehall.core.jobs.gang_timing import CHECKPOINT_LIMIT_MS
from jujubehall.core.jobs.gang_timing import COMMAND_TIMEOUT_MS
from jujubehall.core.jobs.gang_timing import DECISION_LIMIT_MS
from jujubehall.core.jobs.gang_timing import PARTIAL_GANG_BOUND_MS
from jujubehall.core.jobs.gang_timing import PAUSE_MS
from jujubehall.core.jobs.gang_timing import RESEND_INTERVAL_MS
from jujubehall.core.jobs.gang_timing import TASK_LEASE_MS
from jujubehall.core.jobs.gang_timing import UNSEEN_LIMIT_MS
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import WorkerName
from jujubehall.workers.messages import TaskKey
from jujubehall.workers.messages import TaskState

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.core.jobs.job import PartPlacement
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import Version

HOLDING = (TaskState.RESERVED, TaskState.RUNNING, TaskState.CHECKPOINTED)
_STARTED = (TaskState.RUNNING, TaskState.CHECKPOINTED, TaskState.SUCCEEDED)
_ORDER = {TaskState.RESERVED: 0, TaskState.RUNNING: 1, TaskState.CHECKPOINTED: 2}


class GangPhase(Enum):
    """How far the attempt has come."""

    NEW = "new"
    RECORDING = "recording"
    RESERVING = "reserving"
    DECIDING = "deciding"
    STARTING = "starting"
    RUNNING = "running"
    ADOPTING = "adopting"
    """A new owner waits to see every part of a gang that was running."""

    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    ENDING = "ending"
    DONE = "done"


_PLACING = (GangPhase.RECORDING, GangPhase.RESERVING, GangPhase.DECIDING, GangPhase.STARTING)
_RENEWING = (
    GangPhase.RESERVING,
    GangPhase.DECIDING,
    GangPhase.STARTING,
    GangPhase.RUNNING,
    GangPhase.CHECKPOINTING,
)


class Part(msgspec.Struct):
    """What the owner knows of one part.

    ``last_sent_ms`` is the time of the last command that could have begun or prolonged the part,
    ``is_reserved`` whether any such command was sent, ``may_run`` whether a start was.
    ``fenced`` says that its worker has answered this owner, so that no earlier one can reach it.
    """

    key: TaskKey
    worker: WorkerName
    fenced: bool
    state: TaskState | None = None
    seen_at_ms: int | None = None
    settled_sequence: int | None = None
    last_sent_ms: int = 0
    is_reserved: bool = False
    may_run: bool = False
    is_ended: bool = False
    is_saved: bool = False

    def is_known(self, now_ms: int) -> bool:
        """Whether the part succeeded or was lately seen to hold its place."""
        if self.state is TaskState.SUCCEEDED:
            return True
        if self.is_ended or self.state not in HOLDING or self.seen_at_ms is None:
            return False
        return now_ms - self.seen_at_ms <= UNSEEN_LIMIT_MS


class Gang:
    """The state machine of one attempt; it has no clock and does no input or output."""

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
        self._written: JobRecord | None = None
        self._next: JobRecord | None = None
        self._first_fenced_ms: int | None = None
        self._started_at_ms: int | None = None
        self._reason = ""
        self._resent_at_ms = 0
        self._ticked_at_ms = 0
        self._resumed_at_ms = 0

    @property
    def record(self) -> JobRecord:
        """The record as last known to be written."""
        return self._record

    @property
    def version(self) -> Version:
        """The version of ``record``."""
        return self._version

    @property
    def phase(self) -> GangPhase:
        """How far the attempt has come."""
        return self._phase

    @property
    def parts(self) -> list[Part]:
        """The parts, in order."""
        return self._parts

    @property
    def is_placing(self) -> bool:
        """Whether the attempt is on its way to run."""
        return self._phase in _PLACING

    @property
    def is_stopping(self) -> bool:
        """Whether the attempt is on its way to its end."""
        return self._phase in (GangPhase.CHECKPOINTING, GangPhase.STOPPING, GangPhase.ENDING)

    @property
    def started_at_ms(self) -> int | None:
        """When all parts were first seen to run."""
        return self._started_at_ms

    def begin(self, placement: tuple[PartPlacement, ...], now_ms: int) -> list[GangAction]:
        """Starts the attempt with the record of a queued job."""
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
        self._enter(GangPhase.RECORDING, now_ms)
        return self._write(reserving)

    def adopt(self, now_ms: int) -> list[GangAction]:
        """Takes over the attempt of an earlier owner."""
        self._make_parts(self._record, fenced=False)
        for part in self._parts:
            part.is_reserved = True
            part.may_run = True
        self._enter(GangPhase.ADOPTING, now_ms)
        if self._record.cancel_requested or self._record.state is not JobState.RUNNING:
            return self._stop(now_ms, "the owner of the zone changed before the start")
        return []

    def renewable(self, worker: WorkerName, now_ms: int) -> tuple[TaskKey, ...]:
        """The keys whose leases on a worker may be renewed now."""
        if self._phase not in _RENEWING or not self._may_renew(now_ms):
            return ()
        renewed = [part for part in self._parts if part.worker == worker and part.state in HOLDING]
        for part in renewed:
            part.last_sent_ms = now_ms
        return tuple(part.key for part in renewed)

    def handle(self, event: GangEvent, now_ms: int) -> list[GangAction]:
        """Takes an event in and returns what is to be done."""
        actions = self._dispatch(event, now_ms)
        self._check_invariants(actions)
        return actions

    def _dispatch(self, event: GangEvent, now_ms: int) -> list[GangAction]:
        if self._phase is GangPhase.DONE:
            return []
        match event:
            case RecordWritten():
                return self._on_written(event, now_ms)
            case RecordChanged():
                return self._on_changed(event, now_ms)
            case PartSeen():
                return self._on_seen(event, now_ms)
            case PartRefused():
                return self._on_refused(event, now_ms)
            case PartSaved():
                self._parts[event.part].is_saved = True
                return self._after_checkpoint(now_ms)
            case WorkerGone():
                return self._on_worker_gone(event, now_ms)
            case StopWanted():
                return self._on_stop_wanted(event, now_ms)
            case TimePassed():
                return self._on_time(now_ms)

    # Record

    def _write(self, record: JobRecord) -> list[GangAction]:
        assert self._written is None, "one write at a time"
        self._written = record
        return [WriteRecord(record, self._version)]

    def _on_written(self, event: RecordWritten, now_ms: int) -> list[GangAction]:
        assert self._written is not None
        self._record = self._written
        self._version = event.version
        self._written = None
        if self._phase is GangPhase.RECORDING:
            self._enter(GangPhase.RESERVING, now_ms)
            return self._command_all(PartStep.RESERVE, now_ms)
        if self._phase is GangPhase.DECIDING:
            return self._start_all(now_ms)
        if self._phase is GangPhase.ENDING:
            self._enter(GangPhase.DONE, now_ms)
            return []
        return self._try_end(now_ms)

    def _on_changed(self, event: RecordChanged, now_ms: int) -> list[GangAction]:
        if event.version <= self._version and event.record is not None:
            return []
        lost = self._written
        if event.write_failed:
            self._written = None
        elif self._written is not None:
            # The write in progress will be answered, and then with this change.
            return []
        ours = self._record if self._phase is not GangPhase.RECORDING else None
        changed = event.record
        if ours is None:
            self._enter(GangPhase.DONE, now_ms)
            return []
        if changed is not None:
            self._record = changed
            self._version = event.version
        if changed is None or changed.state.is_final:
            self._next = None
            self._reason = "the job has ended"
            self._record = changed or msgspec.structs.replace(ours, state=JobState.CANCELLED)
            return self._stop_parts(now_ms)
        if changed.epoch > self._epoch or changed.attempt != ours.attempt:
            # A later owner has acted: it stops what must be stopped.
            self._enter(GangPhase.DONE, now_ms)
            return []
        if self._phase is GangPhase.ENDING and lost is not None:
            self._enter(GangPhase.STOPPING, now_ms)
            self._next = msgspec.structs.replace(lost, cancel_requested=changed.cancel_requested)
            return self._try_end(now_ms)
        if self._phase is GangPhase.STOPPING:
            return self._try_end(now_ms)
        if changed.cancel_requested or not self._is_running:
            return self._stop(now_ms, "the record was changed during the placement")
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

    def _on_seen(self, event: PartSeen, now_ms: int) -> list[GangAction]:
        part = self._parts[event.part]
        if not part.fenced:
            # The earlier owner may have renewed the part just before.
            part.fenced = True
            part.last_sent_ms = now_ms
        if self._first_fenced_ms is None:
            self._first_fenced_ms = now_ms
        if part.is_ended:
            return []
        if event.state is None:
            return self._on_missing(part, event, now_ms)
        if part.settled_sequence is None:
            part.settled_sequence = event.latest
        if event.state in HOLDING:
            self._note_holding(part, event)
        else:
            part.state = event.state
            part.is_ended = True
        return self._after_seen(part, now_ms)

    def _note_holding(self, part: Part, event: PartSeen) -> None:
        assert event.state is not None
        if part.state is None or _ORDER[event.state] >= _ORDER.get(part.state, 0):
            part.state = event.state
        part.seen_at_ms = max(part.seen_at_ms or 0, event.sent_at_ms)

    def _on_missing(self, part: Part, event: PartSeen, now_ms: int) -> list[GangAction]:
        if part.settled_sequence is None and self._phase in _PLACING:
            # Its reservation is still on the way.
            return []
        if part.settled_sequence is not None and event.sequence <= part.settled_sequence:
            # The answer may describe a moment before the reservation.
            return []
        part.state = None
        part.is_ended = True
        return self._after_seen(part, now_ms)

    def _after_seen(self, part: Part, now_ms: int) -> list[GangAction]:
        if self._phase is GangPhase.STOPPING:
            return self._try_end(now_ms)
        if self._phase is GangPhase.ENDING:
            return []
        if part.state is TaskState.FAILED:
            return self._fail(part, now_ms)
        if part.is_ended and part.state is not TaskState.SUCCEEDED:
            return self._stop(now_ms, f"a part was lost on {part.worker}")
        return self._advance(now_ms)

    def _advance(self, now_ms: int) -> list[GangAction]:
        states = [part.state for part in self._parts]
        if self._phase is GangPhase.RESERVING and all(s is TaskState.RESERVED for s in states):
            self._enter(GangPhase.DECIDING, now_ms)
            return self._write(msgspec.structs.replace(self._record, state=JobState.RUNNING))
        if self._phase is GangPhase.ADOPTING and all(
            state in (*HOLDING, TaskState.SUCCEEDED) for state in states
        ):
            return self._start_all(now_ms)
        if self._phase is GangPhase.STARTING and all(state in _STARTED for state in states):
            self._enter(GangPhase.RUNNING, now_ms)
            self._started_at_ms = now_ms
        if self._phase is GangPhase.RUNNING and self._all_succeeded:
            self._enter(GangPhase.STOPPING, now_ms)
            return self._try_end(now_ms)
        return self._after_checkpoint(now_ms)

    @property
    def _all_succeeded(self) -> bool:
        return all(part.state is TaskState.SUCCEEDED for part in self._parts)

    def _start_all(self, now_ms: int) -> list[GangAction]:
        assert self._record.state is JobState.RUNNING, "a start needs its record"
        self._enter(GangPhase.STARTING, now_ms)
        reserved = [part for part in self._parts if part.state is TaskState.RESERVED]
        return self._command(PartStep.START, reserved, now_ms) + self._advance(now_ms)

    def _on_refused(self, event: PartRefused, now_ms: int) -> list[GangAction]:
        part = self._parts[event.part]
        is_lost = event.refusal is Refusal.NO_RESERVATION and self._phase is GangPhase.STARTING
        if self._phase is GangPhase.RESERVING or is_lost:
            return self._stop(now_ms, f"{part.worker}: {event.refusal.value}")
        return []

    def _on_worker_gone(self, event: WorkerGone, now_ms: int) -> list[GangAction]:
        gone = [part for part in self._parts if part.worker == event.worker and not part.is_ended]
        actions: list[GangAction] = []
        for part in gone:
            part.is_ended = True
            part.state = None
            actions += self._after_seen(part, now_ms)
        return actions

    # End

    def _on_stop_wanted(self, event: StopWanted, now_ms: int) -> list[GangAction]:
        if self._phase in _PLACING or self._phase is GangPhase.ADOPTING:
            return self._stop(now_ms, event.reason)
        if event.at_once and self._phase in (GangPhase.RUNNING, GangPhase.CHECKPOINTING):
            return self._stop(now_ms, event.reason)
        if self._phase is not GangPhase.RUNNING:
            return []
        self._reason = event.reason
        self._enter(GangPhase.CHECKPOINTING, now_ms)
        running = [part for part in self._parts if part.state in HOLDING]
        return self._command(PartStep.CHECKPOINT, running, now_ms)

    def _after_checkpoint(self, now_ms: int) -> list[GangAction]:
        if self._phase is not GangPhase.CHECKPOINTING:
            return []
        if not all(part.is_saved or part.is_ended for part in self._parts):
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
        failed = after_failure(self._record, part.worker, self._is_quarantined)
        self._reason = failed.reason
        placement = self._record.placement if failed.state.is_final else ()
        self._next = msgspec.structs.replace(failed, epoch=self._epoch, placement=placement)
        return self._stop_parts(now_ms)

    def _stop_parts(self, now_ms: int) -> list[GangAction]:
        self._enter(GangPhase.STOPPING, now_ms)
        self._resent_at_ms = now_ms
        return self._command(PartStep.STOP, self._open_parts(), now_ms) + self._try_end(now_ms)

    def _open_parts(self) -> list[Part]:
        return [part for part in self._parts if part.is_reserved and not part.is_ended]

    def _try_end(self, now_ms: int) -> list[GangAction]:
        if self._phase is not GangPhase.STOPPING or self._written is not None:
            return []
        if any(self._blocks_the_end(part, now_ms) for part in self._parts):
            return []
        if self._record.state.is_final:
            self._enter(GangPhase.DONE, now_ms)
            return []
        following = self._next or self._requeued(self._reason)
        if self._all_succeeded:
            following = self._ended(JobState.SUCCEEDED, "")
        if self._record.cancel_requested and not following.state.is_final:
            following = self._ended(JobState.CANCELLED, "cancelled")
        self._enter(GangPhase.ENDING, now_ms)
        return self._write(following)

    def _blocks_the_end(self, part: Part, now_ms: int) -> bool:
        if part.is_ended or not part.is_reserved:
            return False
        if part.may_run:
            return True
        # A reservation alone can't run: its release is awaited only to know the free space.
        return now_ms - self._phase_since_ms < 2 * COMMAND_TIMEOUT_MS

    def _requeued(self, reason: str) -> JobRecord:
        return msgspec.structs.replace(self._ended(JobState.QUEUED, reason), placement=())

    def _ended(self, state: JobState, reason: str) -> JobRecord:
        return msgspec.structs.replace(self._record, state=state, reason=reason, epoch=self._epoch)

    # Time

    def _on_time(self, now_ms: int) -> list[GangAction]:
        if now_ms - self._ticked_at_ms > PAUSE_MS:
            # The owner was paused: its workers had no chance to be seen.
            self._resumed_at_ms = now_ms
        self._ticked_at_ms = now_ms
        in_phase_ms = now_ms - max(self._phase_since_ms, self._resumed_at_ms)
        if self._phase in (GangPhase.RESERVING, GangPhase.DECIDING):
            if in_phase_ms > DECISION_LIMIT_MS:
                return self._stop(now_ms, "the start could not be recorded in time")
        elif self._phase in (GangPhase.STARTING, GangPhase.ADOPTING):
            return self._on_time_before_run(in_phase_ms, now_ms)
        elif self._phase is GangPhase.RUNNING:
            unseen = [part for part in self._parts if not part.is_known(now_ms)]
            if unseen and now_ms - self._resumed_at_ms > UNSEEN_LIMIT_MS:
                return self._stop(now_ms, f"{unseen[0].worker} can't be reached")
        elif self._phase is GangPhase.CHECKPOINTING and in_phase_ms > CHECKPOINT_LIMIT_MS:
            return self._stop(now_ms, self._reason)
        elif self._phase is GangPhase.STOPPING:
            return self._on_time_stopping(now_ms)
        return []

    def _on_time_before_run(self, in_phase_ms: int, now_ms: int) -> list[GangAction]:
        if in_phase_ms > UNSEEN_LIMIT_MS:
            return self._stop(now_ms, "not all parts were seen to run")
        if self._phase is GangPhase.STARTING and self._may_resend(now_ms):
            waiting = [part for part in self._parts if part.state is TaskState.RESERVED]
            return self._command(PartStep.START, waiting, now_ms)
        return []

    def _on_time_stopping(self, now_ms: int) -> list[GangAction]:
        for part in self._open_parts():
            if part.may_run and not self._may_still_run(part, now_ms):
                part.is_ended = True
        resent: list[GangAction] = []
        if self._may_resend(now_ms):
            resent = self._command(PartStep.STOP, self._open_parts(), now_ms)
        return resent + self._try_end(now_ms)

    def _may_resend(self, now_ms: int) -> bool:
        if now_ms - self._resent_at_ms < RESEND_INTERVAL_MS:
            return False
        self._resent_at_ms = now_ms
        return True

    def _may_still_run(self, part: Part, now_ms: int) -> bool:
        if part.fenced:
            return now_ms <= part.last_sent_ms + 2 * TASK_LEASE_MS
        if self._first_fenced_ms is None:
            # An earlier owner may still be renewing the whole gang where this one can't reach.
            return True
        return now_ms <= self._first_fenced_ms + PARTIAL_GANG_BOUND_MS

    # Commands

    def _command_all(self, step: PartStep, now_ms: int) -> list[GangAction]:
        return self._command(step, self._parts, now_ms)

    def _command(self, step: PartStep, parts: list[Part], now_ms: int) -> list[GangAction]:
        for part in parts:
            if step in (PartStep.RESERVE, PartStep.START):
                part.last_sent_ms = now_ms
                part.is_reserved = True
            part.may_run = part.may_run or step is PartStep.START
        return [CommandPart(step, part.key, part.worker) for part in parts]

    def _may_renew(self, now_ms: int) -> bool:
        if self._phase in (GangPhase.RESERVING, GangPhase.DECIDING):
            return True
        return self._all_known(now_ms)

    def _all_known(self, now_ms: int) -> bool:
        return all(part.is_known(now_ms) for part in self._parts)

    def _enter(self, phase: GangPhase, now_ms: int) -> None:
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
            assert all(part.state in _STARTED for part in self._parts)
