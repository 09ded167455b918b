"""Workers that run tasks under leases, and check what the scheduler promises about them."""

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
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.core.fleet.reports import TaskName
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import WorkerName
    from jujubehall.platform.site_store import StartOrder
    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.virtual_time import VirtualTime

LATENCY_MS = 1
ORDER_TIMEOUT_MS = 700
SERVICE_START_MS = 300
"""After this time a task that runs until it is cancelled is at work."""

STOP_MS = 300
GANG_WAIT_MS = 3_000
LONGEST_LEASE_MS = 6_000
LATE_MS = (2_000, 8_000)
LOOK_MS = 10


class _Run:
    def __init__(self, task: TaskName, run: int, step: StepRequest, now_ms: int) -> None:
        self.task = task
        self.run = run
        self.step = step
        self.started_ms = now_ms
        self.done_ms = 0
        self.stopping_ms: int | None = None
        self.checkpoint = ""


class TaskLedger:
    """What all workers have run, to find broken promises."""

    def __init__(self) -> None:
        self.running: dict[TaskName, set[WorkerName]] = {}
        self.done: set[TaskName] = set()
        """Tasks of which a run has ended as done, whether the scheduler knows it or not."""

        self._confirmed: set[TaskName] = set()
        self._started_ms: dict[TaskName, int] = {}
        self.starts: dict[TaskName, int] = {}
        self.violations: list[str] = []

    def start(self, task: TaskName, worker: WorkerName, now_ms: int) -> None:
        """Notes a start."""
        holders = self.running.setdefault(task, set())
        if holders:
            self.violations.append(f"{now_ms}: {task} runs on {holders} and {worker}")
        if task in self._confirmed:
            self.violations.append(f"{now_ms}: {task} is started after it was done")
        self._started_ms[task] = now_ms
        holders.add(worker)
        self.starts[task] = self.starts.get(task, 0) + 1

    def confirm_done(self, task: TaskName, ended_ms: int) -> None:
        """Notes that the scheduler has confirmed the end of a run that was done.

        An end that is lost with its worker is never confirmed, and its task may run again.
        """
        self._confirmed.add(task)
        if self._started_ms.get(task, 0) > ended_ms:
            self.violations.append(f"{ended_ms}: {task} was started again after it was done")

    def end(self, task: TaskName, worker: WorkerName) -> None:
        """Notes an end."""
        self.running.get(task, set()).discard(worker)


class VirtualWorker:
    """One worker; its clock starts at 0 with each life."""

    def __init__(
        self,
        listed: ListedWorker,
        time: VirtualTime,
        ledger: TaskLedger,
        find_step: Callable[[TaskName], StepRequest],
        gang_runs: dict[tuple[Any, ...], set[int]],
    ) -> None:
        self.listed = listed
        self._time = time
        self._ledger = ledger
        self._find_step = find_step
        self._gang_runs = gang_runs
        self._born_s = time.seconds()
        self._token = 0
        self._until_ms = 0
        self._runs: dict[TaskName, _Run] = {}
        self._highest: dict[TaskName, int] = {}
        self._ended: list[EndedTask] = []
        self._ended_ms: dict[int, int] = {}
        self._void_ends = 0
        """Ends up to this number came before a lapse of the leases; they bind nobody."""

        self._count = 0
        self.is_listed = True
        self.is_down = False
        self.fails_everything = False
        self.slowness = 1.0

    @property
    def now_ms(self) -> int:
        """The worker's own clock."""
        return round((self._time.seconds() - self._born_s) * MS_PER_SECOND)

    @property
    def _site_ms(self) -> int:
        return round(self._time.seconds() * MS_PER_SECOND)

    @property
    def tasks(self) -> list[TaskName]:
        """What runs there."""
        return list(self._runs)

    def restart(self) -> None:
        """Crashes and starts a new life under the same name."""
        for task in list(self._runs):
            self._ledger.end(task, self.listed.name)
        self._runs.clear()
        self._highest.clear()
        self._ended.clear()
        self._count = self._void_ends = 0
        self._token = 0
        self._until_ms = 0
        self._born_s = self._time.seconds()
        fields = {name: getattr(self.listed, name) for name in self.listed.__struct_fields__}
        self.listed = type(self.listed)(**fields | {"life": self.listed.life + 1})

    def start(self, token: int, order: StartOrder) -> Result[None, StartRefusal | Failure]:
        """Carries out a start."""
        self.advance()
        if token < self._token:
            return Err(StartRefusal(RefusalReason.FENCED))
        self._token = token
        present = self._runs.get(order.task)
        if present is not None and present.run == order.run:
            return Ok(None)
        if order.until_ms <= self.now_ms:
            return Err(StartRefusal(RefusalReason.LEASE_OVER))
        self._extend(order.until_ms)
        if present is not None or order.run <= self._highest.get(order.task, 0):
            return Err(StartRefusal(RefusalReason.OLD_RUN))
        step = self._find_step(order.task)
        self._check_room(order.task, step)
        run = _Run(order.task, order.run, step, self.now_ms)
        run.checkpoint = order.checkpoint
        saved_ms = int(order.checkpoint or 0)
        run.done_ms = self.now_ms + round((step.expected_ms - saved_ms) * self.slowness)
        self._runs[order.task] = run
        self._ledger.start(order.task, self.listed.name, self._site_ms)
        self._gang_runs.setdefault((order.task[:3], order.run), set()).add(order.task.position)
        return Ok(None)

    def stop(self, token: int, task: TaskName, number: int) -> Result[None, Failure]:
        """Carries out a stop."""
        self.advance()
        if token < self._token:
            return Err(Failure(FailureKind.CONFLICT, "stop", self.listed.name, "fenced"))
        self._token = token
        run = self._runs.get(task)
        if run is not None and run.run <= number:
            run.stopping_ms = run.stopping_ms or self.now_ms + STOP_MS
        else:
            self._highest[task] = max(self._highest.get(task, 0), number)
        return Ok(None)

    def hold(
        self, token: int, confirmed: int, until_ms: int | None
    ) -> Result[WorkerReport, Failure]:
        """Extends leases, forgets confirmed ends, reports."""
        self.advance()
        if token < self._token:
            return Err(Failure(FailureKind.CONFLICT, "report", self.listed.name, "fenced"))
        self._token = token
        if until_ms is not None:
            self._extend(until_ms)
        self._note_lapse()
        for each in self._ended:
            if self._void_ends < each.number <= confirmed and each.kind is EndKind.DONE:
                self._ledger.confirm_done(each.task, self._ended_ms[each.number])
        self._ended = [each for each in self._ended if each.number > confirmed]
        return Ok(
            WorkerReport(
                self.listed.life,
                self.now_ms,
                tuple(
                    RunningTask(run.task, run.run, self._progress(run), self._percent(run))
                    for run in self._runs.values()
                ),
                tuple(self._ended),
            )
        )

    @property
    def has_news(self) -> bool:
        """Whether there are ends that are not confirmed."""
        return bool(self._ended)

    def advance(self) -> None:
        """Ends what has come to its end by now."""
        now_ms = self.now_ms
        if self._runs and now_ms >= self._until_ms:
            for run in list(self._runs.values()):
                self._end(run, EndKind.LEASE_LAPSED)
        for run in list(self._runs.values()):
            if run.stopping_ms is not None and run.stopping_ms <= now_ms:
                self._end(run, EndKind.STOPPED)
            elif self.fails_everything:
                self._end(run, EndKind.FAILED)
            elif run.step.is_gang and not self._is_gang_present(run):
                if now_ms - run.started_ms >= GANG_WAIT_MS:
                    self._end(run, EndKind.GANG_INCOMPLETE)
            elif run.done_ms <= now_ms and not run.step.runs_until_cancelled:
                self._end(run, EndKind.DONE)

    def _is_gang_present(self, run: _Run) -> bool:
        present = self._gang_runs.get((run.task[:3], run.run), set())
        return len(present) >= run.step.tasks

    def _progress(self, run: _Run) -> str:
        if not run.step.saves_checkpoints:
            return ""
        return str(int(run.checkpoint or 0) + self.now_ms - run.started_ms)

    def _percent(self, run: _Run) -> int:
        if run.step.runs_until_cancelled:
            return 100 if self.now_ms - run.started_ms >= SERVICE_START_MS else 0
        duration_ms = max(1, run.done_ms - run.started_ms)
        return min(100, 100 * (self.now_ms - run.started_ms) // duration_ms)

    def _end(self, run: _Run, kind: EndKind) -> None:
        del self._runs[run.task]
        self._ledger.end(run.task, self.listed.name)
        if kind is EndKind.DONE:
            self._ledger.done.add(run.task)
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        self._count += 1
        self._ended_ms[self._count] = self._site_ms
        checkpoint = self._progress(run) if kind is not EndKind.DONE else ""
        self._ended.append(EndedTask(self._count, run.task, run.run, kind, checkpoint))

    def _note_lapse(self) -> None:
        if self.now_ms >= self._until_ms:
            self._void_ends = self._count

    def _extend(self, until_ms: int) -> None:
        self._note_lapse()
        self._until_ms = max(self._until_ms, min(until_ms, self.now_ms + LONGEST_LEASE_MS))

    def _check_room(self, task: TaskName, step: StepRequest) -> None:
        used = Resources()
        for run in self._runs.values():
            used = used + run.step.needs
        if not (used + step.needs).fits_in(self.listed.capacity):
            self._ledger.violations.append(f"{self.now_ms}: {task} is too much")


class VirtualWorkers:
    """Implements ``SiteWorkers`` for one entry host."""

    def __init__(
        self,
        reactor: HostReactor,
        workers: dict[WorkerName, VirtualWorker],
        random: Random,
    ) -> None:
        self._reactor: Any = reactor
        self._workers = workers
        self._random = random
        self.cut: set[WorkerName] = set()
        self.late_orders = 0.0
        """The share of orders that get no answer and are carried out seconds later."""

    async def start(
        self, worker: ListedWorker, token: FencingToken, order: StartOrder
    ) -> Result[None, StartRefusal | Failure]:
        """Starts a run."""
        outcome: Result[None, StartRefusal | Failure] = await self._call(
            worker, "start", lambda target: target.start(token, order)
        )
        return outcome

    async def stop(
        self, worker: ListedWorker, token: FencingToken, task: TaskName, run: int
    ) -> Result[None, Failure]:
        """Stops a run."""
        outcome: Result[None, Failure] = await self._call(
            worker, "stop", lambda target: target.stop(token, task, run)
        )
        return outcome

    async def report(
        self,
        worker: ListedWorker,
        token: FencingToken,
        confirmed_ends: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, Failure]:
        """Extends the leases of all that runs, confirms ends and asks for the rest."""
        end_s = self._reactor.seconds() + to_seconds(wait_ms)
        life: int | None = None
        while True:
            target = self._workers.get(worker.name)
            if target is not None and life not in (None, target.listed.life):
                # Its crash has broken the connection on which the report was awaited.
                return Err(Failure(FailureKind.NO_ANSWER, "report", worker.name, "reset"))
            life = None if target is None else target.listed.life
            reported: Result[WorkerReport, Failure] = await self._call(
                worker,
                "report",
                partial(
                    VirtualWorker.hold, token=token, confirmed=confirmed_ends, until_ms=until_ms
                ),
                may_be_late=False,
            )
            if isinstance(reported, Err) or target is None or target.has_news:
                return reported
            if self._reactor.seconds() >= end_s:
                return reported
            # The lease was extended by the first look; later ones only wait for news.
            until_ms = None
            await sleep(self._reactor, LOOK_MS)

    async def _call(
        self,
        worker: ListedWorker,
        step: str,
        action: Callable[[VirtualWorker], Any],
        may_be_late: bool = True,
    ) -> Any:
        target = self._workers.get(worker.name)
        if target is None or target.is_down or worker.name in self.cut:
            await sleep(self._reactor, ORDER_TIMEOUT_MS)
            return Err(Failure(FailureKind.NO_ANSWER, step, worker.name, "timed out"))
        if may_be_late and self._random.random() < self.late_orders:
            delay_s = to_seconds(self._random.randint(*LATE_MS))
            self._reactor.callLater(delay_s, lambda: action(target))
            await sleep(self._reactor, ORDER_TIMEOUT_MS)
            return Err(Failure(FailureKind.NO_ANSWER, step, worker.name, "timed out"))
        await sleep(self._reactor, LATENCY_MS)
        result = action(target)
        if worker.name in self.cut:
            await sleep(self._reactor, ORDER_TIMEOUT_MS)
            return Err(Failure(FailureKind.NO_ANSWER, step, worker.name, "timed out"))
        return result
