"""In-memory worker that runs tasks under leases and rejects commands with an outdated epoch."""

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

FINISHED_TASK_RETENTION_MS = 60_000
_RESOURCE_HOLDING_STATES = (TaskState.RESERVED, TaskState.RUNNING, TaskState.CHECKPOINTED)


class WorkerBehaviour(msgspec.Struct, frozen=True):
    """Configures the tasks and the reports of a simulated worker.

    ``fail_all`` makes every task fail as soon as it starts. ``run_ms`` is the run time of a task
    whose command doesn't contain ``run:<milliseconds>``. ``usage_lag_ms`` is the delay until the
    inventory shows a change of the older scheduler's resource use.
    """

    fail_all: bool = False
    run_ms: int = 1_000
    usage_lag_ms: int = 5_000


class Task(msgspec.Struct):
    """A task or reservation on a simulated worker.

    ``lease_until_ms`` is the expiry time of its lease and ``ends_at_ms`` the time at which a
    started task completes. ``changed_at_ms`` is the time of the reservation, later that of the
    final state. ``percent`` is the share of its full speed at which the task runs.
    """

    key: TaskKey
    resources: Resources
    state: TaskState
    lease_until_ms: int
    ends_at_ms: int = 0
    changed_at_ms: int = 0
    will_fail: bool = False
    percent: int = 100


class TaskRun(msgspec.Struct):
    """The run of a task on a worker; ``ended_at_ms`` is None until the run has ended."""

    started_at_ms: int
    ended_at_ms: int | None = None
    outcome: TaskState = TaskState.RUNNING


class WorkerState:
    """A simulated worker that performs no I/O.

    Randomised tests call it directly; ``WorkerStandIn`` serves it over HTTP to real processes.
    """

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
        self._foreign_use_history: list[tuple[int, Resources]] = [(0, Resources(0))]
        self.behaviour = behaviour
        self.is_down = False
        """Whether the worker is unresponsive; ``fail`` sets it and discards all tasks."""

        self.command_delay_ms = 0
        """The delay before the worker executes a command; applied by the virtual site's client."""

        self.start_counts: dict[TaskKey, int] = {}
        """The number of starts of each task."""

        self.runs_by_task: dict[TaskKey, TaskRun] = {}
        """The latest run of each task, which tests use to check invariants."""

        self.reserved_at_ms: dict[TaskKey, int] = {}
        """The time of the latest reservation of each task."""

    @property
    def tasks(self) -> list[Task]:
        """The tasks on this worker, brought up to date with the clock."""
        self._update_tasks()
        return list(self._tasks.values())

    def set_foreign_use(self, resources: Resources) -> None:
        """Sets the resources that the older scheduler's tasks use from now on."""
        self._foreign_use_history.append((self._clock.now_ms, resources))

    def inventory(self) -> Inventory:
        """Returns the inventory; the older scheduler's use in it is delayed by ``usage_lag_ms``."""
        self._update_tasks()
        tasks = tuple(
            TaskStatus(task.key, task.state, task.resources) for task in self._tasks.values()
        )
        return Inventory(
            self._name,
            self._zone,
            self._rack,
            self._capacity,
            self._epoch,
            tasks,
            self._reported_foreign_use(),
        )

    def restart(self) -> None:
        """Discards all tasks and resets the epoch, as a restart of the worker does."""
        self._update_tasks()
        for task in list(self._tasks.values()):
            if task.state in _RESOURCE_HOLDING_STATES:
                self._end_task(task, TaskState.STOPPED, self._clock.now_ms)
        self._tasks.clear()
        self._epoch = Epoch(0)

    def fail(self) -> None:
        """Discards all tasks and stops responding until ``is_down`` is reset."""
        self.restart()
        self.is_down = True

    def fence(self, command: Fence) -> Result[Inventory, Failure]:
        """Raises the fencing epoch to the command's."""
        return self._check_epoch("fence", command.epoch) or Ok(self.inventory())

    def reserve(self, command: Reserve) -> Result[Inventory, Failure]:
        """Reserves resources for a task; idempotent, a repeated command only renews the lease."""
        if refusal := self._check_epoch("reserve", command.epoch):
            return refusal
        if command.key not in self._tasks:
            if not self._fits(command.resources):
                return self._make_refusal("reserve", NO_ROOM)
            self._tasks[command.key] = Task(
                command.key, command.resources, TaskState.RESERVED, 0, 0, self._clock.now_ms
            )
            self.reserved_at_ms[command.key] = self._clock.now_ms
        return self._renew_lease("reserve", command.key, command.lease_ms)

    def start(self, command: StartTask) -> Result[Inventory, Failure]:
        """Starts a reserved task; idempotent, a repeated command only renews the lease."""
        if refusal := self._check_epoch("start", command.epoch):
            return refusal
        task = self._tasks.get(command.key)
        if task is None or task.state not in _RESOURCE_HOLDING_STATES:
            return self._make_refusal("start", "no such reservation")
        if task.state is TaskState.RESERVED:
            self._start_task(task, command.command)
        return self._renew_lease("start", command.key, command.lease_ms)

    def renew(self, command: Renew) -> Result[Inventory, Failure]:
        """Renews the leases of tasks; skips ended ones, which the returned inventory shows."""
        if refusal := self._check_epoch("renew", command.epoch):
            return refusal
        for key in command.keys:
            self._renew_lease("renew", key, command.lease_ms)
        return Ok(self.inventory())

    def checkpoint(self, command: Checkpoint) -> Result[Inventory, Failure]:
        """Checkpoints a running task, which keeps running."""
        if refusal := self._check_epoch("checkpoint", command.epoch):
            return refusal
        task = self._tasks.get(command.key)
        if task is None or task.state not in (TaskState.RUNNING, TaskState.CHECKPOINTED):
            return self._make_refusal("checkpoint", "no such task")
        task.state = TaskState.CHECKPOINTED
        return Ok(self.inventory())

    def stop(self, command: StopTask) -> Result[Inventory, Failure]:
        """Stops a task or releases its reservation; succeeds also if the task is unknown."""
        if refusal := self._check_epoch("stop", command.epoch):
            return refusal
        task = self._tasks.get(command.key)
        if task is not None and task.state in _RESOURCE_HOLDING_STATES:
            self._end_task(task, TaskState.STOPPED, self._clock.now_ms)
        return Ok(self.inventory())

    def throttle(self, command: Throttle) -> Result[Inventory, Failure]:
        """Limits a running task to ``command.percent`` of its full speed."""
        if refusal := self._check_epoch("throttle", command.epoch):
            return refusal
        task = self._tasks.get(command.key)
        if task is None or task.state not in (TaskState.RUNNING, TaskState.CHECKPOINTED):
            return self._make_refusal("throttle", "no such task")
        now_ms = self._clock.now_ms
        remaining_at_full_speed_ms = (task.ends_at_ms - now_ms) * task.percent // 100
        task.ends_at_ms = now_ms + remaining_at_full_speed_ms * 100 // command.percent
        task.percent = command.percent
        return Ok(self.inventory())

    def _check_epoch(self, step: str, epoch: Epoch) -> Err[Failure] | None:
        self._update_tasks()
        if epoch < self._epoch:
            return self._make_refusal(step, f"epoch {epoch} is {FENCED} by epoch {self._epoch}")
        self._epoch = epoch
        return None

    def _make_refusal(self, step: str, reason: str) -> Err[Failure]:
        return Err(Failure(FailureKind.CONFLICT, step, self._name, reason))

    def _fits(self, requested: Resources) -> bool:
        used = [
            task.resources
            for task in self._tasks.values()
            if task.state in _RESOURCE_HOLDING_STATES
        ]
        used.append(self._foreign_use_history[-1][1])
        return (
            sum(r.accelerators for r in used) + requested.accelerators
            <= self._capacity.accelerators
            and sum(r.cores for r in used) + requested.cores <= self._capacity.cores
            and sum(r.memory_gb for r in used) + requested.memory_gb <= self._capacity.memory_gb
        )

    def _start_task(self, task: Task, command: str) -> None:
        now_ms = self._clock.now_ms
        self.start_counts[task.key] = self.start_counts.get(task.key, 0) + 1
        self.runs_by_task[task.key] = TaskRun(now_ms)
        options = dict(word.split(":", 1) for word in command.split() if ":" in word)
        run_ms = int(options.get("run", self.behaviour.run_ms))
        task.state = TaskState.RUNNING
        task.will_fail = self.behaviour.fail_all or "fail" in command.split()
        task.ends_at_ms = now_ms if task.will_fail else now_ms + run_ms

    def _renew_lease(self, step: str, key: TaskKey, lease_ms: int) -> Result[Inventory, Failure]:
        task = self._tasks.get(key)
        if task is None or task.state not in _RESOURCE_HOLDING_STATES:
            return self._make_refusal(step, "no such task")
        task.lease_until_ms = self._clock.now_ms + lease_ms
        return Ok(self.inventory())

    def _update_tasks(self) -> None:
        now_ms = self._clock.now_ms
        for task in list(self._tasks.values()):
            if task.state not in _RESOURCE_HOLDING_STATES:
                if task.changed_at_ms + FINISHED_TASK_RETENTION_MS <= now_ms:
                    del self._tasks[task.key]
            elif task.state is not TaskState.RESERVED and task.ends_at_ms <= min(
                now_ms, task.lease_until_ms or now_ms
            ):
                state = TaskState.FAILED if task.will_fail else TaskState.SUCCEEDED
                self._end_task(task, state, task.ends_at_ms)
            elif task.lease_until_ms and task.lease_until_ms <= now_ms:
                self._end_task(task, TaskState.LEASE_EXPIRED, task.lease_until_ms)

    def _end_task(self, task: Task, state: TaskState, at_ms: int) -> None:
        task.state = state
        task.changed_at_ms = self._clock.now_ms
        run = self.runs_by_task.get(task.key)
        if run is not None and run.ended_at_ms is None:
            run.ended_at_ms = at_ms
            run.outcome = state

    def _reported_foreign_use(self) -> Resources:
        as_of_ms = self._clock.now_ms - self.behaviour.usage_lag_ms
        visible = [use for since_ms, use in self._foreign_use_history if since_ms <= as_of_ms]
        return visible[-1] if visible else self._foreign_use_history[0][1]
