"""Messages of the protocol that workers speak; docs/PLATFORM.md states it.

Every command carries the zone's epoch. A worker remembers the highest epoch that it has seen and
refuses commands of an earlier one, so that a paused former owner can't act.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from jujubehall.identifiers import Epoch
from jujubehall.identifiers import JobId
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName


class TaskState(Enum):
    """How far a task on a worker has come."""

    RESERVED = "reserved"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    """Its state was saved; it goes on running until it is stopped."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease ran out and the worker stopped it."""


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """Names one part of one attempt of a job."""

    job: JobId
    attempt: int
    part: int


class Resources(msgspec.Struct, frozen=True):
    """What a part takes of one worker, or what a worker has."""

    accelerators: int
    cores: int = 0
    memory_gb: int = 0


class TaskStatus(msgspec.Struct, frozen=True):
    """A task as its worker knows it."""

    key: TaskKey
    state: TaskState
    resources: Resources
    detail: str = ""


class Inventory(msgspec.Struct, frozen=True):
    """A worker's own account of what it has and what runs on it.

    ``foreign`` is what the older scheduler's tasks use, as of some seconds ago.
    """

    worker: WorkerName
    zone: ZoneName
    rack: RackName
    capacity: Resources
    epoch: Epoch
    tasks: tuple[TaskStatus, ...]
    foreign: Resources = Resources(0)


class Fence(msgspec.Struct, frozen=True):
    """Raises the worker's epoch; answered with its inventory."""

    epoch: Epoch


class Reserve(msgspec.Struct, frozen=True):
    """Sets resources aside for a task until its lease runs out."""

    epoch: Epoch
    key: TaskKey
    resources: Resources
    lease_ms: int


class StartTask(msgspec.Struct, frozen=True):
    """Starts a reserved task. ``command`` is the job's own, opaque to the scheduler."""

    epoch: Epoch
    key: TaskKey
    command: str
    lease_ms: int


class Renew(msgspec.Struct, frozen=True):
    """Extends the leases of the named tasks; answered with the worker's inventory."""

    epoch: Epoch
    keys: tuple[TaskKey, ...]
    lease_ms: int


class Checkpoint(msgspec.Struct, frozen=True):
    """Has a task save its state; it may be stopped without loss afterwards."""

    epoch: Epoch
    key: TaskKey


class StopTask(msgspec.Struct, frozen=True):
    """Stops a task or drops its reservation; succeeds also if the task is unknown."""

    epoch: Epoch
    key: TaskKey


class Throttle(msgspec.Struct, frozen=True):
    """Limits a task to a share of its processor time, in percent."""

    epoch: Epoch
    key: TaskKey
    percent: Annotated[int, msgspec.Meta(ge=1, le=100)]


class CommandRefused(msgspec.Struct, frozen=True):
    """The worker did not carry out a command; ``epoch`` is the highest that it has seen."""

    reason: str
    epoch: Epoch
