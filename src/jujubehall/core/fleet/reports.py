"""Reports of workers about their active and ended runs."""

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
    LEASE_EXPIRED = "lease-lapsed"
    GANG_BROKEN = "gang-broken"
    """Another member of its gang ended."""

    GANG_INCOMPLETE = "gang-incomplete"
    """Timed out while waiting for the other members of its gang."""


class TaskId(NamedTuple):
    """Identifies a task by job, occurrence number, step index and position within the step."""

    job: JobId
    occurrence: int
    step: int
    position: int


class RunningTask(msgspec.Struct, frozen=True):
    """An active run on a worker."""

    task: TaskId
    run: int
    checkpoint: str = ""
    percent: int = 0
    load: int = 0
    """Tail latency in ms for a task with a latency target, otherwise the millicores that it
    uses."""


class EndedTask(msgspec.Struct, frozen=True):
    """The end of a run.

    ``number`` is a sequence number that starts again with each incarnation of the worker.
    """

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str = ""


class WorkerReport(msgspec.Struct, frozen=True):
    """All active runs of a worker, and the ends that the scheduler has not confirmed yet.

    A run that is neither active nor ended has never started, unless ``lists_all_ends`` is false.
    """

    incarnation: int
    clock_ms: int
    """The worker's own monotonic clock."""

    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    lists_all_ends: bool = True
    """Whether ``ended`` is complete. Workers list a limited number of ends, the earliest first; the
    others follow once these are confirmed."""
