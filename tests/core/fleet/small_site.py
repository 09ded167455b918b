"""A small site for tests of ``FleetState``, its scheduling rounds and reconciliation."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from jujubehall.core.fleet.configuration import Queue
from jujubehall.core.fleet.configuration import SiteConfiguration
from jujubehall.core.fleet.configuration import Team
from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.reconciliation import Reconciliation
from jujubehall.core.fleet.reconciliation import ReconciliationResult
from jujubehall.core.fleet.reports import EndedTask
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.reports import WorkerReport
from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.core.fleet.state import FleetState
from jujubehall.core.fleet.workers import ListedWorker
from jujubehall.identifiers import JobId
from jujubehall.identifiers import PoolName
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import RackName
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from jujubehall.core.fleet.decisions import Decision
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.workers import FleetWorker

POOL = PoolName("render")
TEAM = TeamName("studio")
URGENT = QueueName("urgent")
NORMAL = QueueName("normal")
OVERNIGHT = QueueName("overnight")
CAPACITY = Resources(64_000, 262_144, 8)
ONE_GPU = Resources(1_000, 1_000, 1)
EIGHT_GPUS = Resources(1_000, 1_000, 8)

CONFIGURATION = SiteConfiguration(
    1,
    tuple(
        Queue(
            name,
            "site.example",
            f"/{name}/",
            POOL,
            priority=priority,
            max_failures=2,
            objective_factor=objective_factor,
            objective_ms=objective_ms,
        )
        for priority, (name, objective_factor, objective_ms) in enumerate(
            ((URGENT, 1.5, 250), (NORMAL, 3.0, 1_000), (OVERNIGHT, 3.0, 3_000))
        )
    ),
    (Team(TEAM, frozenset({"key"}), 16),),
)


def step(tasks: int = 1, needs: Resources = ONE_GPU, **more: Any) -> StepRequest:
    """Returns a step of ``tasks`` identical tasks."""
    return StepRequest(tasks, needs, **more)


class SmallSite:
    """A ``FleetState`` with workers ``w0``, ``w1``, … of 8 accelerators each.

    ``rack_size`` workers share a rack.
    """

    def __init__(self, workers: int = 4, rack_size: int = 2) -> None:
        self.fleet_state = FleetState()
        self.fleet_state.apply_configuration(CONFIGURATION)
        self.now_ms = 1_000_000
        self.listed = [
            ListedWorker(
                WorkerName(f"w{number}"),
                f"10.0.0.{number}:80",
                POOL,
                ZoneName("lagos-island"),
                RackName(f"r{number // rack_size}"),
                frozenset({"a", f"r{number // rack_size}"}),
                CAPACITY,
                incarnation=1,
            )
            for number in range(workers)
        ]
        for worker in self.fleet_state.sync_workers(self.listed):
            worker.is_reachable = True
            worker.is_registered = True
            worker.has_reported = True
        self._ends: dict[str, int] = {}

    def worker(self, number: int) -> FleetWorker:
        """Returns the worker ``w<number>``."""
        return self.fleet_state.workers[WorkerName(f"w{number}")]

    def submit(
        self,
        name: str,
        *steps: StepRequest,
        queue: QueueName = NORMAL,
        team: TeamName = TEAM,
        **more: Any,
    ) -> FleetJob:
        """Submits and accepts a job."""
        request = JobRequest(f"spec of {name}", steps, **more)
        accepted = AcceptedJob(JobId(name), queue, team, request, 0)
        return self.fleet_state.add_job(accepted, None, self.now_ms, self.now_ms)

    def run_scheduling_round(self, after_ms: int = 10) -> list[Decision]:
        """Advances the clock by ``after_ms``, runs a scheduling round and returns its decisions."""
        self.now_ms += after_ms
        return self.fleet_state.run_scheduling_round(self.now_ms)

    def start_groups(self, after_ms: int = 10) -> list[TaskGroup]:
        """Runs a scheduling round and returns the started groups, confirmed as running."""
        groups = [
            each.group
            for each in self.run_scheduling_round(after_ms)
            if isinstance(each, StartGroup)
        ]
        for group in groups:
            for placement in group.placements.values():
                placement.confirmed_ms = self.now_ms
        return groups

    def report(
        self,
        number: int,
        running: tuple[RunningTask, ...] = (),
        ended: tuple[EndedTask, ...] = (),
        incarnation: int = 1,
    ) -> ReconciliationResult:
        """Applies a report that was requested 5 ms before."""
        self.now_ms += 10
        report = WorkerReport(incarnation, self.now_ms, running, ended)
        return Reconciliation(
            self.fleet_state, self.worker(number), report, self.now_ms - 5, self.now_ms
        ).apply()

    def end(self, group: TaskGroup, kind: EndKind, checkpoint: str = "") -> None:
        """Reports the end of all tasks of a group from their workers."""
        for index, placement in list(group.placements.items()):
            worker = placement.worker
            number = self._ends[worker.name] = self._ends.get(worker.name, 0) + 1
            ended = EndedTask(number, group.task_id(index), placement.run, kind, checkpoint)
            others = tuple(
                RunningTask(other.task_id(position), placed.run)
                for (other, position), placed in worker.placements.items()
                if other is not group or position != index
            )
            self.report(int(worker.name[1:]), others, (ended,))
