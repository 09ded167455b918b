"""What is lost with a worker that crashes or is silent for longer than its leases."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker


class LossKind(Enum):
    """How the scheduler learned that the runs on a worker are lost."""

    RESTARTED = "restarted"
    """The worker reports a later incarnation."""

    LEASES_EXPIRED = "leases-expired"
    """The worker didn't answer until its leases had expired. It may have crashed, or be cut off."""


class LostRun(NamedTuple):
    """A run that was lost with its worker."""

    group: TaskGroup
    position: int
    placement: Placement
    at_work_ms: int
    """How long the run had been at work when the worker was last known to be alive."""


class LostWorker(NamedTuple):
    """A worker with the runs that were lost with it."""

    worker: FleetWorker
    kind: LossKind
    is_disconnected: bool
    """Whether its connections were closed or refused rather than silent."""

    up_ms: int
    """How long it had been up."""

    runs: list[LostRun]


def lost_worker(worker: FleetWorker, kind: LossKind) -> LostWorker:
    """Returns what is lost with a worker. Starts that were not sent are left out.

    Must be called before the placements are removed.
    """
    alive_ms = worker.last_alive_ms
    runs = [
        LostRun(group, index, each, max(0, alive_ms - (each.running_since_ms or each.sent_ms)))
        for (group, index), each in worker.placements.items()
        if each.sent_ms is not None
    ]
    return LostWorker(
        worker,
        kind,
        worker.disconnected_ms is not None,
        max(0, alive_ms - worker.up_since_ms),
        runs,
    )
