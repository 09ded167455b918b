"""A small site whose workers take different times for the same work."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from jujubehall.core.fleet.reconciliation import Reconciliation
from jujubehall.core.fleet.reports import EndedTask
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.reports import WorkerReport
from jujubehall.core.fleet.slowness import ASSESSMENT_VALIDITY_MS
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import SmallSite

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.identifiers import QueueName

REPORT_INTERVAL_MS = 2_000


class UnevenSite(SmallSite):
    """Runs steps to their end on workers that take ``factors`` times as long, by number."""

    def __init__(self, factors: list[float], rack_size: int = 8) -> None:
        super().__init__(len(factors), rack_size)
        self.factors = factors
        self.disturbances: dict[int, float] = {}
        """Factors by which workers are slower for the time being."""

        self._end_numbers = 0

    def factor(self, worker: int) -> float:
        """Returns the learned duration factor of a worker."""
        return self.worker(worker).speed.duration_factor

    def run_step(
        self,
        name: str,
        request: StepRequest,
        work_ms: list[float],
        queue: QueueName = NORMAL,
        with_reports: bool = True,
    ) -> None:
        """Runs a job of one step whose tasks take ``work_ms`` on a usual worker."""
        self.submit(name, request, queue=queue)
        groups = self.start_groups()
        assert sum(len(each.indexes) for each in groups) == request.tasks
        for group in groups:
            for placement in group.placements.values():
                placement.confirm(self.now_ms)
        started_ms = self.now_ms
        ends = sorted(
            (max(self._durations(group, work_ms).values()), number, group)
            for number, group in enumerate(groups)
        )
        report_ms = REPORT_INTERVAL_MS if with_reports else math.inf
        for end_ms, _, group in ends:
            while report_ms < end_ms:
                self.now_ms = started_ms + int(report_ms)
                self._report_progress(groups, work_ms, report_ms)
                report_ms += REPORT_INTERVAL_MS
            self.now_ms = started_ms + round(end_ms)
            self._end_group(group)
        self.run_scheduling_round(after_ms=ASSESSMENT_VALIDITY_MS)

    def learn(self, jobs: int, request: StepRequest, work_ms: float) -> None:
        """Runs jobs of equal tasks one after the other."""
        for _ in range(jobs):
            name = f"job {len(self.fleet_state.jobs)}"
            self.run_step(name, request, [work_ms] * request.tasks)

    def _durations(self, group: TaskGroup, work_ms: list[float]) -> dict[Placement, float]:
        durations = {}
        for index, placement in group.placements.items():
            number = int(placement.worker.name[1:])
            disturbance = self.disturbances.get(number, 1.0)
            durations[placement] = work_ms[index] * self.factors[number] * disturbance
        return durations

    def _report_progress(
        self, groups: list[TaskGroup], work_ms: list[float], elapsed_ms: float
    ) -> None:
        running: dict[int, list[RunningTask]] = {}
        for group in groups:
            durations = self._durations(group, work_ms)
            for index, placement in group.placements.items():
                percent = min(100, int(100 * elapsed_ms / durations[placement]))
                running.setdefault(int(placement.worker.name[1:]), []).append(
                    RunningTask(group.task_id(index), placement.run, percent=percent)
                )
        for number, tasks in running.items():
            self._apply(number, tuple(tasks), ())

    def _end_group(self, group: TaskGroup) -> None:
        for index, placement in list(group.placements.items()):
            self._end_numbers += 1
            ended = EndedTask(self._end_numbers, group.task_id(index), placement.run, EndKind.DONE)
            others = tuple(
                RunningTask(other.task_id(position), placed.run, percent=placed.progress.percent)
                for (other, position), placed in placement.worker.placements.items()
                if other is not group
            )
            self._apply(int(placement.worker.name[1:]), others, (ended,))

    def _apply(
        self, number: int, running: tuple[RunningTask, ...], ended: tuple[EndedTask, ...]
    ) -> None:
        report = WorkerReport(1, self.now_ms, running, ended)
        Reconciliation(
            self.fleet_state, self.worker(number), report, self.now_ms - 1, self.now_ms
        ).apply()
