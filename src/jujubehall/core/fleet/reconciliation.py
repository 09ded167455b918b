"""Brings the book in line with what a worker reports."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.groups import Placement
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import TaskName
from jujubehall.core.fleet.resources import NOTHING
from jujubehall.core.fleet.slowness import judge_worker

if TYPE_CHECKING:
    from jujubehall.core.fleet.book import FleetBook
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.reports import EndedTask
    from jujubehall.core.fleet.reports import RunningTask
    from jujubehall.core.fleet.reports import WorkerReport
    from jujubehall.core.fleet.workers import FleetWorker

RETRY_AFTER_FAILURE_MS = 100
"""A group that failed waits this long, so that a broken worker doesn't use up its attempts."""


class StrayRun(NamedTuple):
    """A run that a worker holds and that must not go on."""

    task: TaskName
    run: int
    reason: str


class Reconciled(NamedTuple):
    """What came out of a report: strays to stop, and the ends that were news."""

    strays: list[StrayRun]
    ends: list[EndedTask]


class Reconciliation:
    """Applies one report of one worker.

    ``asked_ms`` is when the worker was asked: what was ordered later may be missing from the
    report without being gone.
    """

    def __init__(
        self, book: FleetBook, worker: FleetWorker, report: WorkerReport, asked_ms: int, now_ms: int
    ) -> None:
        self._book = book
        self._worker = worker
        self._report = report
        self._asked_ms = asked_ms
        self._now_ms = now_ms
        self._strays: list[StrayRun] = []
        self._ends: list[EndedTask] = []

    def apply(self) -> Reconciled:
        """Applies ends first, then what runs, then what is no longer there."""
        if self._report.life != self._worker.listed.life:
            self._drop_earlier_life()
        for ended in self._report.ended:
            self._apply_end(ended)
        unknown = NOTHING
        listed = set()
        for running in self._report.running:
            listed.add((running.task, running.run))
            stray_group = self._apply_running(running)
            if stray_group is not None:
                unknown = unknown + stray_group.counted_needs
        self._worker.note_unknown_use(unknown)
        self._drop_missing(listed)
        judge_worker(self._worker, self._now_ms)
        self._worker.has_reported = True
        return Reconciled(self._strays, self._ends)

    def _drop_earlier_life(self) -> None:
        for group, index in list(self._worker.placements):
            placement = group.placements.get(index)
            if placement is None or placement.life == self._report.life:
                continue
            if placement.confirmed_ms is None:
                # An unanswered start may still arrive, now at the new life: it must be stopped
                # there, too, before the task is started elsewhere.
                placement.life = self._report.life
                placement.stop_confirmed_ms = None
                self._book.note_stop(group)
                self._book.stops_wanted.add(group)
            else:
                self._displace(group, index)

    def _apply_end(self, ended: EndedTask) -> None:
        group = self._book.find_group(ended.task, self._now_ms)
        if group is None:
            return
        index = ended.task.position
        placement = group.placements.get(index)
        is_current = (
            placement is not None
            and placement.worker is self._worker
            and placement.run == ended.run
        )
        group.run = max(group.run, ended.run)
        if is_current or not group.is_done:
            self._ends.append(ended)
        if ended.checkpoint and (is_current or not group.placements):
            group.checkpoint = ended.checkpoint
        if ended.kind is EndKind.DONE:
            self._worker.record.note_done()
            if is_current and placement is not None and placement.progress.is_from_scratch:
                group.done_in_ms = self._now_ms - placement.started_ms
            if is_current or not group.placements:
                # An end from before the worker's leases lapsed no longer counts once the task
                # has been started again.
                self._finish(group)
        elif ended.kind is EndKind.FAILED:
            self._count_failure(group, ended)
        if is_current:
            self._displace(group, index)
            if not group.is_done:
                # The other members end by themselves, but not if they lost touch with this one.
                self._book.note_stop(group)
        self._book.changed.add(group.job)

    def _finish(self, group: TaskGroup) -> None:
        if group.is_done or group.request.runs_until_cancelled:
            return
        group.is_done = True
        group.checkpoint = ""
        group.release_reservation()
        group.job.release_steps(self._now_ms)

    def _count_failure(self, group: TaskGroup, ended: EndedTask) -> None:
        if group.is_done or group.request.runs_until_cancelled:
            return
        if ended.run in group.failed_runs:
            return
        group.failed_runs.add(ended.run)
        failed_before = group.failed_on - {self._worker.name}
        self._worker.record.note_failure(group.job.id, bool(failed_before), self._now_ms)
        group.failed_on.add(self._worker.name)
        group.not_before_ms = self._now_ms + RETRY_AFTER_FAILURE_MS
        job = group.job
        if group.failures >= job.max_failures and not job.is_final:
            job.fail(self._now_ms)
            self._book.drop_groups(job)

    def _apply_running(self, running: RunningTask) -> TaskGroup | None:
        group = self._book.find_group(running.task, self._now_ms)
        if group is None:
            self._strays.append(StrayRun(running.task, running.run, "its job is not known"))
            return None
        index = running.task.position
        placement = group.placements.get(index)
        if placement is not None and placement.worker is self._worker:
            if placement.run == running.run:
                self._confirm(placement, running)
                return None
        elif placement is None:
            self._adopt(group, running)
            return None
        group.run = max(group.run, running.run)
        self._strays.append(StrayRun(running.task, running.run, "it runs elsewhere, too"))
        return group

    def _adopt(self, group: TaskGroup, running: RunningTask) -> None:
        """Takes over a run of an earlier owner, or sees to it that it ends.

        Either way the group is not started elsewhere until this run's end is known. That the
        steps before it are done may not be known yet here; the earlier owner knew.
        """
        wanted = (
            not group.is_done
            and not group.job.is_final
            and running.run >= group.run
            and all(each.run == running.run for each in group.placements.values())
        )
        adopted = Placement(self._worker, running.run, self._now_ms, is_from_scratch=False)
        adopted.life = self._report.life
        self._confirm(adopted, running)
        group.run = max(group.run, running.run)
        group.place(running.task.position, adopted)
        if wanted:
            if group.ready_since_ms is None:
                group.ready_since_ms = self._now_ms
        else:
            self._book.note_stop(group)

    def _confirm(self, placement: Placement, running: RunningTask) -> None:
        placement.confirmed_ms = self._now_ms
        placement.progress.note(running.percent, self._now_ms)
        if placement.phase is Phase.STARTING:
            placement.phase = Phase.RUNNING

    def _drop_missing(self, listed: set[tuple[TaskName, int]]) -> None:
        """Displaces what the worker was known to hold before it was asked and doesn't list."""
        for (group, index), placement in list(self._worker.placements.items()):
            if (group.task(index), placement.run) in listed:
                continue
            known_ms = placement.confirmed_ms
            if placement.phase is Phase.STOPPING:
                known_ms = placement.stop_confirmed_ms
            if known_ms is not None and known_ms < self._asked_ms:
                self._displace(group, index)
                self._book.note_stop(group)

    def _displace(self, group: TaskGroup, index: int) -> None:
        group.displace(index)
        if not group.placements and not group.is_done:
            group.not_before_ms = max(group.not_before_ms, self._now_ms)
