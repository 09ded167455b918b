"""Simulated workers that run tasks under leases and check the scheduler's invariants."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import to_seconds
from jujubehall.core.fleet.reports import EndedTask
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.reports import WorkerReport
from jujubehall.core.fleet.resources import Resources
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.platform.site_store import RefusalReason
from jujubehall.platform.site_store import StartRefusal
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.core.fleet.reports import TaskId
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import WorkerName
    from jujubehall.identifiers import ZoneName
    from jujubehall.platform.site_store import StartCommand
    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.virtual_time import VirtualTime

CALL_LATENCY_MS = 1
CALL_TIMEOUT_MS = 700
SERVICE_STARTUP_MS = 300
"""Time after which a task that runs until it is cancelled reports 100 percent."""

TASK_STOP_MS = 300
"""Time that a task takes to stop."""

GANG_START_TIMEOUT_MS = 3_000
"""A task of a gang ends if the other tasks of its gang haven't started within this time."""

MAX_LEASE_MS = 6_000
"""Workers shorten longer leases to this time."""

LATE_COMMAND_DELAY_MS = (2_000, 8_000)
"""Range of the delays after which a late command takes effect."""

REPORT_POLL_INTERVAL_MS = 10
MAX_ENDS_PER_REPORT = 500

CRASH_DELAY_MS = 10
"""Time from the start of a crashing task to the crash of its worker."""

CRASH_DOWN_MS = 3_000
"""Time after which a worker that a task has crashed is up again."""

MAX_STARTS_AFTER_CRASHES = 2
"""How often a task may be started after ``MAX_CRASHES`` workers have crashed under it."""

MAX_CRASHES = 3

UNAVAILABLE_NOTICE_MS = 4_500
"""Time after which a task of a service that isn't at work counts as away, for whatever cause."""

CAPACITY_NOTICE_MS = 4_500
"""Time after which starts must respect a capacity that has shrunk."""


class _Run:
    """A run of a task; its times are on the worker's clock."""

    def __init__(self, task: TaskId, number: int, step: StepRequest, now_ms: int) -> None:
        self.task = task
        self.number = number
        self.step = step
        self.started_ms = now_ms
        self.completes_ms = 0
        self.stops_ms: int | None = None
        self.checkpoint = ""


class _GangRun:
    """The members of one run of a gang, which work only while all of them are present."""

    def __init__(self) -> None:
        self.present: set[int] = set()
        self.is_complete = False
        """Whether all members have been present at the same time."""

        self.is_broken = False
        """Whether a member of the complete gang has ended before its work was done."""

    def add(self, position: int, tasks: int) -> None:
        """Adds a member that has started, of ``tasks``."""
        self.present.add(position)
        self.is_complete = self.is_complete or len(self.present) >= tasks

    def remove(self, position: int, is_done: bool) -> None:
        """Removes a member that has ended."""
        self.present.discard(position)
        self.is_broken = self.is_broken or (self.is_complete and not is_done)


class ServiceRecorder:
    """Record of when the tasks of services were at work, to check the limits of unavailable tasks."""

    def __init__(self, violations: list[str]) -> None:
        self._violations = violations
        self._started_ms: dict[TaskId, int] = {}
        """When the present run of each task started."""

        self._away_since_ms: dict[TaskId, int] = {}
        """When the last run of each task ended."""

        self.cancelled_jobs: set[JobId] = set()
        """Jobs whose cancellation has been sent; all of their tasks may be stopped."""

        self._stopping: set[TaskId] = set()
        self._stopped: set[TaskId] = set()
        """Tasks that were stopped and haven't been at work since."""

    def start(self, task: TaskId, now_ms: int) -> None:
        """Records the start of a task."""
        self._started_ms[task] = now_ms

    def end(self, task: TaskId, now_ms: int) -> None:
        """Records the end of a task's run."""
        started_ms = self._started_ms.get(task)
        if started_ms is None:
            return
        if task in self._stopping:
            self._stopped.add(task)
        elif now_ms - started_ms >= SERVICE_STARTUP_MS:
            self._stopped.discard(task)
        self._stopping.discard(task)
        del self._started_ms[task]
        self._away_since_ms[task] = now_ms

    def stop(self, task: TaskId, step: StepRequest, now_ms: int) -> None:
        """Records a stop, and a violation if the limit is used up by others that are away.

        Others are away after a stop, and after not having been at work for some seconds.
        """
        others = [
            task._replace(position=position)
            for position in range(step.tasks)
            if position != task.position
        ]
        away = sum(self._is_away(each, now_ms) for each in others)
        is_disrupted = self._is_at_work(task, now_ms) and task.job not in self.cancelled_jobs
        if is_disrupted and 0 < step.max_unavailable <= away:
            self._violations.append(
                f"{now_ms} ms: {task} is stopped while {away} others are away, "
                f"limit {step.max_unavailable}"
            )
        self._stopping.add(task)

    def _is_at_work(self, task: TaskId, now_ms: int) -> bool:
        started_ms = self._started_ms.get(task)
        return (
            started_ms is not None
            and now_ms - started_ms >= SERVICE_STARTUP_MS
            and task not in self._stopping
        )

    def _is_away(self, task: TaskId, now_ms: int) -> bool:
        if self._is_at_work(task, now_ms):
            return False
        if task in self._stopping or task in self._stopped:
            return True
        return now_ms - self._away_since_ms.get(task, 0) >= UNAVAILABLE_NOTICE_MS


class TaskRunRecorder:
    """Record of the runs on all workers, with the violations of invariants found in it."""

    def __init__(self) -> None:
        self.gang_runs: dict[tuple[TaskId, int], _GangRun] = {}
        """The runs of gangs, by the identifier of the first task and the number of the run."""

        self.lone_ends: list[str] = []
        """Ends of runs whose gang did not become complete in time."""

        self.running: dict[TaskId, set[WorkerName]] = {}
        """The workers on which each task is running now."""

        self.completed_tasks: set[TaskId] = set()
        """Tasks with a successfully completed run, even if the scheduler hasn't seen its end."""

        self._confirmed_done: set[TaskId] = set()
        self._last_started_ms: dict[TaskId, int] = {}
        self.start_counts: dict[TaskId, int] = {}
        """Number of starts of each task."""

        self.starts: list[tuple[int, TaskId]] = []
        """Each start with its time in ms, in the order of time."""

        self.violations: list[str] = []
        self.services = ServiceRecorder(self.violations)
        self.evacuated_ms: dict[ZoneName, int] = {}
        """When each of the evacuated zones was evacuated."""

        self.evacuation_deadline_ms: int | None = None
        """Time after which nothing may be started in an evacuated zone; None for no limit."""

        self.crashing_jobs: set[JobId] = set()
        """Jobs whose tasks crash each worker that starts them."""

        self.crashes: list[tuple[TaskId, WorkerName]] = []
        """The crashes of workers by tasks, in the order of time."""

        self._starts_after_crashes: dict[TaskId, int] = {}

    @property
    def has_incomplete_gang(self) -> bool:
        """Whether a member of a gang waits for others now."""
        return any(each.present and not each.is_complete for each in self.gang_runs.values())

    def start(self, task: TaskId, worker: WorkerName, now_ms: int) -> None:
        """Records the start of a task, and a violation if it is running or confirmed as done."""
        holders = self.running.setdefault(task, set())
        if holders:
            self.violations.append(
                f"{now_ms} ms: {task} is started on {worker} while it runs on {holders}"
            )
        if task in self._confirmed_done:
            self.violations.append(f"{now_ms} ms: {task} is started after it was confirmed as done")
        if self.count_crashes(task) >= MAX_CRASHES:
            starts = self._starts_after_crashes[task] = self._starts_after_crashes.get(task, 0) + 1
            if starts > MAX_STARTS_AFTER_CRASHES:
                self.violations.append(
                    f"{now_ms} ms: {task} is started {starts} times after it has crashed "
                    f"{MAX_CRASHES} workers"
                )
        self._last_started_ms[task] = now_ms
        self.starts.append((now_ms, task))
        holders.add(worker)
        self.start_counts[task] = self.start_counts.get(task, 0) + 1

    def check_zone(self, task: TaskId, zone: ZoneName, now_ms: int) -> None:
        """Records a violation if a task is started too late in an evacuated zone."""
        evacuated_ms = self.evacuated_ms.get(zone)
        if evacuated_ms is None or self.evacuation_deadline_ms is None:
            return
        if now_ms - evacuated_ms > self.evacuation_deadline_ms:
            self.violations.append(
                f"{now_ms} ms: {task} is started in zone {zone}, evacuated at {evacuated_ms} ms"
            )

    def count_crashes(self, task: TaskId) -> int:
        """Returns how many workers have crashed under a task that crashes them."""
        return sum(each == task for each, _ in self.crashes)

    def confirm_done(self, task: TaskId, ended_ms: int) -> None:
        """Records that the scheduler has confirmed the end of a successfully completed run.

        If a worker is lost with an end that wasn't confirmed, the task may run again. A start
        between the end of the run and its confirmation is a violation.
        """
        self._confirmed_done.add(task)
        if self._last_started_ms.get(task, 0) > ended_ms:
            self.violations.append(f"{ended_ms} ms: {task} was done but was started again later")

    def end(self, task: TaskId, worker: WorkerName, now_ms: int) -> None:
        """Records the end of a run."""
        self.running.get(task, set()).discard(worker)
        self.services.end(task, now_ms)


class VirtualWorker:
    """A simulated worker.

    Its clock starts at 0 with each restart, which increments the incarnation number.
    """

    def __init__(
        self,
        listed: ListedWorker,
        time: VirtualTime,
        recorder: TaskRunRecorder,
        find_step: Callable[[TaskId], StepRequest],
    ) -> None:
        self.listed = listed
        self._time = time
        self._recorder = recorder
        self._find_step = find_step
        self._started_s = time.seconds()
        self._highest_token = 0
        self._leases_until_ms = 0
        self._runs: dict[TaskId, _Run] = {}
        self._last_run_numbers: dict[TaskId, int] = {}
        """The highest number of a run of each task that has ended or must not start."""

        self._unconfirmed_ends: list[EndedTask] = []
        self._end_times_ms: dict[int, int] = {}
        """The time of each end, by its number, in ms of the site's virtual time."""

        self._last_end_before_expiry = 0
        """Ends up to this number preceded an expiry of the leases.

        Their tasks may run again, so confirming these ends records nothing.
        """

        self._end_count = 0
        self.max_ends_per_report = MAX_ENDS_PER_REPORT
        """How many unconfirmed ends a report lists, the earliest first."""

        self.end_listing_counts: dict[tuple[int, int], int] = {}
        """Number of reports that listed each end, by incarnation and number of the end."""

        self.last_started_ms = 0
        """When the worker last started a task, in ms of the site's virtual time."""

        self._earlier_listings: list[tuple[float, ListedWorker]] = []
        """Earlier entries, each with the time in s until which it was in force."""

        self.is_listed = True
        self.is_down = False
        self.fails_all_tasks = False
        self.refuses_starts = False
        """Whether it answers each start that it is unhealthy, without any effect."""

        self.is_crashed = False
        """Whether its process is gone: connections to it are closed and refused."""

        self._crashes_at_s: float | None = None
        self._restarts_at_s = 0.0
        self.slowness = 1.0
        """Factor by which the remaining duration of a task is multiplied at its start."""

    @property
    def now_ms(self) -> int:
        """Milliseconds on the worker's own clock."""
        return round((self._time.seconds() - self._started_s) * MS_PER_SECOND)

    @property
    def _site_time_ms(self) -> int:
        return round(self._time.seconds() * MS_PER_SECOND)

    @property
    def tasks(self) -> list[TaskId]:
        """The identifiers of the tasks that are running."""
        return list(self._runs)

    def change_capacity(self, capacity: Resources) -> None:
        """Changes the capacity, which the list of workers shows at once."""
        self.change_listing(capacity=capacity)

    def listing(self, delay_s: float) -> ListedWorker:
        """Returns the entry in the list of workers, which shows changes after ``delay_s``."""
        since_s = self._time.seconds() - delay_s
        for until_s, listed in self._earlier_listings:
            if until_s > since_s:
                return listed
        return self.listed

    def change_listing(self, **changes: Any) -> None:
        """Changes fields of the entry, which the list of workers shows at once."""
        self._earlier_listings.append((self._time.seconds(), self.listed))
        fields = {name: getattr(self.listed, name) for name in self.listed.__struct_fields__}
        self.listed = type(self.listed)(**fields | changes)

    def restart(self) -> None:
        """Crashes the worker and restarts it under the same name with the next incarnation number.

        All runs, fencing tokens and unconfirmed ends are lost.
        """
        self._lose_everything()
        self._started_s = self._time.seconds()
        self.change_listing(incarnation=max(self.listed.incarnation + 1, self._site_time_ms))

    def _lose_everything(self) -> None:
        for run in list(self._runs.values()):
            self._recorder.end(run.task, self.listed.name, self._site_time_ms)
            if run.step.is_gang:
                self._gang_run(run).remove(run.task.position, is_done=False)
        self._crashes_at_s = None
        self._runs.clear()
        self._last_run_numbers.clear()
        self._unconfirmed_ends.clear()
        self._end_count = self._last_end_before_expiry = 0
        self._highest_token = 0
        self._leases_until_ms = 0

    def start(self, token: int, command: StartCommand) -> Result[None, StartRefusal | Failure]:
        """Starts a run and extends the leases; a repeated command for the same run has no effect.

        Refuses a command with an old fencing token, an expired lease or an old run number.
        """
        self.advance()
        if self.refuses_starts:
            return Err(StartRefusal(RefusalReason.UNHEALTHY))
        if token < self._highest_token:
            return Err(StartRefusal(RefusalReason.FENCED))
        self._highest_token = token
        current_run = self._runs.get(command.task)
        if current_run is not None and current_run.number == command.run:
            return Ok(None)
        if command.lease_until_ms <= self.now_ms:
            return Err(StartRefusal(RefusalReason.LEASE_EXPIRED))
        self._extend_leases(command.lease_until_ms)
        if current_run is not None or command.run <= self._last_run_numbers.get(command.task, 0):
            return Err(StartRefusal(RefusalReason.SUPERSEDED_RUN))
        step = self._find_step(command.task)
        self._check_capacity(command.task, step)
        self._check_task_limit(command.task, step)
        run = _Run(command.task, command.run, step, self.now_ms)
        run.checkpoint = command.checkpoint
        saved_ms = int(command.checkpoint or 0)
        run.completes_ms = self.now_ms + round((step.expected_ms - saved_ms) * self.slowness)
        self._runs[command.task] = run
        self.last_started_ms = self._site_time_ms
        self._recorder.start(command.task, self.listed.name, self._site_time_ms)
        if step.runs_until_cancelled:
            self._recorder.services.start(command.task, self._site_time_ms)
        self._recorder.check_zone(command.task, self.listed.zone, self._site_time_ms)
        if step.is_gang:
            self._gang_run(run).add(run.task.position, step.tasks)
        if command.task.job in self._recorder.crashing_jobs and self._crashes_at_s is None:
            self._crashes_at_s = self._time.seconds() + to_seconds(CRASH_DELAY_MS)
        return Ok(None)

    def stop(self, token: int, task: TaskId, number: int) -> Result[None, Failure]:
        """Stops the task's run if its number is at most ``number``.

        Otherwise, runs up to ``number`` that arrive later are refused.
        """
        self.advance()
        if token < self._highest_token:
            return Err(Failure(FailureKind.CONFLICT, "stop", self.listed.name, "fenced"))
        self._highest_token = token
        run = self._runs.get(task)
        if run is not None and run.number <= number:
            if run.step.runs_until_cancelled and run.stops_ms is None:
                self._recorder.services.stop(task, run.step, self._site_time_ms)
            run.stops_ms = run.stops_ms or self.now_ms + TASK_STOP_MS
        else:
            self._last_run_numbers[task] = max(self._last_run_numbers.get(task, 0), number)
        return Ok(None)

    def report(
        self, token: int, confirmed: int, until_ms: int | None
    ) -> Result[WorkerReport, Failure]:
        """Extends the leases, discards confirmed ends and returns a report.

        Args:
            token: Fencing token of the caller.
            confirmed: Highest number of an end that the caller has confirmed.
            until_ms: New end of the leases on the worker's clock, or None to leave them.
        """
        self.advance()
        if token < self._highest_token:
            return Err(Failure(FailureKind.CONFLICT, "report", self.listed.name, "fenced"))
        self._highest_token = token
        if until_ms is not None:
            self._extend_leases(until_ms)
        self._record_lease_expiry()
        for end in self._unconfirmed_ends:
            if self._last_end_before_expiry < end.number <= confirmed and end.kind is EndKind.DONE:
                self._recorder.confirm_done(end.task, self._end_times_ms[end.number])
        self._unconfirmed_ends = [end for end in self._unconfirmed_ends if end.number > confirmed]
        listed_ends = self._unconfirmed_ends[: self.max_ends_per_report]
        for end in listed_ends:
            key = (self.listed.incarnation, end.number)
            self.end_listing_counts[key] = self.end_listing_counts.get(key, 0) + 1
        return Ok(
            WorkerReport(
                self.listed.incarnation,
                self.now_ms,
                tuple(
                    RunningTask(
                        run.task,
                        run.number,
                        self._current_checkpoint(run),
                        self._percent_complete(run),
                    )
                    for run in self._runs.values()
                ),
                tuple(listed_ends),
                lists_all_ends=len(listed_ends) < self.max_ends_per_report,
            )
        )

    @property
    def unconfirmed_ends(self) -> list[EndedTask]:
        """The ends that the scheduler has not confirmed yet."""
        return list(self._unconfirmed_ends)

    @property
    def has_unconfirmed_ends(self) -> bool:
        """Whether there are unconfirmed ends."""
        return bool(self._unconfirmed_ends)

    def crash(self, down_ms: int = CRASH_DOWN_MS) -> None:
        """Ends the worker's process; it restarts under the same name after ``down_ms``."""
        for run in self._runs.values():
            if run.task.job in self._recorder.crashing_jobs:
                self._recorder.crashes.append((run.task, self.listed.name))
        self._lose_everything()
        self.is_crashed = True
        self._restarts_at_s = self._time.seconds() + to_seconds(down_ms)

    def advance(self) -> None:
        """Ends the runs that have completed, failed, been stopped or lost their lease by now.

        Crashes and restarts the worker when it is time to.
        """
        if self._crashes_at_s is not None and self._time.seconds() >= self._crashes_at_s:
            self.crash()
        if self.is_crashed and self._time.seconds() >= self._restarts_at_s:
            self.is_crashed = False
            self.restart()
        now_ms = self.now_ms
        if self._runs and now_ms >= self._leases_until_ms:
            for run in list(self._runs.values()):
                self._end_run(run, EndKind.LEASE_EXPIRED)
        for run in list(self._runs.values()):
            if run.stops_ms is not None and run.stops_ms <= now_ms:
                self._end_run(run, EndKind.STOPPED)
            elif self.fails_all_tasks:
                self._end_run(run, EndKind.FAILED)
            elif run.step.is_gang and self._gang_run(run).is_broken:
                self._end_run(run, EndKind.GANG_BROKEN)
            elif run.step.is_gang and not self._gang_run(run).is_complete:
                if now_ms - run.started_ms >= GANG_START_TIMEOUT_MS:
                    self._end_run(run, EndKind.GANG_INCOMPLETE)
            elif run.completes_ms <= now_ms and not run.step.runs_until_cancelled:
                self._end_run(run, EndKind.DONE)

    def _gang_run(self, run: _Run) -> _GangRun:
        key = (run.task._replace(position=0), run.number)
        return self._recorder.gang_runs.setdefault(key, _GangRun())

    def _current_checkpoint(self, run: _Run) -> str:
        if not run.step.saves_checkpoints:
            return ""
        return str(int(run.checkpoint or 0) + self.now_ms - run.started_ms)

    def _percent_complete(self, run: _Run) -> int:
        if run.step.runs_until_cancelled:
            return 100 if self.now_ms - run.started_ms >= SERVICE_STARTUP_MS else 0
        duration_ms = max(1, run.completes_ms - run.started_ms)
        return min(100, 100 * (self.now_ms - run.started_ms) // duration_ms)

    def _end_run(self, run: _Run, kind: EndKind) -> None:
        del self._runs[run.task]
        self._recorder.end(run.task, self.listed.name, self._site_time_ms)
        if run.step.is_gang:
            self._gang_run(run).remove(run.task.position, is_done=kind is EndKind.DONE)
        if kind is EndKind.GANG_INCOMPLETE:
            self._recorder.lone_ends.append(
                f"{self._site_time_ms} ms: {run.task} run {run.number} on {self.listed.name}"
            )
        if kind is EndKind.DONE:
            self._recorder.completed_tasks.add(run.task)
        self._last_run_numbers[run.task] = max(self._last_run_numbers.get(run.task, 0), run.number)
        self._end_count += 1
        self._end_times_ms[self._end_count] = self._site_time_ms
        checkpoint = self._current_checkpoint(run) if kind is not EndKind.DONE else ""
        self._unconfirmed_ends.append(
            EndedTask(self._end_count, run.task, run.number, kind, checkpoint)
        )

    def _record_lease_expiry(self) -> None:
        if self.now_ms >= self._leases_until_ms:
            self._last_end_before_expiry = self._end_count

    def _extend_leases(self, until_ms: int) -> None:
        self._record_lease_expiry()
        self._leases_until_ms = max(
            self._leases_until_ms, min(until_ms, self.now_ms + MAX_LEASE_MS)
        )

    def _check_task_limit(self, task: TaskId, step: StepRequest) -> None:
        present = sum(each[:3] == task[:3] for each in self._runs)
        if step.tasks_per_worker and present >= step.tasks_per_worker:
            self._recorder.violations.append(
                f"{self._site_time_ms} ms: {task} is started beside {present} tasks of its step, "
                f"limit {step.tasks_per_worker}"
            )

    def _check_capacity(self, task: TaskId, step: StepRequest) -> None:
        used = Resources()
        for run in self._runs.values():
            used = used + run.step.needs
        since_s = self._time.seconds() - to_seconds(CAPACITY_NOTICE_MS)
        capacities = [
            each.capacity for until_s, each in self._earlier_listings if until_s > since_s
        ]
        needs = used + step.needs
        if not any(needs.fits_in(each) for each in (self.listed.capacity, *capacities)):
            self._recorder.violations.append(
                f"{self.now_ms} ms: {task} exceeds the capacity of its worker"
            )


def _connection_lost(kind: FailureKind, step: str, worker: ListedWorker) -> Err[Failure]:
    return Err(Failure(kind, step, worker.name, "connection lost", is_connection_lost=True))


class VirtualWorkers:
    """Implements ``SiteWorkers`` for one entry host, with injected faults."""

    def __init__(
        self,
        reactor: HostReactor,
        workers: dict[WorkerName, VirtualWorker],
        random: Random,
    ) -> None:
        self._reactor: Any = reactor
        self._workers = workers
        self._random = random
        self.unreachable_workers: set[WorkerName] = set()
        self.steps_without_answer: set[str] = set()
        """Names of commands that are carried out but whose answers are lost."""

        """Workers that this entry host can't reach."""

        self.report_delay_ms = 0
        """How long the response with a report takes; responses to commands may overtake it."""

        self.late_command_probability = 0.0
        """Probability (0 to 1) that a command times out and takes effect seconds later."""

        self.commands_per_s: float | None = None
        """How many commands the link of this entry host carries; None for an unlimited link."""

        self._link_free_s = 0.0

    async def start(
        self, worker: ListedWorker, token: FencingToken, command: StartCommand
    ) -> Result[None, StartRefusal | Failure]:
        """Starts a run; a timed-out command may still take effect."""
        outcome: Result[None, StartRefusal | Failure] = await self._call(
            worker, "start", lambda target: target.start(token, command)
        )
        return outcome

    async def stop(
        self, worker: ListedWorker, token: FencingToken, task: TaskId, run: int
    ) -> Result[None, Failure]:
        """Stops a run; a timed-out command may still take effect."""
        outcome: Result[None, Failure] = await self._call(
            worker, "stop", lambda target: target.stop(token, task, run)
        )
        return outcome

    async def poll(
        self,
        worker: ListedWorker,
        token: FencingToken,
        confirmed_ends: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, Failure]:
        """Extends the leases of all runs, confirms ends and waits for unconfirmed ones.

        Returns as soon as there are unconfirmed ends, at the latest after ``wait_ms``.
        """
        end_s = self._reactor.seconds() + to_seconds(wait_ms)
        incarnation: int | None = None
        while True:
            target = self._workers.get(worker.name)
            if target is not None and incarnation not in (None, target.listed.incarnation):
                # The worker has crashed, which reset the connection that the call was waiting on.
                return _connection_lost(FailureKind.NO_ANSWER, "report", worker)
            incarnation = None if target is None else target.listed.incarnation
            reported: Result[WorkerReport, Failure] = await self._call(
                worker,
                "report",
                partial(
                    VirtualWorker.report, token=token, confirmed=confirmed_ends, until_ms=until_ms
                ),
                may_be_late=False,
            )
            if isinstance(reported, Err) or target is None or target.has_unconfirmed_ends:
                return reported
            if self._reactor.seconds() >= end_s:
                return reported
            # The first call has extended the leases; the next ones only poll for ends.
            until_ms = None
            await sleep(self._reactor, REPORT_POLL_INTERVAL_MS)

    async def _call(
        self,
        worker: ListedWorker,
        step: str,
        action: Callable[[VirtualWorker], Any],
        may_be_late: bool = True,
    ) -> Any:
        target = self._workers.get(worker.name)
        if target is None or target.is_down or worker.name in self.unreachable_workers:
            await sleep(self._reactor, CALL_TIMEOUT_MS)
            return Err(Failure(FailureKind.NO_ANSWER, step, worker.name, "timed out"))
        if target.is_crashed:
            await sleep(self._reactor, CALL_LATENCY_MS)
            return _connection_lost(FailureKind.NOT_SENT, step, worker)
        if may_be_late and self.commands_per_s is not None:
            delay_s = self._queue_on_link(self.commands_per_s)
            if delay_s > to_seconds(CALL_TIMEOUT_MS):
                self._reactor.callLater(delay_s, lambda: action(target))
                await sleep(self._reactor, CALL_TIMEOUT_MS)
                return Err(Failure(FailureKind.NO_ANSWER, step, worker.name, "timed out"))
            await sleep(self._reactor, round(delay_s * MS_PER_SECOND))
        if may_be_late and self._random.random() < self.late_command_probability:
            delay_s = to_seconds(self._random.randint(*LATE_COMMAND_DELAY_MS))
            self._reactor.callLater(delay_s, lambda: action(target))
            await sleep(self._reactor, CALL_TIMEOUT_MS)
            return Err(Failure(FailureKind.NO_ANSWER, step, worker.name, "timed out"))
        await sleep(self._reactor, CALL_LATENCY_MS)
        if target.is_crashed:
            return _connection_lost(FailureKind.NO_ANSWER, step, worker)
        result = action(target)
        if step == "report":
            await sleep(self._reactor, self.report_delay_ms)
        if worker.name in self.unreachable_workers or step in self.steps_without_answer:
            await sleep(self._reactor, CALL_TIMEOUT_MS)
            return Err(Failure(FailureKind.NO_ANSWER, step, worker.name, "timed out"))
        return result

    def _queue_on_link(self, commands_per_s: float) -> float:
        """Returns the time in seconds until the link has carried one more command."""
        now_s: float = self._reactor.seconds()
        self._link_free_s = max(now_s, self._link_free_s) + 1 / commands_per_s
        return self._link_free_s - now_s
