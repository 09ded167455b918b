"""Groups of tasks that are placed together: a whole gang, or a single task."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.fleet.progress import RunProgress
from jujubehall.core.fleet.reports import TaskName
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.core.fleet.workers import FleetWorker


class Phase(Enum):
    """What is known of a run on its worker."""

    STARTING = "starting"
    """The start has been sent; it may or may not run."""

    RUNNING = "running"
    STOPPING = "stopping"
    """It is to be stopped; its room is taken until its end is known."""


class GroupProgress(msgspec.Struct, frozen=True, omit_defaults=True):
    """What is kept of a group in the store."""

    is_done: bool = False
    failed_runs: tuple[int, ...] = ()
    """Numbers, not a count: an end that is listed again must not count twice."""

    checkpoint: str = ""
    run: int = 0
    workers: tuple[WorkerName, ...] = ()
    """Where the run may be; kept before the run is started."""


class Placement:
    """One run of one task on one worker."""

    def __init__(
        self, worker: FleetWorker, run: int, started_ms: int, is_from_scratch: bool = True
    ) -> None:
        self.worker = worker
        self.life = worker.listed.life
        self.run = run
        self.phase = Phase.STARTING
        self.started_ms = started_ms
        self.confirmed_ms: int | None = None
        """When the worker last answered an order about this run, or reported it."""

        self.stop_confirmed_ms: int | None = None
        self.progress = RunProgress(started_ms, is_from_scratch)


class TaskGroup:
    """All tasks of one occurrence of a gang step, or one task of any other step."""

    def __init__(
        self, job: FleetJob, occurrence: int, step: int, request: StepRequest, indexes: range
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.step = step
        self.request = request
        self.indexes = indexes
        self.placements: dict[int, Placement] = {}
        self.run = 0
        """The highest number of a run that may have been started."""

        self.is_done = False
        self.checkpoint = ""
        self.ready_since_ms: int | None = None
        self.not_before_ms = 0
        self.has_started = False
        self.reserved_until_ms = 0
        self.reserved_on: dict[int, FleetWorker] = {}
        self.done_in_ms: int | None = None
        """How long the run took that was done."""

        self.rescues = 0
        self.failed_on: set[str] = set()
        self.failed_runs: set[int] = set()
        """Runs whose failure is counted: the members of a gang fail together."""

        self.kept_workers: tuple[WorkerName, ...] = ()
        """Where an earlier owner's run may still be, as far as they have not reported."""

    @property
    def key(self) -> str:
        """Names the group within its job, for the record in the store."""
        base = f"{self.occurrence}.{self.step}"
        return base if self.request.is_gang else f"{base}.{self.indexes.start}"

    @property
    def counted_needs(self) -> Resources:
        """What one task is counted with on its worker."""
        needs = self.request.needs
        if self.request.is_filler:
            return Resources(0, needs.memory_mb, needs.accelerators)
        return needs

    @property
    def failures(self) -> int:
        """How many runs have failed."""
        return len(self.failed_runs)

    @property
    def is_waiting(self) -> bool:
        """Whether it may be placed now, as far as its own state goes."""
        return not self.is_done and not self.placements and self.ready_since_ms is not None

    @property
    def is_stopping(self) -> bool:
        """Whether any of its tasks is being stopped."""
        return any(each.phase is Phase.STOPPING for each in self.placements.values())

    @property
    def millicore_ms_per_ms(self) -> int:
        """The core equivalents that all its tasks take together, in thousandths."""
        return self.request.needs.millicore_equivalents * len(self.indexes)

    def task(self, index: int) -> TaskName:
        """The full name of one of its tasks."""
        return TaskName(self.job.id, self.occurrence, self.step, index)

    def place(self, index: int, placement: Placement) -> None:
        """Notes that a task may run on a worker from now on."""
        self.placements[index] = placement
        placement.worker.add(self, index, placement)
        self.has_started = True

    def displace(self, index: int) -> None:
        """Notes that a task no longer runs."""
        placement = self.placements.pop(index, None)
        if placement is not None:
            placement.worker.remove(self, index)

    def reserve(self, chosen: dict[int, FleetWorker], until_ms: int) -> None:
        """Keeps room on the chosen workers while what runs there is being stopped."""
        self.release_reservation()
        self.reserved_on = dict(chosen)
        self.reserved_until_ms = until_ms
        for worker in chosen.values():
            worker.reserve(self, self.counted_needs)

    def release_reservation(self) -> None:
        """Gives up what was reserved."""
        for worker in self.reserved_on.values():
            worker.release(self)
        self.reserved_on = {}
        self.reserved_until_ms = 0

    def progress(self) -> GroupProgress:
        """What is to be kept of it."""
        workers = {placement.worker.name for placement in self.placements.values()}
        return GroupProgress(
            self.is_done,
            tuple(sorted(self.failed_runs)),
            self.checkpoint,
            self.run,
            tuple(sorted(workers | set(self.kept_workers))) if not self.is_done else (),
        )

    def restore(self, kept: GroupProgress) -> None:
        """Takes over what an earlier owner kept."""
        self.is_done = kept.is_done
        self.failed_runs = set(kept.failed_runs)
        self.checkpoint = kept.checkpoint
        self.run = max(self.run, kept.run)
        self.kept_workers = kept.workers
        self.has_started = True
