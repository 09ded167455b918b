"""The worker's stand-in slows throttled tasks down."""

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
KEY = TaskKey(JobId("render-1"), 1, 0)
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


def test_a_throttled_task_takes_longer_until_it_is_set_free() -> None:
    clock = ManualClock()
    worker = make_worker(clock)
    worker.reserve(Reserve(EPOCH, KEY, Resources(1), LEASE_MS)).unwrap()
    worker.start(StartTask(EPOCH, KEY, "run:10000", LEASE_MS)).unwrap()
    clock.advance(2_000)
    worker.throttle(Throttle(EPOCH, KEY, 25)).unwrap()
    clock.advance(8_000)
    # 2 s at full speed and 8 s at a quarter leave 6 s of work.
    worker.throttle(Throttle(EPOCH, KEY, 100)).unwrap()
    clock.advance(5_900)
    assert worker.inventory().tasks[0].state is TaskState.RUNNING
    clock.advance(100)
    assert worker.inventory().tasks[0].state is TaskState.SUCCEEDED


def test_an_unknown_task_cannot_be_throttled() -> None:
    worker = make_worker(ManualClock())
    assert worker.throttle(Throttle(EPOCH, KEY, 50)).is_err()
