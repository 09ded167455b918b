"""Index of the active gangs of one availability zone, by job and by worker."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from jujubehall.core.jobs.gang import ACTIVE_TASK_STATES
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import WorkerName
    from jujubehall.services.gang_runner import GangRunner
    from jujubehall.services.zone_workers import WorkerStatus


class ZoneGangs:
    """Looks up the gang runners of a zone owner by job and by worker."""

    def __init__(self) -> None:
        self._runners_by_job: dict[JobId, GangRunner] = {}
        self._runners_by_worker: dict[WorkerName, dict[JobId, GangRunner]] = defaultdict(dict)

    @property
    def active(self) -> list[GangRunner]:
        """Runners of all gangs that are not done."""
        return list(self._runners_by_job.values())

    @property
    def placing_count(self) -> int:
        """Number of gangs that are being placed and do not run yet."""
        return sum(runner.gang.is_placing for runner in self._runners_by_job.values())

    def get(self, job: JobId) -> GangRunner | None:
        """Returns the gang runner of a job, or None if the job has no active gang."""
        return self._runners_by_job.get(job)

    def on_worker(self, worker: WorkerName) -> list[GangRunner]:
        """Returns the runners of the gangs that have a part on ``worker``."""
        return list(self._runners_by_worker[worker].values())

    def add(self, job: JobId, runner: GangRunner) -> None:
        """Adds a gang. Its parts must be known, since they are indexed by worker."""
        assert job not in self._runners_by_job, "the job already has an active gang"
        self._runners_by_job[job] = runner
        for part in runner.gang.parts:
            self._runners_by_worker[part.worker][job] = runner

    def remove(self, job: JobId) -> None:
        """Removes the gang of a job after it is done."""
        runner = self._runners_by_job.pop(job)
        for part in runner.gang.parts:
            self._runners_by_worker[part.worker].pop(job, None)

    def resources_held_on(self, status: WorkerStatus) -> Resources:
        """Returns the resources that this scheduler's tasks and reservations use on a worker.

        Reservations that were sent but don't appear in the worker's inventory yet are included.
        """
        tasks = status.inventory.tasks if status.inventory else ()
        resources_by_task = {
            task.key: task.resources for task in tasks if task.state in ACTIVE_TASK_STATES
        }
        for runner in self._runners_by_worker[status.name].values():
            for part in runner.gang.parts:
                if part.worker == status.name and not part.is_ended:
                    resources_by_task.setdefault(part.key, runner.resources)
        return sum_resources(resources_by_task.values())


def sum_resources(resources: Iterable[Resources]) -> Resources:
    """Returns the sum of ``resources`` for each kind of resource."""
    items = list(resources)
    return Resources(
        sum(each.accelerators for each in items),
        sum(each.cores for each in items),
        sum(each.memory_gb for each in items),
    )
