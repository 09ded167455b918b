"""Tests throttling in the simulated worker."""

from __future__ import annotations

from jujubehall.clock import ManualClock
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import JobId
from jujubehall.identifiers import RackName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.testing.worker_state import WorkerBehaviour
from jujubehall.testing.worker_state import WorkerState
from jujubehall.workers.messages import Reserve
from jujubehall.workers.messages import Resources
from jujubehall.workers.messages import StartTask
from jujubehall.workers.messages import TaskKey
from jujubehall.workers.messages import TaskState
from jujubehall.workers.messages import Throttle

EPOCH = Epoch(1)
TASK_KEY = TaskKey(JobId("render-1"), 1, 0)
LEASE_MS = 60_000


def make_worker(clock: ManualClock) -> WorkerState:
    return WorkerState(
        clock,
        WorkerName("worker-0"),
        ZoneName("zone-a"),
        RackName("rack-0"),
        Resources(8, 60, 250),
        WorkerBehaviour(),
    )


def test_throttled_task_runs_slower_until_the_throttle_is_lifted() -> None:
    clock = ManualClock()
    worker = make_worker(clock)
    worker.reserve(Reserve(EPOCH, TASK_KEY, Resources(1), LEASE_MS)).unwrap()
    worker.start(StartTask(EPOCH, TASK_KEY, "run:10000", LEASE_MS)).unwrap()
    clock.advance(2_000)
    worker.throttle(Throttle(EPOCH, TASK_KEY, 25)).unwrap()
    clock.advance(8_000)
    # 2 s at full speed and 8 s at 25% complete 4 s of the 10 s run time, so 6 s remain.
    worker.throttle(Throttle(EPOCH, TASK_KEY, 100)).unwrap()
    clock.advance(5_900)
    assert worker.inventory().tasks[0].state is TaskState.RUNNING
    clock.advance(100)
    assert worker.inventory().tasks[0].state is TaskState.SUCCEEDED


def test_throttling_an_unknown_task_is_refused() -> None:
    worker = make_worker(ManualClock())
    assert worker.throttle(Throttle(EPOCH, TASK_KEY, 50)).is_err()
