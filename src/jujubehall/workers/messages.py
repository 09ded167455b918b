"""Messages of the workers' protocol, which docs/PLATFORM.md specifies.

Every command carries the zone's epoch. A worker stores the highest epoch that it has seen and
refuses commands with a lower one, so that a former owner that was paused can't control it.
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
    """The state of a task on a worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    """The task has saved a checkpoint and continues to run until it is stopped."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    """The task's lease expired and the worker stopped it."""


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """Identifies one part of one attempt of a job."""

    job: JobId
    attempt: int
    part: int


class Resources(msgspec.Struct, frozen=True):
    """Resources that a part needs on one worker, or that a worker provides."""

    accelerators: int
    cores: int = 0
    memory_gb: int = 0


class TaskStatus(msgspec.Struct, frozen=True):
    """A task's status, as its worker reports it."""

    key: TaskKey
    state: TaskState
    resources: Resources
    detail: str = ""


class Inventory(msgspec.Struct, frozen=True):
    """A worker's report of its resources and tasks.

    ``foreign`` are the resources in use by tasks of the older scheduler, as of some seconds ago.
    """

    worker: WorkerName
    zone: ZoneName
    rack: RackName
    capacity: Resources
    epoch: Epoch
    tasks: tuple[TaskStatus, ...]
    foreign: Resources = Resources(0)


class Fence(msgspec.Struct, frozen=True):
    """Raises the worker's epoch; the response is its inventory."""

    epoch: Epoch


class Reserve(msgspec.Struct, frozen=True):
    """Reserves resources for a task until its lease expires."""

    epoch: Epoch
    key: TaskKey
    resources: Resources
    lease_ms: int


class StartTask(msgspec.Struct, frozen=True):
    """Starts a reserved task; ``command`` comes from the job and is opaque to the scheduler."""

    epoch: Epoch
    key: TaskKey
    command: str
    lease_ms: int


class Renew(msgspec.Struct, frozen=True):
    """Renews the leases of the listed tasks; the response is the worker's inventory."""

    epoch: Epoch
    keys: tuple[TaskKey, ...]
    lease_ms: int


class Checkpoint(msgspec.Struct, frozen=True):
    """Makes a task save a checkpoint, after which it can be stopped without loss."""

    epoch: Epoch
    key: TaskKey


class StopTask(msgspec.Struct, frozen=True):
    """Stops a task or cancels its reservation; also succeeds if the task is unknown."""

    epoch: Epoch
    key: TaskKey


class Throttle(msgspec.Struct, frozen=True):
    """Limits a task to a percentage of its processor time."""

    epoch: Epoch
    key: TaskKey
    percent: Annotated[int, msgspec.Meta(ge=1, le=100)]


class CommandRefused(msgspec.Struct, frozen=True):
    """The worker refused a command; ``epoch`` is the highest epoch that it has seen."""

    reason: str
    epoch: Epoch
