"""The state of a worker's stand-in: tasks under leases, fenced by epochs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Epoch
from jujubehall.workers.messages import Inventory
from jujubehall.workers.messages import Resources
from jujubehall.workers.messages import TaskKey
from jujubehall.workers.messages import TaskState
from jujubehall.workers.messages import TaskStatus
from jujubehall.workers.refusals import FENCED
from jujubehall.workers.refusals import NO_ROOM

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.identifiers import RackName
    from jujubehall.identifiers import WorkerName
    from jujubehall.identifiers import ZoneName
    from jujubehall.workers.messages import Checkpoint
    from jujubehall.workers.messages import Fence
    from jujubehall.workers.messages import Renew
    from jujubehall.workers.messages import Reserve
    from jujubehall.workers.messages import StartTask
    from jujubehall.workers.messages import StopTask
    from jujubehall.workers.messages import Throttle

FINISHED_RETENTION_MS = 60_000
_HOLDING = (TaskState.RESERVED, TaskState.RUNNING, TaskState.CHECKPOINTED)


class WorkerBehaviour(msgspec.Struct, frozen=True):
    """How the stand-in behaves; ``fail_all`` fails every task as soon as it starts.

    ``run_ms`` is the time a task takes unless its command says ``run:<milliseconds>``.
    """

    fail_all: bool = False
    run_ms: int = 1_000
    usage_lag_ms: int = 5_000


class Task(msgspec.Struct):
    """A task, its lease and, once started, the moment at which it ends by itself."""

    key: TaskKey
    resources: Resources
    state: TaskState
    lease_until_ms: int
    ends_at_ms: int = 0
    changed_at_ms: int = 0
    fails: bool = False
    percent: int = 100


class Span(msgspec.Struct):
    """The time in which a task ran on the worker; ``ended_at_ms`` is None while it runs."""

    began_at_ms: int
    ended_at_ms: int | None = None
    outcome: TaskState = TaskState.RUNNING


class WorkerState:
    """A worker in memory, without any input or output; randomised runs call it directly."""

    def __init__(
        self,
        clock: Clock,
        name: WorkerName,
        zone: ZoneName,
        rack: RackName,
        capacity: Resources,
        behaviour: WorkerBehaviour,
    ) -> None:
        self._clock = clock
        self._name = name
        self._zone = zone
        self._rack = rack
        self._capacity = capacity
        self._epoch = Epoch(0)
        self._tasks: dict[TaskKey, Task] = {}
        self._foreign_history: list[tuple[int, Resources]] = [(0, Resources(0))]
        self.behaviour = behaviour
        self.is_down = False
        """Whether the worker answers nothing; its tasks are lost when it goes down."""

        self.answer_delay_ms = 0
        self.started: dict[TaskKey, int] = {}
        self.spans: dict[TaskKey, Span] = {}
        """When each task ran, for the invariants of tests."""

        self.reserved_at_ms: dict[TaskKey, int] = {}

    @property
    def tasks(self) -> list[Task]:
        """The tasks known here, after the passing of time."""
        self._pass_time()
        return list(self._tasks.values())

    def set_foreign(self, resources: Resources) -> None:
        """Sets what the older scheduler's tasks use from now on."""
        self._foreign_history.append((self._clock.now_ms, resources))

    def inventory(self) -> Inventory:
        """The worker's account, with the older scheduler's use as of some seconds ago."""
        self._pass_time()
        tasks = tuple(
            TaskStatus(task.key, task.state, task.resources) for task in self._tasks.values()
        )
        return Inventory(
            self._name, self._zone, self._rack, self._capacity, self._epoch, tasks, self._lagging()
        )

    def restart(self) -> None:
        """Loses every task and the epoch, as a worker that is started again does."""
        self._pass_time()
        for task in list(self._tasks.values()):
            if task.state in _HOLDING:
                self._end(task, TaskState.STOPPED, self._clock.now_ms)
        self._tasks.clear()
        self._epoch = Epoch(0)

    def go_down(self) -> None:
        """Loses every task and answers nothing, until ``is_down`` is reset."""
        self.restart()
        self.is_down = True

    def fence(self, command: Fence) -> Result[Inventory, Failure]:
        """Raises the epoch."""
        return self._admit("fence", command.epoch) or Ok(self.inventory())

    def reserve(self, command: Reserve) -> Result[Inventory, Failure]:
        """Sets resources aside; a repeated reservation is answered as the first one."""
        if refusal := self._admit("reserve", command.epoch):
            return refusal
        if command.key not in self._tasks:
            if not self._fits(command.resources):
                return self._refuse("reserve", NO_ROOM)
            self._tasks[command.key] = Task(
                command.key, command.resources, TaskState.RESERVED, 0, 0, self._clock.now_ms
            )
            self.reserved_at_ms[command.key] = self._clock.now_ms
        return self._extend("reserve", command.key, command.lease_ms)

    def start(self, command: StartTask) -> Result[Inventory, Failure]:
        """Starts a reserved task; a repeated start is answered as the first one."""
        if refusal := self._admit("start", command.epoch):
            return refusal
        task = self._tasks.get(command.key)
        if task is None or task.state not in _HOLDING:
            return self._refuse("start", "no such reservation")
        if task.state is TaskState.RESERVED:
            self._begin(task, command.command)
        return self._extend("start", command.key, command.lease_ms)

    def renew(self, command: Renew) -> Result[Inventory, Failure]:
        """Extends leases; tasks that are gone are seen from the inventory."""
        if refusal := self._admit("renew", command.epoch):
            return refusal
        for key in command.keys:
            self._extend("renew", key, command.lease_ms)
        return Ok(self.inventory())

    def checkpoint(self, command: Checkpoint) -> Result[Inventory, Failure]:
        """Saves a running task's state."""
        if refusal := self._admit("checkpoint", command.epoch):
            return refusal
        task = self._tasks.get(command.key)
        if task is None or task.state not in (TaskState.RUNNING, TaskState.CHECKPOINTED):
            return self._refuse("checkpoint", "no such task")
        task.state = TaskState.CHECKPOINTED
        return Ok(self.inventory())

    def stop(self, command: StopTask) -> Result[Inventory, Failure]:
        """Stops a task or drops its reservation."""
        if refusal := self._admit("stop", command.epoch):
            return refusal
        task = self._tasks.get(command.key)
        if task is not None and task.state in _HOLDING:
            self._end(task, TaskState.STOPPED, self._clock.now_ms)
        return Ok(self.inventory())

    def throttle(self, command: Throttle) -> Result[Inventory, Failure]:
        """Slows a running task down to a share of its speed."""
        if refusal := self._admit("throttle", command.epoch):
            return refusal
        task = self._tasks.get(command.key)
        if task is None or task.state not in (TaskState.RUNNING, TaskState.CHECKPOINTED):
            return self._refuse("throttle", "no such task")
        now_ms = self._clock.now_ms
        left_at_full_speed_ms = (task.ends_at_ms - now_ms) * task.percent // 100
        task.ends_at_ms = now_ms + left_at_full_speed_ms * 100 // command.percent
        task.percent = command.percent
        return Ok(self.inventory())

    def _admit(self, step: str, epoch: Epoch) -> Err[Failure] | None:
        self._pass_time()
        if epoch < self._epoch:
            return self._refuse(step, f"epoch {epoch} is {FENCED} by {self._epoch}")
        self._epoch = epoch
        return None

    def _refuse(self, step: str, reason: str) -> Err[Failure]:
        return Err(Failure(FailureKind.CONFLICT, step, self._name, reason))

    def _fits(self, wanted: Resources) -> bool:
        held = [task.resources for task in self._tasks.values() if task.state in _HOLDING]
        held.append(self._foreign_history[-1][1])
        return (
            sum(r.accelerators for r in held) + wanted.accelerators <= self._capacity.accelerators
            and sum(r.cores for r in held) + wanted.cores <= self._capacity.cores
            and sum(r.memory_gb for r in held) + wanted.memory_gb <= self._capacity.memory_gb
        )

    def _begin(self, task: Task, command: str) -> None:
        now_ms = self._clock.now_ms
        self.started[task.key] = self.started.get(task.key, 0) + 1
        self.spans[task.key] = Span(now_ms)
        words = dict(word.split(":", 1) for word in command.split() if ":" in word)
        run_ms = int(words.get("run", self.behaviour.run_ms))
        task.state = TaskState.RUNNING
        task.fails = self.behaviour.fail_all or "fail" in command.split()
        task.ends_at_ms = now_ms if task.fails else now_ms + run_ms

    def _extend(self, step: str, key: TaskKey, lease_ms: int) -> Result[Inventory, Failure]:
        task = self._tasks.get(key)
        if task is None or task.state not in _HOLDING:
            return self._refuse(step, "no such task")
        task.lease_until_ms = self._clock.now_ms + lease_ms
        return Ok(self.inventory())

    def _pass_time(self) -> None:
        now_ms = self._clock.now_ms
        for task in list(self._tasks.values()):
            if task.state not in _HOLDING:
                if task.changed_at_ms + FINISHED_RETENTION_MS <= now_ms:
                    del self._tasks[task.key]
            elif task.state is not TaskState.RESERVED and task.ends_at_ms <= min(
                now_ms, task.lease_until_ms or now_ms
            ):
                state = TaskState.FAILED if task.fails else TaskState.SUCCEEDED
                self._end(task, state, task.ends_at_ms)
            elif task.lease_until_ms and task.lease_until_ms <= now_ms:
                self._end(task, TaskState.LAPSED, task.lease_until_ms)

    def _end(self, task: Task, state: TaskState, at_ms: int) -> None:
        task.state = state
        task.changed_at_ms = self._clock.now_ms
        span = self.spans.get(task.key)
        if span is not None and span.ended_at_ms is None:
            span.ended_at_ms = at_ms
            span.outcome = state

    def _lagging(self) -> Resources:
        as_of_ms = self._clock.now_ms - self.behaviour.usage_lag_ms
        known = [use for since_ms, use in self._foreign_history if since_ms <= as_of_ms]
        return known[-1] if known else self._foreign_history[0][1]
