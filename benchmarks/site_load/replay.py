"""Plays a day against the decisions of a policy, with workers simulated in virtual time."""

from __future__ import annotations

import heapq
import itertools
import time

from random import Random
from typing import TYPE_CHECKING
from typing import NamedTuple

from benchmarks.site_book import make_site_book
from benchmarks.site_load.shapes import LATE_FACTOR
from benchmarks.site_load.shapes import TRAFFIC_MS
from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.reconciliation import Reconciliation
from jujubehall.core.fleet.reports import EndedTask
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.reports import WorkerReport
from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.identifiers import TeamName

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.site_load.shapes import DrawnJob
    from benchmarks.site_load.shapes import SiteShape
    from jujubehall.core.fleet.book import FleetBook
    from jujubehall.core.fleet.decisions import Decision
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import WorkerName

    Policy = Callable[[FleetBook, int], list[Decision]]

ROUND_DELAY_MS = 5
ROUND_INTERVAL_MS = 200
REPORT_INTERVAL_MS = 2_000
START_DELAY_MS = 15
"""A write to the store and an order to a worker."""

LONGEST_STOP_MS = 400
RESTORE_MS = 100
FAR_FACTOR = 3.0
END_MS = 180_000
"""Jobs that have not ended by then count as never done."""


class JobOutcome(NamedTuple):
    """What the caller of a job got."""

    job: DrawnJob
    ended_ms: int | None

    @property
    def credit(self) -> float:
        """1 in time, the queue's late share up to three times the objective, else 0."""
        if self.ended_ms is None:
            return 0.0
        took_ms = self.ended_ms - self.job.submitted_ms
        if took_ms <= self.job.objective_ms:
            return 1.0
        if took_ms <= LATE_FACTOR * self.job.objective_ms:
            return self.job.shape.late_worth / self.job.shape.worth
        return 0.0


class DayOutcome(NamedTuple):
    """What callers got, and what it cost."""

    jobs: list[JobOutcome]
    first_starts_ms: dict[JobId, int]
    lost_core_s: float
    rounds: int
    round_ms: float
    """Processor time of the rounds together."""


class _Run:
    """One run of one task on a simulated worker."""

    def __init__(self, group: TaskGroup, index: int, placement: Placement) -> None:
        self.group = group
        self.index = index
        self.placement = placement
        self.began_ms = 0
        self.duration_ms = 0.0
        self.saved_before = 0.0

    def share_done(self, now_ms: int) -> float:
        """How much of the task is done, 0 to 1."""
        if self.duration_ms <= 0:
            return 1.0
        worked_ms = max(0, now_ms - self.began_ms - (RESTORE_MS if self.saved_before else 0))
        return min(1.0, self.saved_before + worked_ms / self.duration_ms)


class Replay:
    """One day under one policy."""

    def __init__(self, site: SiteShape, jobs: list[DrawnJob], policy: Policy, seed: int) -> None:
        self._policy = policy
        self._random = Random(f"replay-{seed}")
        self._jobs = {job.id: job for job in jobs}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_ms = 0
        self._is_round_due = False
        self._runs: dict[WorkerName, list[_Run]] = {}
        self._ends = itertools.count(1)
        self._lost_core_ms = 0.0
        self._rounds = 0
        self._round_s = 0.0
        self._first_starts_ms: dict[JobId, int] = {}
        queues = tuple(each.queue for each in site.queues)
        self._book = make_site_book(site.workers, site.capacity, queues)
        for name in self._book.workers:
            self._runs[name] = []

    def play(self) -> DayOutcome:
        """Plays until every job has ended, or until ``END_MS``."""
        for job in self._jobs.values():
            self._at(job.submitted_ms, lambda job=job: self._submit(job))  # type: ignore[misc]
        self._at(ROUND_INTERVAL_MS, self._tick)
        for number, worker in enumerate(self._book.workers.values()):
            first_ms = number * REPORT_INTERVAL_MS // len(self._runs)
            self._at(first_ms, lambda worker=worker: self._report_often(worker))  # type: ignore[misc]
        while self._events and self._now_ms < END_MS and not self._is_over():
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        outcomes = [
            JobOutcome(job, known.ended_ms if known is not None else None)
            for job in self._jobs.values()
            for known in [self._book.jobs.get(job.id)]
            if job.cancelled_ms is None
        ]
        return DayOutcome(
            outcomes,
            self._first_starts_ms,
            self._lost_core_ms / 1_000,
            self._rounds,
            self._round_s * 1_000,
        )

    def _is_over(self) -> bool:
        if self._now_ms < TRAFFIC_MS:
            return False
        return all(job.state.is_final for job in self._book.jobs.values())

    def _at(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def _submit(self, job: DrawnJob) -> None:
        accepted = AcceptedJob(
            job.id, job.shape.queue.name, TeamName("t"), job.request, self._now_ms
        )
        self._book.accept(accepted, None, self._now_ms, self._now_ms)
        if job.cancelled_ms is not None:
            self._at(job.cancelled_ms, lambda: self._cancel(job.id))
        self._poke()

    def _cancel(self, job: JobId) -> None:
        self._book.cancel(job, self._now_ms)
        self._send_stops()
        self._poke()

    def _tick(self) -> None:
        self._poke()
        self._at(self._now_ms + ROUND_INTERVAL_MS, self._tick)

    def _poke(self) -> None:
        if not self._is_round_due:
            self._is_round_due = True
            self._at(self._now_ms + ROUND_DELAY_MS, self._round)

    def _round(self) -> None:
        self._is_round_due = False
        began_s = time.process_time()
        decisions = self._policy(self._book, self._now_ms)
        self._round_s += time.process_time() - began_s
        self._rounds += 1
        self._send_stops()
        for decision in decisions:
            if isinstance(decision, StartGroup):
                group, run = decision.group, decision.group.run
                delayed_ms = self._now_ms + START_DELAY_MS
                self._at(delayed_ms, lambda group=group, run=run: self._start(group, run))  # type: ignore[misc]

    def _send_stops(self) -> None:
        wanted, self._book.stops_wanted = self._book.stops_wanted, set()
        for group in sorted(wanted, key=lambda each: (each.job.id, each.key)):
            run = group.run
            stopped_ms = self._now_ms + self._random.randrange(20, LONGEST_STOP_MS)
            self._at(stopped_ms, lambda group=group, run=run: self._stopped(group, run))  # type: ignore[misc]

    def _start(self, group: TaskGroup, run: int) -> None:
        if group.run != run or group.is_stopping or not group.placements:
            return
        self._first_starts_ms.setdefault(group.job.id, self._now_ms)
        racks = {each.worker.listed.rack for each in group.placements.values()}
        factor = FAR_FACTOR if group.request.prefers_one_rack and len(racks) > 1 else 1.0
        works = self._jobs[group.job.id].work_ms[group.step]
        saved = float(group.checkpoint or 0)
        longest_ms = 0.0
        for index, placement in group.placements.items():
            placement.confirmed_ms = self._now_ms
            made = _Run(group, index, placement)
            made.began_ms = self._now_ms
            made.duration_ms = works[index] * factor
            made.saved_before = saved
            self._runs[placement.worker.name].append(made)
            longest_ms = max(longest_ms, made.duration_ms * (1 - saved))
        done_ms = self._now_ms + round(longest_ms) + (RESTORE_MS if saved else 0)
        self._at(done_ms, lambda: self._done(group, run))

    def _done(self, group: TaskGroup, run: int) -> None:
        if group.run == run and group.placements and not group.is_stopping:
            self._end(group, EndKind.DONE)

    def _stopped(self, group: TaskGroup, run: int) -> None:
        if group.run == run and group.placements:
            self._end(group, EndKind.STOPPED)

    def _end(self, group: TaskGroup, kind: EndKind) -> None:
        saves = group.request.saves_checkpoints
        for index, placement in list(group.placements.items()):
            worker = placement.worker
            runs = self._runs[worker.name]
            run = next((each for each in runs if each.placement is placement), None)
            checkpoint = group.checkpoint
            if run is not None:
                runs.remove(run)
                if kind is EndKind.STOPPED and saves:
                    checkpoint = f"{run.share_done(self._now_ms):.4f}"
                elif kind is EndKind.STOPPED:
                    cores = group.request.needs.millicore_equivalents / 1_000
                    self._lost_core_ms += cores * (self._now_ms - run.began_ms)
            ended = EndedTask(next(self._ends), group.task(index), placement.run, kind, checkpoint)
            self._report(worker, (ended,))
        self._send_stops()
        self._poke()

    def _report_often(self, worker: FleetWorker) -> None:
        if self._runs[worker.name]:
            self._report(worker, ())
            self._send_stops()
        self._at(self._now_ms + REPORT_INTERVAL_MS, lambda: self._report_often(worker))

    def _report(self, worker: FleetWorker, ended: tuple[EndedTask, ...]) -> None:
        running = tuple(
            RunningTask(
                run.group.task(run.index),
                run.placement.run,
                percent=int(100 * run.share_done(self._now_ms)),
            )
            for run in self._runs[worker.name]
        )
        report = WorkerReport(1, self._now_ms, running, ended)
        Reconciliation(self._book, worker, report, self._now_ms - 1, self._now_ms).apply()
