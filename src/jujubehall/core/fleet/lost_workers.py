"""What is lost with a worker that crashes or is silent for longer than its leases."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.crash_history import PROMPT_CRASH_MS
from jujubehall.core.fleet.crash_history import Crash
from jujubehall.core.fleet.crash_history import Suspicion

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.reports import TaskId
    from jujubehall.core.fleet.workers import FleetWorker


ESTABLISHED_MS = 5_000
"""A worker that has been up for less may be crashing by itself, again and again."""


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

    @property
    def task(self) -> TaskId:
        """The task of the run."""
        return self.group.task_id(self.position)


class LostWorker(NamedTuple):
    """A worker with the runs that were lost with it."""

    worker: FleetWorker
    kind: LossKind
    is_disconnected: bool
    """Whether its connections were closed or refused rather than silent."""

    up_ms: int
    """How long it had been up."""

    lost_ms: int
    """When it was last known to be alive."""

    is_planned: bool
    """Whether the worker was draining or about to be taken down for maintenance."""

    runs: list[LostRun]

    @property
    def has_starting_runs(self) -> bool:
        """Whether the worker was lost just after the start of a run."""
        return any(each.at_work_ms < PROMPT_CRASH_MS for each in self.runs)

    def crashes(self) -> list[tuple[TaskGroup, Crash]]:
        """Returns the crash for each group that had a run on the worker.

        A machine that only falls silent has lost its power or its connections, which no task
        causes: the system of a machine whose worker process has died closes the connections. Nor are
        tasks at fault on a worker that has crashed recently without any task having been started.
        """
        if self.is_planned:
            return []
        starting = self._suspect_groups()
        is_conclusive = len(starting) == 1 and self.up_ms >= ESTABLISHED_MS
        suspicion = Suspicion.SOLE if is_conclusive else Suspicion.SHARED
        members: dict[tuple[TaskGroup, int], list[int]] = {}
        for each in self.runs:
            members.setdefault((each.group, each.placement.run), []).append(each.position)
        return [
            (
                group,
                Crash(
                    run,
                    self.worker.name,
                    suspicion if group in starting else Suspicion.BYSTANDER,
                    tuple(sorted(positions)),
                ),
            )
            for (group, run), positions in members.items()
        ]

    def _suspect_groups(self) -> set[TaskGroup]:
        is_silent = self.kind is LossKind.LEASES_EXPIRED and not self.is_disconnected
        if is_silent or self.worker.crashes_by_itself(self.lost_ms):
            return set()
        return {each.group for each in self.runs if each.at_work_ms < PROMPT_CRASH_MS}


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
        alive_ms,
        worker.listed.is_draining or worker.is_awaiting_maintenance,
        runs,
    )
