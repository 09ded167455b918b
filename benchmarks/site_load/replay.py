"""Replays a day of jobs against a scheduling policy, on workers simulated in virtual time."""

from __future__ import annotations

import heapq
import itertools
import time

from random import Random
from typing import TYPE_CHECKING
from typing import NamedTuple

from benchmarks.site_load.shapes import ARRIVAL_PERIOD_MS
from benchmarks.site_load.shapes import LATE_FACTOR
from benchmarks.site_state import make_fleet_state
from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.reconciliation import Reconciliation
from jujubehall.core.fleet.reports import EndedTask
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.reports import WorkerReport
from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.site_load.admission import Admission
    from benchmarks.site_load.shapes import DrawnJob
    from benchmarks.site_load.shapes import SiteShape
    from jujubehall.core.fleet.decisions import Decision
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import WorkerName

    Policy = Callable[[FleetState, int], list[Decision]]

ROUND_DELAY_MS = 5
ROUND_INTERVAL_MS = 200
REPORT_INTERVAL_MS = 2_000
START_DELAY_MS = 15
"""Time from a decision to the start of its tasks: a store write and a command to the worker."""

MAX_STOP_MS = 400
MULTI_RACK_SLOWDOWN = 3.0
MAX_RETURNS = 4
"""How many times a caller whose job was refused submits it again."""

REPLAY_LIMIT_MS = 400_000
"""Virtual time at which the replay stops; jobs that have not ended by then count as not done."""


class JobOutcome(NamedTuple):
    """When a job ended or that it was refused, and the credit that it earns."""

    job: DrawnJob
    ended_ms: int | None
    is_refused: bool = False
    """Whether it was refused each time that its caller submitted it."""

    @property
    def credit(self) -> float:
        """The credit for the job: 1 in time, less if late, 0 if too late or not done.

        A job is late up to ``LATE_FACTOR`` times its objective. It then earns the ratio of its
        queue's late value to the full value.
        """
        if self.ended_ms is None:
            return 0.0
        took_ms = self.ended_ms - self.job.submitted_ms
        if took_ms <= self.job.objective_ms:
            return 1.0
        if took_ms <= LATE_FACTOR * self.job.objective_ms:
            return self.job.shape.late_value / self.job.shape.full_value
        return 0.0


class Evacuation(NamedTuple):
    """A period in which the workers of one availability zone accept no work."""

    zone: ZoneName
    start_ms: int
    end_ms: int


EVACUATION = Evacuation(ZoneName("z0"), 12_000, 22_000)


class DayOutcome(NamedTuple):
    """The outcomes of one day's jobs, and the cost of scheduling them."""

    jobs: list[JobOutcome]
    first_starts_ms: dict[JobId, int]
    lost_core_s: float
    rounds: int
    round_ms: float
    """Total CPU time of all scheduling rounds."""


class _Run:
    """One run of one task on a simulated worker."""

    def __init__(self, group: TaskGroup, index: int, placement: Placement, restore_ms: int) -> None:
        self.group = group
        self.index = index
        self.placement = placement
        self._restore_ms = restore_ms
        self.started_ms = 0
        self.duration_ms = 0.0
        self.restored_share = 0.0

    def share_done(self, now_ms: int) -> float:
        """Returns the share of the task that is done, from 0 to 1."""
        if self.duration_ms <= 0:
            return 1.0
        worked_ms = max(
            0, now_ms - self.started_ms - (self._restore_ms if self.restored_share else 0)
        )
        return min(1.0, self.restored_share + worked_ms / self.duration_ms)


class Replay:
    """Replays one day under one policy, optionally with refusals."""

    def __init__(
        self,
        site: SiteShape,
        jobs: list[DrawnJob],
        policy: Policy,
        seed: int,
        admission: Admission | None = None,
        evacuation: Evacuation | None = None,
    ) -> None:
        self._policy = policy
        self._admission = admission
        self._evacuation = evacuation
        self._restore_ms = site.checkpoint_restore_ms
        self._returning: set[JobId] = set()
        """Refused jobs whose callers will submit them again."""

        self._refused: set[JobId] = set()
        self._random = Random(f"replay-{seed}")
        self._jobs_by_id = {job.id: job for job in jobs}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_order = itertools.count()
        self._now_ms = 0
        self._is_round_due = False
        self._runs_by_worker: dict[WorkerName, list[_Run]] = {}
        self._end_numbers = itertools.count(1)
        self._lost_core_ms = 0.0
        self._rounds = 0
        self._round_s = 0.0
        self._first_starts_ms: dict[JobId, int] = {}
        queues = tuple(each.queue for each in site.queues)
        self._fleet_state = make_fleet_state(
            site.workers,
            site.capacity,
            queues,
            site.workers_per_rack,
            site.zones,
            site.teams(),
        )
        self._slowdown_by_worker = dict(
            zip(self._fleet_state.workers, site.draw_slowdowns(seed), strict=True)
        )
        for name in self._fleet_state.workers:
            self._runs_by_worker[name] = []

    def replay_day(self) -> DayOutcome:
        """Replays until every job has ended, at most until ``REPLAY_LIMIT_MS``."""
        for job in self._jobs_by_id.values():
            self._schedule(job.submitted_ms, lambda job=job: self._submit(job, 0))  # type: ignore[misc]
        if self._evacuation is not None:
            zones = frozenset({self._evacuation.zone})
            self._schedule(self._evacuation.start_ms, lambda: self._evacuate(zones))
            self._schedule(self._evacuation.end_ms, lambda: self._evacuate(frozenset()))
        self._schedule(ROUND_INTERVAL_MS, self._request_rounds_periodically)
        for number, worker in enumerate(self._fleet_state.workers.values()):
            first_ms = number * REPORT_INTERVAL_MS // len(self._runs_by_worker)
            self._schedule(first_ms, lambda worker=worker: self._report_periodically(worker))  # type: ignore[misc]
        while self._events and self._now_ms < REPLAY_LIMIT_MS and not self._has_ended():
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        outcomes = [
            JobOutcome(
                job,
                fleet_job.ended_ms if fleet_job is not None else None,
                job.id in self._refused,
            )
            for job in self._jobs_by_id.values()
            for fleet_job in [self._fleet_state.jobs.get(job.id)]
            if job.cancelled_ms is None
        ]
        return DayOutcome(
            outcomes,
            self._first_starts_ms,
            self._lost_core_ms / 1_000,
            self._rounds,
            self._round_s * 1_000,
        )

    def _has_ended(self) -> bool:
        if self._now_ms < ARRIVAL_PERIOD_MS or self._returning:
            return False
        return all(job.state.is_final for job in self._fleet_state.jobs.values())

    def _schedule(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._event_order), action))

    def _submit(self, job: DrawnJob, returns: int) -> None:
        self._returning.discard(job.id)
        if job.cancelled_ms is not None and job.cancelled_ms < self._now_ms:
            return
        accepted = AcceptedJob(job.id, job.shape.queue.name, job.team, job.request, self._now_ms)
        if self._admission is not None:
            retry_after_ms = self._admission.decide(self._fleet_state, accepted, self._now_ms)
            if retry_after_ms is not None:
                self._refuse(job, returns, retry_after_ms)
                return
        self._fleet_state.add_job(accepted, None, self._now_ms, self._now_ms)
        if job.cancelled_ms is not None:
            self._schedule(job.cancelled_ms, lambda: self._cancel(job.id))
        self._request_round()

    def _refuse(self, job: DrawnJob, returns: int, retry_after_ms: int) -> None:
        if returns >= MAX_RETURNS:
            self._refused.add(job.id)
            return
        self._returning.add(job.id)
        self._schedule(self._now_ms + retry_after_ms, lambda: self._submit(job, returns + 1))

    def _cancel(self, job: JobId) -> None:
        self._fleet_state.cancel(job, self._now_ms)
        self._send_stops()
        self._request_round()

    def _evacuate(self, zones: frozenset[ZoneName]) -> None:
        self._fleet_state.set_evacuated_zones(zones)
        self._request_round()

    def _request_rounds_periodically(self) -> None:
        self._request_round()
        self._schedule(self._now_ms + ROUND_INTERVAL_MS, self._request_rounds_periodically)

    def _request_round(self) -> None:
        if not self._is_round_due:
            self._is_round_due = True
            self._schedule(self._now_ms + ROUND_DELAY_MS, self._run_round)

    def _run_round(self) -> None:
        self._is_round_due = False
        started_s = time.process_time()
        decisions = self._policy(self._fleet_state, self._now_ms)
        self._round_s += time.process_time() - started_s
        self._rounds += 1
        self._send_stops()
        for decision in decisions:
            if isinstance(decision, StartGroup):
                group, run = decision.group, decision.group.run
                delayed_ms = self._now_ms + START_DELAY_MS
                self._schedule(delayed_ms, lambda group=group, run=run: self._start(group, run))  # type: ignore[misc]

    def _send_stops(self) -> None:
        groups_to_stop, self._fleet_state.groups_to_stop = self._fleet_state.groups_to_stop, set()
        for group in sorted(groups_to_stop, key=lambda each: (each.job.id, each.key)):
            run = group.run
            stopped_ms = self._now_ms + self._random.randrange(20, MAX_STOP_MS)
            self._schedule(stopped_ms, lambda group=group, run=run: self._finish_stop(group, run))  # type: ignore[misc]

    def _start(self, group: TaskGroup, run: int) -> None:
        if group.run != run or group.is_stopping or not group.placements:
            return
        self._first_starts_ms.setdefault(group.job.id, self._now_ms)
        racks = {each.worker.listed.rack for each in group.placements.values()}
        slowdown = MULTI_RACK_SLOWDOWN if group.request.prefers_one_rack and len(racks) > 1 else 1.0
        work_by_task_ms = self._jobs_by_id[group.job.id].work_ms[group.step]
        restored_share = float(group.checkpoint or 0)
        max_remaining_ms = 0.0
        for index, placement in group.placements.items():
            placement.confirm(self._now_ms)
            task_run = _Run(group, index, placement, self._restore_ms)
            task_run.started_ms = self._now_ms
            worker_slowdown = self._slowdown_by_worker[placement.worker.name]
            task_run.duration_ms = work_by_task_ms[index] * slowdown * worker_slowdown
            task_run.restored_share = restored_share
            self._runs_by_worker[placement.worker.name].append(task_run)
            max_remaining_ms = max(max_remaining_ms, task_run.duration_ms * (1 - restored_share))
        done_ms = (
            self._now_ms + round(max_remaining_ms) + (self._restore_ms if restored_share else 0)
        )
        self._schedule(done_ms, lambda: self._complete(group, run))

    def _complete(self, group: TaskGroup, run: int) -> None:
        if group.run == run and group.placements and not group.is_stopping:
            self._end_group(group, EndKind.DONE)

    def _finish_stop(self, group: TaskGroup, run: int) -> None:
        if group.run == run and group.placements:
            self._end_group(group, EndKind.STOPPED)

    def _end_group(self, group: TaskGroup, kind: EndKind) -> None:
        saves = group.request.saves_checkpoints
        for index, placement in list(group.placements.items()):
            worker = placement.worker
            runs = self._runs_by_worker[worker.name]
            run = next((each for each in runs if each.placement is placement), None)
            checkpoint = group.checkpoint
            if run is not None:
                runs.remove(run)
                if kind is EndKind.STOPPED and saves:
                    checkpoint = f"{run.share_done(self._now_ms):.4f}"
                elif kind is EndKind.STOPPED:
                    cores = group.request.needs.millicore_equivalents / 1_000
                    self._lost_core_ms += cores * (self._now_ms - run.started_ms)
            ended = EndedTask(
                next(self._end_numbers), group.task_id(index), placement.run, kind, checkpoint
            )
            self._report(worker, (ended,))
        self._send_stops()
        self._request_round()

    def _report_periodically(self, worker: FleetWorker) -> None:
        if self._runs_by_worker[worker.name]:
            self._report(worker, ())
            self._send_stops()
        self._schedule(self._now_ms + REPORT_INTERVAL_MS, lambda: self._report_periodically(worker))

    def _report(self, worker: FleetWorker, ended: tuple[EndedTask, ...]) -> None:
        running = tuple(
            RunningTask(
                run.group.task_id(run.index),
                run.placement.run,
                percent=int(100 * run.share_done(self._now_ms)),
            )
            for run in self._runs_by_worker[worker.name]
        )
        report = WorkerReport(1, self._now_ms, running, ended)
        Reconciliation(self._fleet_state, worker, report, self._now_ms - 1, self._now_ms).apply()
