"""Events that drive the gang state machine and actions that it requests."""

from __future__ import annotations

from enum import Enum

import msgspec

from jujubehall.core.jobs.job import JobRecord
from jujubehall.identifiers import Version
from jujubehall.identifiers import WorkerName
from jujubehall.workers.messages import TaskKey
from jujubehall.workers.messages import TaskState


class RecordWritten(msgspec.Struct, frozen=True):
    """The pending write of the record succeeded; the record now has ``version``."""

    version: Version


class RecordChanged(msgspec.Struct, frozen=True):
    """The stored record was changed by another writer, or deleted (``record`` is None).

    ``write_failed`` says that the pending write of the gang failed because of the change.
    """

    record: JobRecord | None
    version: Version
    write_failed: bool = False


class PartReported(msgspec.Struct, frozen=True):
    """A worker's response reported the state of a part, or its absence (``state`` is None).

    ``sent_at_ms`` and ``sequence`` are the send time and the number of the command that the worker
    responded to. ``latest_sequence`` is the number of the last command that had been sent when the
    response arrived: responses may arrive in a different order than their commands were sent.
    """

    part: int
    state: TaskState | None
    sent_at_ms: int
    sequence: int
    latest_sequence: int


class Refusal(Enum):
    """Reasons why a part could not be reserved or started."""

    NO_ROOM = "no room"
    NO_RESERVATION = "no such reservation"
    UNREACHABLE = "unreachable"


class PartRefused(msgspec.Struct, frozen=True):
    """The worker refused to reserve or start a part, or did not respond in time."""

    part: int
    refusal: Refusal


class CheckpointCompleted(msgspec.Struct, frozen=True):
    """A checkpoint command has completed, successfully or not."""

    part: int


class WorkerRemoved(msgspec.Struct, frozen=True):
    """A worker is unreachable and no longer listed by the platform."""

    worker: WorkerName


class StopRequested(msgspec.Struct, frozen=True):
    """Stop the gang and requeue the job, after a checkpoint unless ``immediate`` is set.

    Sent for preempted and moved jobs and for jobs on a worker that is leaving.
    """

    reason: str
    immediate: bool = False


class Tick(msgspec.Struct, frozen=True):
    """Sent every ``TICK_INTERVAL_MS``; a much longer interval means that the owner was paused."""


GangEvent = (
    RecordWritten
    | RecordChanged
    | PartReported
    | PartRefused
    | CheckpointCompleted
    | WorkerRemoved
    | StopRequested
    | Tick
)


class WriteRecord(msgspec.Struct, frozen=True):
    """Write the record if its stored version is still ``version`` (compare-and-swap)."""

    record: JobRecord
    version: Version


class PartStep(Enum):
    """Commands for one part."""

    RESERVE = "reserve"
    START = "start"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class CommandPart(msgspec.Struct, frozen=True):
    """Send the command ``step`` for a part to its worker."""

    step: PartStep
    key: TaskKey
    worker: WorkerName


GangAction = WriteRecord | CommandPart
