"""What a worker reports about the tasks that it runs or has ended."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from jujubehall.identifiers import JobId


class EndKind(Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease-lapsed"
    GANG_BROKEN = "gang-broken"
    """Another member of its gang ended."""

    GANG_INCOMPLETE = "gang-incomplete"
    """It waited too long for the other members of its gang."""


class TaskName(NamedTuple):
    """Names a task: the job, the number of its occurrence, the step, the position in it."""

    job: JobId
    occurrence: int
    step: int
    position: int


class RunningTask(msgspec.Struct, frozen=True):
    """A run that a worker holds."""

    task: TaskName
    run: int
    checkpoint: str = ""
    percent: int = 0
    load: int = 0
    """The tail of the response time in ms for a task with a target, else its millicores."""


class EndedTask(msgspec.Struct, frozen=True):
    """The end of a run; ``number`` counts the ends of one life of the worker."""

    number: int
    task: TaskName
    run: int
    kind: EndKind
    checkpoint: str = ""


class WorkerReport(msgspec.Struct, frozen=True):
    """All that a worker runs, and the ends that are not confirmed yet."""

    life: int
    clock_ms: int
    """The worker's own steady clock."""

    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
