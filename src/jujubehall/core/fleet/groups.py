"""Groups of tasks that are placed together: all tasks of a gang, or a single task."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.fleet.crash_history import STARTUP_MS
from jujubehall.core.fleet.crash_history import Crash
from jujubehall.core.fleet.crash_history import CrashHistory
from jujubehall.core.fleet.progress import RunProgress
from jujubehall.core.fleet.progress_parts import MAIN_PART
from jujubehall.core.fleet.reports import TaskId
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.core.fleet.workers import FleetWorker


class Phase(Enum):
    """Lifecycle phase of a run on its worker."""

    STARTING = "starting"
    """The start request has been sent; the run may or may not have started."""

    RUNNING = "running"
    STOPPING = "stopping"
    """The run is being stopped; its capacity stays in use until its end is confirmed."""


class GroupProgress(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of a group as persisted in the store."""

    is_done: bool = False
    failed_runs: tuple[int, ...] = ()
    """The numbers of the failed runs rather than a count, so that a failure reported twice is
    counted once."""

    checkpoint: str = ""
    run: int = 0
    workers: tuple[WorkerName, ...] = ()
    """The workers that may have the current run; stored before the run is started."""

    crashes: tuple[Crash, ...] = ()
    """The workers that have crashed under its runs; stored before the next run is started."""


StepKey = tuple["FleetJob", int, int]
"""A job, an occurrence of it and a step."""


class Placement:
    """A run of a task on a worker."""

    def __init__(
        self, worker: FleetWorker, run: int, started_ms: int, is_from_scratch: bool = True
    ) -> None:
        self.worker = worker
        self.incarnation = worker.incarnation
        self.run = run
        self.phase = Phase.STARTING
        self.started_ms = started_ms
        self.sent_ms: int | None = None
        """When the start request was sent, or the run was adopted; None if it wasn't yet."""

        self.confirmed_ms: int | None = None
        """When the worker last acknowledged a request for this run or reported the run."""

        self.running_since_ms: int | None = None
        """When the worker first confirmed the run."""

        self.stop_confirmed_ms: int | None = None
        self.progress = RunProgress(started_ms, is_from_scratch)

    def is_past_start(self, now_ms: int) -> bool:
        """Returns whether the run has been at work for so long that it isn't just starting."""
        return self.running_since_ms is not None and now_ms - self.running_since_ms >= STARTUP_MS

    def confirm(self, now_ms: int) -> None:
        """Records that the worker has confirmed that it has the run."""
        self.confirmed_ms = now_ms
        if self.sent_ms is None:
            self.sent_ms = now_ms
        if self.running_since_ms is None:
            self.running_since_ms = now_ms
        if self.phase is Phase.STARTING:
            self.phase = Phase.RUNNING


class TaskGroup:
    """All tasks of one occurrence of a gang step, or a single task of any other step."""

    def __init__(
        self,
        job: FleetJob,
        occurrence: int,
        step: int,
        request: StepRequest,
        indexes: range,
        progress_part: int = MAIN_PART,
    ) -> None:
        self.job = job
        self.progress_part = progress_part
        """The part of its job's progress to which it belongs."""

        self.occurrence = occurrence
        self.step = step
        self.request = request
        self.indexes = indexes
        self.placements: dict[int, Placement] = {}
        self.run = 0
        """The highest run number under which the group may have been started."""

        self.is_done = False
        self.checkpoint = ""
        self.ready_since_ms: int | None = None
        self.not_before_ms = 0
        self._had_started_run = False
        self.reserved_until_ms = 0
        self.reserved_workers: dict[int, FleetWorker] = {}
        self.completed_duration_ms: int | None = None
        """Duration of the successful run on a worker of usual speed, if it was observed from its
        beginning."""

        self.relocations = 0
        self.failed_worker_names: set[WorkerName] = set()
        self.failed_runs: set[int] = set()
        """Numbers of the runs counted as failed; members of a gang that fail in the same run count
        once."""

        self.crash_history = CrashHistory()
        self.stored_workers: tuple[WorkerName, ...] = ()
        """Workers on which a run of an earlier owner may still be active if they have not reported
        yet."""

    @property
    def key(self) -> str:
        """The key of the group within the stored progress of its job."""
        base = f"{self.occurrence}.{self.step}"
        return base if self.request.is_gang else f"{base}.{self.indexes.start}"

    @property
    def step_key(self) -> StepKey:
        """The step that it belongs to, within one occurrence of its job."""
        return (self.job, self.occurrence, self.step)

    @property
    def occupied_resources(self) -> Resources:
        """Resources that one task occupies on its worker.

        The cores of a filler task are not counted, because it only uses otherwise idle processor
        time.
        """
        needs = self.request.needs
        if self.request.is_filler:
            return Resources(0, needs.memory_mb, needs.accelerators)
        return needs

    @property
    def has_started(self) -> bool:
        """Whether any of its tasks is known to have been started, in this run or an earlier one.

        A start that has only been decided or sent doesn't count: the worker may refuse it.
        """
        return self._had_started_run or any(
            each.running_since_ms is not None for each in self.placements.values()
        )

    @property
    def failures(self) -> int:
        """The number of failed runs."""
        return len(self.failed_runs)

    @property
    def is_at_last_attempt(self) -> bool:
        """Whether it has failed before, and its job fails with its next failure."""
        return 0 < self.failures == self.job.max_failures - 1

    @property
    def avoided_workers(self) -> set[WorkerName]:
        """Workers on which it has failed or that have crashed under it."""
        crashed = self.crash_history.worker_names
        return self.failed_worker_names | crashed if crashed else self.failed_worker_names

    @property
    def is_suspect(self) -> bool:
        """Whether it may have crashed a worker."""
        return self.crash_history.is_suspect

    @property
    def is_waiting(self) -> bool:
        """Whether the group is ready and has no placements; ignores ``not_before_ms``."""
        return not self.is_done and not self.placements and self.ready_since_ms is not None

    @property
    def is_stopping(self) -> bool:
        """Whether any of its tasks is being stopped."""
        return any(each.phase is Phase.STOPPING for each in self.placements.values())

    @property
    def is_complete(self) -> bool:
        """Whether each of its tasks is known to have started."""
        return len(self.placements) == len(self.indexes) and all(
            each.running_since_ms is not None for each in self.placements.values()
        )

    @property
    def is_starting(self) -> bool:
        """Whether it has placements and not all of its tasks are known to have started yet."""
        return bool(self.placements) and not (self.is_done or self.is_stopping or self.is_complete)

    @property
    def first_running_ms(self) -> int | None:
        """When the first of its tasks was known to have started; None if none has."""
        times_ms = (each.running_since_ms for each in self.placements.values())
        return min((each for each in times_ms if each is not None), default=None)

    @property
    def is_remote(self) -> bool:
        """Whether its placement slows it down: across racks, or away from the rack of its data."""
        racks = {each.worker.listed.rack for each in self.placements.values()}
        data_rack = self.request.data_rack
        return (bool(data_rack) and racks != {data_rack}) or (
            self.request.prefers_one_rack and len(racks) > 1
        )

    @property
    def total_millicore_equivalents(self) -> int:
        """The resources of all its tasks in millicores, with accelerators converted to millicores.

        Multiplied by a time in ms, this is an amount of work in millicore-milliseconds.
        """
        return self.request.needs.millicore_equivalents * len(self.indexes)

    def task_id(self, index: int) -> TaskId:
        """Returns the full name of the task at ``index``."""
        return TaskId(self.job.id, self.occurrence, self.step, index)

    def add_placement(self, index: int, placement: Placement) -> None:
        """Records that a task may be running on a worker, which occupies capacity there."""
        self.placements[index] = placement
        placement.worker.add_placement(self, index, placement)

    def remove_placement(self, index: int) -> None:
        """Removes the placement of a task that no longer runs and releases its capacity."""
        placement = self.placements.pop(index, None)
        if placement is not None:
            self._had_started_run |= placement.running_since_ms is not None
            placement.worker.remove_placement(self, index)

    def note_ended_run(self) -> None:
        """Records that a worker has reported the end of one of its runs, which thus had started."""
        self._had_started_run = True

    def reserve(self, chosen: dict[int, FleetWorker], until_ms: int) -> None:
        """Reserves capacity on the chosen workers until ``until_ms``.

        The tasks that occupy it now are being stopped or are expected to finish before then.
        """
        self.release_reservation()
        self.reserved_workers = dict(chosen)
        self.reserved_until_ms = until_ms
        for worker in chosen.values():
            worker.reserve(self, self.occupied_resources)

    def count_reserved_on(self, worker: FleetWorker) -> int:
        """Returns for how many of its tasks capacity is reserved on the worker."""
        return sum(each is worker for each in self.reserved_workers.values())

    def release_reservation(self) -> None:
        """Releases the reservation of the group."""
        for worker in self.reserved_workers.values():
            worker.release(self)
        self.reserved_workers = {}
        self.reserved_until_ms = 0

    def progress(self) -> GroupProgress:
        """Returns the progress to write to the store."""
        workers = {placement.worker.name for placement in self.placements.values()}
        return GroupProgress(
            self.is_done,
            tuple(sorted(self.failed_runs)),
            self.checkpoint,
            self.run,
            tuple(sorted(workers | set(self.stored_workers))) if not self.is_done else (),
            self.crash_history.crashes if not self.is_done else (),
        )

    def restore(self, stored: GroupProgress) -> None:
        """Restores the progress that an earlier owner stored."""
        self.is_done = stored.is_done
        self.failed_runs = set(stored.failed_runs)
        self.checkpoint = stored.checkpoint
        self.run = max(self.run, stored.run)
        self.stored_workers = stored.workers
        self.crash_history = CrashHistory(stored.crashes)
        self._had_started_run = bool(stored.is_done or stored.failed_runs or stored.checkpoint)
