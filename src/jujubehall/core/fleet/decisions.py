"""The decisions that a scheduling round returns."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import JobId


class StartGroup(NamedTuple):
    """Start every task of a group on its assigned worker under run number ``run``."""

    group: TaskGroup
    workers: dict[int, FleetWorker]
    run: int


class StopReason(Enum):
    """Why the scheduler stops a group that is still able to run."""

    PREEMPTED = "preempted"
    WORKER_LEAVES = "worker-leaves"
    MAINTENANCE = "upkeep"
    """The worker's machine is to be taken down for maintenance."""

    TOO_SLOW = "too-slow"
    """The group is expected to finish sooner if it is restarted on other workers."""

    GANG_INCOMPLETE = "gang-incomplete"
    """Some members of the gang have started and others will not."""


class StopGroup(NamedTuple):
    """Stop all tasks of a group. ``preempting_job`` is the job that gets its capacity, if any."""

    group: TaskGroup
    reason: StopReason
    preempting_job: JobId | None = None
    lost_core_s: int = 0
    """Work that is lost by stopping the group, in core-seconds; one accelerator counts as 8
    cores."""


class ReserveCapacity(NamedTuple):
    """Reserve capacity on workers whose current tasks should finish within ``wait_ms``."""

    group: TaskGroup
    workers: dict[int, FleetWorker]
    wait_ms: int


Decision = StartGroup | StopGroup | ReserveCapacity
