"""Reconciles the scheduling state with the report of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.groups import Placement
from jujubehall.core.fleet.lost_workers import LossKind
from jujubehall.core.fleet.lost_workers import lost_worker
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import TaskId
from jujubehall.core.fleet.slowness import assess_worker

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.lost_workers import LostWorker
    from jujubehall.core.fleet.reports import EndedTask
    from jujubehall.core.fleet.reports import RunningTask
    from jujubehall.core.fleet.reports import WorkerReport
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.core.fleet.workers import FleetWorker

FAILURE_RETRY_DELAY_MS = 100
"""Delay before a failed group is retried, so that a broken worker doesn't use up its attempts."""


class OrphanedRun(NamedTuple):
    """A run that a worker holds and the scheduling state doesn't know; it must be stopped."""

    task: TaskId
    run: int
    reason: str


class SupersededRun(NamedTuple):
    """A run that was removed because it was started on an earlier incarnation of its worker."""

    task: TaskId
    run: int
    incarnation: int


class ReconciliationResult(NamedTuple):
    """The result of a report: orphaned runs to stop, and ends that were not known before.

    ``lost`` is set if the worker has restarted and runs of its previous incarnation are lost.
    ``superseded`` are the runs that were removed because of their incarnation.
    """

    orphaned_runs: list[OrphanedRun]
    ends: list[EndedTask]
    lost: LostWorker | None = None
    superseded: tuple[SupersededRun, ...] = ()


class Reconciliation:
    """Applies a report of a worker to the scheduling state.

    ``requested_ms`` is when the report was requested: runs started later may be missing from it
    although they are active.
    """

    def __init__(
        self,
        fleet_state: FleetState,
        worker: FleetWorker,
        report: WorkerReport,
        requested_ms: int,
        now_ms: int,
    ) -> None:
        self._fleet_state = fleet_state
        self._worker = worker
        self._report = report
        self._requested_ms = requested_ms
        self._now_ms = now_ms
        self._orphaned_runs: list[OrphanedRun] = []
        self._ends: list[EndedTask] = []
        self._lost: LostWorker | None = None
        self._superseded: list[SupersededRun] = []

    def apply(self) -> ReconciliationResult:
        """Applies ended runs, then active runs, then removes runs that are no longer reported."""
        self._note_incarnation()
        self._remove_runs_of_previous_incarnation()
        self._apply_new_ends()
        untracked = []
        reported = set()
        for running in self._report.running:
            reported.add((running.task, running.run))
            orphaned_group = self._apply_running(running)
            if orphaned_group is not None:
                untracked.append(orphaned_group)
        self._worker.set_untracked_runs(untracked)
        if self._report.lists_all_ends:
            self._remove_missing(reported)
        assess_worker(self._worker, self._now_ms)
        self._worker.has_reported = True
        self._worker.has_unlisted_ends = not self._report.lists_all_ends
        return ReconciliationResult(
            self._orphaned_runs, self._ends, self._lost, tuple(self._superseded)
        )

    def _note_incarnation(self) -> None:
        worker = self._worker
        if worker.reported_incarnation in (0, self._report.incarnation):
            for group, crash in worker.presumed_crashes:
                group.crash_history.withdraw(crash.run, crash.worker)
                self._fleet_state.note_changed(group)
        else:
            lost = lost_worker(worker, LossKind.RESTARTED)
            if not lost.is_planned and not lost.has_starting_runs:
                worker.crashed_by_itself_ms = self._now_ms
            runs = [
                each for each in lost.runs if not self._may_be_present(each.task, each.placement)
            ]
            if runs:
                self._lost = lost._replace(runs=runs)
        worker.presumed_crashes = []
        worker.reported_incarnation = self._report.incarnation
        worker.forget_speed_of_earlier_incarnation()

    def _may_be_present(self, task: TaskId, placement: Placement) -> bool:
        """Returns whether the reported incarnation may have started the run.

        A start that was answered after the report had been requested may be missing from it, and so
        may a run that has ended if not all ends are listed.
        """
        if not self._report.lists_all_ends:
            return True
        if placement.confirmed_ms is not None and placement.confirmed_ms >= self._requested_ms:
            return True
        return any((each.task, each.run) == (task, placement.run) for each in self._reported_runs)

    @property
    def _reported_runs(self) -> Iterator[RunningTask | EndedTask]:
        yield from self._report.running
        yield from self._report.ended

    def _remove_runs_of_previous_incarnation(self) -> None:
        for group, index in list(self._worker.placements):
            placement = group.placements.get(index)
            if placement is None or placement.incarnation == self._report.incarnation:
                continue
            if self._may_be_present(group.task_id(index), placement):
                placement.incarnation = self._report.incarnation
            elif placement.confirmed_ms is None:
                # An unacknowledged start request may still reach the restarted worker, so the run
                # must be stopped there as well before the task is started elsewhere.
                placement.incarnation = self._report.incarnation
                placement.stop_confirmed_ms = None
                self._fleet_state.mark_stopping(group)
                self._fleet_state.groups_to_stop.add(group)
            else:
                self._superseded.append(
                    SupersededRun(group.task_id(index), placement.run, placement.incarnation)
                )
                self._remove_placement(group, index)
                # The other members end by themselves only if the gang was complete.
                self._fleet_state.mark_stopping(group)

    def _apply_new_ends(self) -> None:
        applied = set()
        for ended in self._report.ended:
            key = (self._report.incarnation, ended)
            if key in self._worker.applied_ends or self._apply_end(ended):
                applied.add(key)
        self._worker.applied_ends = frozenset(applied)

    def _apply_end(self, ended: EndedTask) -> bool:
        """Applies an end; returns False if its job is unknown."""
        group = self._fleet_state.find_group(ended.task, self._now_ms)
        if group is None:
            return False
        index = ended.task.position
        placement = group.placements.get(index)
        is_current = (
            placement is not None
            and placement.worker is self._worker
            and placement.run == ended.run
        )
        group.run = max(group.run, ended.run)
        group.note_ended_run()
        if is_current or not group.is_done:
            self._ends.append(ended)
        if ended.checkpoint and (is_current or not group.placements):
            group.checkpoint = ended.checkpoint
        if ended.kind is EndKind.DONE:
            self._worker.failure_history.record_success()
            if is_current:
                _record_survivals(group)
            if is_current and placement is not None and placement.progress.is_from_scratch:
                duration_ms = self._now_ms - placement.started_ms
                group.completed_duration_ms = round(
                    duration_ms / self._worker.speed.duration_factor
                )
            if is_current or all(each.run == ended.run for each in group.placements.values()):
                # A run that ended before the worker's leases expired doesn't count once the task
                # has been started again. The end of one member stands for its whole gang.
                self._complete(group)
        elif ended.kind is EndKind.FAILED:
            self._count_failure(group, ended)
        if is_current:
            self._remove_placement(group, index)
            if not group.is_done:
                # The other members stop by themselves, unless they can no longer reach this one.
                self._fleet_state.mark_stopping(group)
        self._fleet_state.note_changed(group)
        return True

    def _complete(self, group: TaskGroup) -> None:
        if group.is_done or group.request.runs_until_cancelled:
            return
        self._fleet_state.speeds.observe_end(group, self._now_ms)
        # One run for each step, so that a job of many tasks doesn't outweigh the others.
        is_sample = group.indexes.start == 0 and not group.is_remote
        if is_sample and group.completed_duration_ms is not None:
            self._fleet_state.work_history.record_duration(
                group.job, group.request.expected_ms, group.completed_duration_ms
            )
        group.checkpoint = ""
        group.release_reservation()
        group.job.complete(group, self._now_ms)

    def _count_failure(self, group: TaskGroup, ended: EndedTask) -> None:
        if group.is_done or group.request.runs_until_cancelled:
            return
        if ended.run in group.failed_runs:
            return
        group.failed_runs.add(ended.run)
        other_failed_workers = group.failed_worker_names - {self._worker.name}
        self._worker.failure_history.record_failure(
            group.job.id, bool(other_failed_workers), self._now_ms
        )
        group.failed_worker_names.add(self._worker.name)
        group.not_before_ms = self._now_ms + FAILURE_RETRY_DELAY_MS
        job = group.job
        if group.failures >= job.max_failures and not job.is_final:
            job.fail(self._now_ms)
            self._fleet_state.stop_groups(job)

    def _apply_running(self, running: RunningTask) -> TaskGroup | None:
        group = self._fleet_state.find_group(running.task, self._now_ms)
        if group is None:
            self._orphaned_runs.append(OrphanedRun(running.task, running.run, "job is unknown"))
            return None
        index = running.task.position
        placement = group.placements.get(index)
        if placement is not None and placement.worker is self._worker:
            if placement.run == running.run:
                self._confirm(group, placement, running)
                return None
        elif placement is None:
            self._adopt(group, running)
            return None
        group.run = max(group.run, running.run)
        self._orphaned_runs.append(
            OrphanedRun(running.task, running.run, "another run of the task is already placed")
        )
        return group

    def _adopt(self, group: TaskGroup, running: RunningTask) -> None:
        """Adopts a run that an earlier owner started, or stops it.

        In both cases the group isn't started elsewhere until the end of this run is known. The run
        is adopted even if this owner doesn't know yet that the preceding steps are done, because
        the earlier owner did.
        """
        should_continue = (
            not group.is_done
            and not group.job.is_final
            and running.run >= group.run
            and all(each.run == running.run for each in group.placements.values())
        )
        adopted = Placement(self._worker, running.run, self._now_ms, is_from_scratch=False)
        adopted.incarnation = self._report.incarnation
        group.run = max(group.run, running.run)
        group.release_reservation()
        group.add_placement(running.task.position, adopted)
        self._confirm(group, adopted, running)
        if group.request.is_gang:
            self._fleet_state.starting_gangs.add(group)
        if should_continue:
            if group.ready_since_ms is None:
                group.ready_since_ms = self._now_ms
        else:
            self._fleet_state.mark_stopping(group)

    def _confirm(self, group: TaskGroup, placement: Placement, running: RunningTask) -> None:
        placement.confirm(self._now_ms)
        if placement.is_past_start(self._now_ms):
            self._worker.failure_history.record_survival(placement.started_ms)
        self._note_at_work(group)
        placement.progress.record(running.percent, self._now_ms)
        self._fleet_state.speeds.observe_progress(group, placement, running.percent, self._now_ms)

    def _note_at_work(self, group: TaskGroup) -> None:
        if not group.crash_history.crashes or not group.is_complete:
            return
        at_work_ms = self._now_ms - max(
            each.running_since_ms or self._now_ms for each in group.placements.values()
        )
        was_suspect = group.is_suspect
        if group.crash_history.note_at_work(at_work_ms):
            group.job.cleared_suspects += was_suspect
            self._fleet_state.note_changed(group)

    def _remove_missing(self, reported: set[tuple[TaskId, int]]) -> None:
        """Removes placements confirmed before the request that the report doesn't list."""
        for (group, index), placement in list(self._worker.placements.items()):
            if (group.task_id(index), placement.run) in reported:
                continue
            last_confirmed_ms = placement.confirmed_ms
            if placement.phase is Phase.STOPPING:
                last_confirmed_ms = placement.stop_confirmed_ms
            if last_confirmed_ms is not None and last_confirmed_ms < self._requested_ms:
                self._remove_placement(group, index)
                self._fleet_state.mark_stopping(group)

    def _remove_placement(self, group: TaskGroup, index: int) -> None:
        group.remove_placement(index)
        if not group.placements and not group.is_done:
            group.not_before_ms = max(group.not_before_ms, self._now_ms)


def _record_survivals(group: TaskGroup) -> None:
    """Records that all members of a group that is done have survived on their workers."""
    for each in group.placements.values():
        each.worker.failure_history.record_survival(each.started_ms)
