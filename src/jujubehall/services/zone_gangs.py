"""The gangs of one availability zone, by job and by worker."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from jujubehall.core.jobs.gang import HOLDING
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import WorkerName
    from jujubehall.services.gang_runner import GangRunner
    from jujubehall.services.zone_workers import WorkerContact


class ZoneGangs:
    """An index over the gangs that the owner of a zone runs."""

    def __init__(self) -> None:
        self._by_job: dict[JobId, GangRunner] = {}
        self._by_worker: dict[WorkerName, dict[JobId, GangRunner]] = defaultdict(dict)

    @property
    def all(self) -> list[GangRunner]:
        """All gangs that are not done."""
        return list(self._by_job.values())

    @property
    def placing(self) -> int:
        """How many gangs are on their way to run."""
        return sum(runner.gang.is_placing for runner in self._by_job.values())

    def get(self, job: JobId) -> GangRunner | None:
        """The gang of a job, if it has one."""
        return self._by_job.get(job)

    def on_worker(self, worker: WorkerName) -> list[GangRunner]:
        """The gangs with a part on a worker."""
        return list(self._by_worker[worker].values())

    def add(self, job: JobId, runner: GangRunner) -> None:
        """Takes a gang in, after its parts are known."""
        assert job not in self._by_job, "one gang for a job"
        self._by_job[job] = runner
        for part in runner.gang.parts:
            self._by_worker[part.worker][job] = runner

    def remove(self, job: JobId) -> None:
        """Forgets a gang that is done."""
        runner = self._by_job.pop(job)
        for part in runner.gang.parts:
            self._by_worker[part.worker].pop(job, None)

    def held_on(self, contact: WorkerContact) -> Resources:
        """What our tasks and reservations take of a worker, also those still on their way."""
        tasks = contact.inventory.tasks if contact.inventory else ()
        held = {task.key: task.resources for task in tasks if task.state in HOLDING}
        for runner in self._by_worker[contact.name].values():
            for part in runner.gang.parts:
                if part.worker == contact.name and not part.is_ended:
                    held.setdefault(part.key, runner.resources)
        return total(held.values())


def total(resources: Iterable[Resources]) -> Resources:
    """Adds resources up."""
    listed = list(resources)
    return Resources(
        sum(each.accelerators for each in listed),
        sum(each.cores for each in listed),
        sum(each.memory_gb for each in listed),
    )
