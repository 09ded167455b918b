"""What a gang is told (events) and what it asks for (actions)."""

from __future__ import annotations

from enum import Enum

import msgspec

from jujubehall.core.jobs.job import JobRecord
from jujubehall.identifiers import Version
from jujubehall.identifiers import WorkerName
from jujubehall.workers.messages import TaskKey
from jujubehall.workers.messages import TaskState


class RecordWritten(msgspec.Struct, frozen=True):
    """The write asked for last took effect and gave the record this version."""

    version: Version


class RecordChanged(msgspec.Struct, frozen=True):
    """The record is now another one, or gone; a write in progress has failed."""

    record: JobRecord | None
    version: Version
    write_failed: bool = False


class PartSeen(msgspec.Struct, frozen=True):
    """An answer of the part's worker shows the part, or shows that it isn't there.

    ``sequence`` numbers the command that was answered, and ``latest`` is the number of the last
    command sent by then: answers may arrive in another order than their commands were sent.
    """

    part: int
    state: TaskState | None
    sent_at_ms: int
    sequence: int
    latest: int


class Refusal(Enum):
    """Why a part could not be reserved or started."""

    NO_ROOM = "no room"
    NO_RESERVATION = "no such reservation"
    UNREACHABLE = "unreachable"


class PartRefused(msgspec.Struct, frozen=True):
    """The worker refused to reserve or start a part, or did not answer."""

    part: int
    refusal: Refusal


class PartSaved(msgspec.Struct, frozen=True):
    """A checkpoint command was answered, with success or not."""

    part: int


class WorkerGone(msgspec.Struct, frozen=True):
    """The platform no longer lists a worker that can't be reached either."""

    worker: WorkerName


class StopWanted(msgspec.Struct, frozen=True):
    """The policy wants the gang stopped and queued again, after a checkpoint or ``at_once``."""

    reason: str
    at_once: bool = False


class TimePassed(msgspec.Struct, frozen=True):
    """Sent every second; a longer silence means that the owner was paused."""


GangEvent = (
    RecordWritten
    | RecordChanged
    | PartSeen
    | PartRefused
    | PartSaved
    | WorkerGone
    | StopWanted
    | TimePassed
)


class WriteRecord(msgspec.Struct, frozen=True):
    """Write the record if it still has ``version``."""

    record: JobRecord
    version: Version


class PartStep(Enum):
    """A command to the worker of a part."""

    RESERVE = "reserve"
    START = "start"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class CommandPart(msgspec.Struct, frozen=True):
    """Send a command to the worker of a part."""

    step: PartStep
    key: TaskKey
    worker: WorkerName


GangAction = WriteRecord | CommandPart
