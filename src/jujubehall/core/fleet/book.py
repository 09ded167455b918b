"""The site-wide book: every accepted job, every worker, and what may run where."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.configuration import SiteConfiguration
from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.groups import Placement
from jujubehall.core.fleet.headroom import UrgentDemand
from jujubehall.core.fleet.jobs import FleetJob
from jujubehall.core.fleet.jobs import JobProgress
from jujubehall.core.fleet.rounds import Round
from jujubehall.core.fleet.workers import FleetWorker

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from jujubehall.core.fleet.decisions import Decision
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.reports import TaskName
    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import QueueName
    from jujubehall.identifiers import WorkerName


class FleetBook:
    """The state on which the owner of a site decides; pure, with the time passed in."""

    def __init__(self) -> None:
        self.workers: dict[WorkerName, FleetWorker] = {}
        self.jobs: dict[JobId, FleetJob] = {}
        self.configuration = SiteConfiguration(0)
        self.changed: set[FleetJob] = set()
        """Jobs whose progress has still to be kept in the store."""

        self.urgent_demand = UrgentDemand()
        self.stops_wanted: set[TaskGroup] = set()
        """Groups with tasks to be stopped for which no stop has been sent."""

    def configure(self, configuration: SiteConfiguration) -> None:
        """Puts a newer configuration in force; jobs keep a queue that is no longer there."""
        self.configuration = configuration
        for job in self.jobs.values():
            job.queue = configuration.queue(job.accepted.queue) or job.queue

    def accept(
        self, accepted: AcceptedJob, kept: JobProgress | None, now_ms: int, unix_ms: int
    ) -> FleetJob:
        """Takes in an accepted job with what an earlier owner kept of its progress."""
        known = self.jobs.get(accepted.id)
        if known is not None:
            return known
        job = FleetJob(accepted, self.configuration.queue(accepted.queue), now_ms)
        if kept is not None:
            job.restore(kept, now_ms)
        self.jobs[accepted.id] = job
        job.make_due(now_ms, unix_ms)
        if job.state is not job.kept_state:
            self.changed.add(job)
        return job

    def cancel(self, job_id: JobId, now_ms: int) -> None:
        """Cancels a job, unless it has ended."""
        job = self.jobs.get(job_id)
        if job is None or job.state.is_final:
            return
        job.cancel(now_ms)
        self.changed.add(job)
        self.drop_groups(job)

    def drop_groups(self, job: FleetJob) -> None:
        """Has everything of an ended job stopped."""
        for group in job.all_groups():
            group.release_reservation()
            self.note_stop(group)

    def make_due(self, now_ms: int, unix_ms: int) -> None:
        """Lets occurrences start whose time has come."""
        for job in self.jobs.values():
            job.make_due(now_ms, unix_ms)

    def forget_ended(self, before_ms: int) -> list[FleetJob]:
        """Drops the jobs that ended before ``before_ms`` and have nothing running."""
        gone = [
            job
            for job in self.jobs.values()
            if job.ended_ms is not None
            and job.ended_ms < before_ms
            and job not in self.changed
            and not any(group.placements for group in job.all_groups())
        ]
        for job in gone:
            del self.jobs[job.accepted.id]
        return gone

    def sync_workers(self, listed: Iterable[ListedWorker], now_ms: int = 0) -> list[FleetWorker]:
        """Takes in the list of workers; returns those that are new or have started anew."""
        fresh = []
        seen = set()
        for entry in listed:
            seen.add(entry.name)
            known = self.workers.get(entry.name)
            if known is None:
                known = self.workers[entry.name] = FleetWorker(entry)
                fresh.append(known)
            elif entry.life > known.listed.life:
                fresh.append(known)
                known.is_in_touch = False
                known.leaves_ms = None
                known.list_anew(entry)
            elif entry.life == known.listed.life:
                known.list_anew(entry)
            known.is_listed = True
            if entry.leaves_in_ms is not None and known.leaves_ms is None:
                known.leaves_ms = now_ms + entry.leaves_in_ms
        for name, worker in self.workers.items():
            if name not in seen:
                worker.is_listed = False
        return fresh

    def find_group(self, task: TaskName, now_ms: int) -> TaskGroup | None:
        """The group of a task that a worker has reported, if its job is known."""
        job = self.jobs.get(task.job)
        if job is None:
            return None
        job.make_known(task.occurrence, now_ms)
        return job.find_group(task.occurrence, task.step, task.position)

    def waiting_groups(self, now_ms: int) -> Iterator[TaskGroup]:
        """The groups that may be placed now."""
        for job in self.jobs.values():
            if job.is_final:
                continue
            for group in job.all_groups():
                if (
                    group.is_waiting
                    and group.not_before_ms <= now_ms
                    and not self._may_run_unseen(group, now_ms)
                ):
                    yield group

    def _may_run_unseen(self, group: TaskGroup, now_ms: int) -> bool:
        """Whether a worker that has not reported yet may run it for an earlier owner."""
        for name in group.kept_workers:
            worker = self.workers.get(name)
            if worker is None or worker.has_reported:
                continue
            if now_ms < worker.earlier_leases_end_ms:
                return True
        return False

    def decide(self, now_ms: int) -> list[Decision]:
        """Runs a round of scheduling."""
        return Round(self, now_ms).run()

    def note_start(self, group: TaskGroup, workers: dict[int, FleetWorker], now_ms: int) -> None:
        """Notes that the group's tasks are being started under a new number of a run."""
        group.run += 1
        for index, worker in workers.items():
            placement = Placement(worker, group.run, now_ms, not group.checkpoint)
            group.place(index, placement)
        self.changed.add(group.job)

    def note_stop(self, group: TaskGroup) -> None:
        """Notes that all tasks of the group are to be stopped."""
        for placement in group.placements.values():
            if placement.phase is not Phase.STOPPING:
                placement.phase = Phase.STOPPING
                self.stops_wanted.add(group)

    def pending(self, queue: QueueName) -> int:
        """How many accepted jobs of a queue have had no task started."""
        return sum(
            1
            for job in self.jobs.values()
            if job.accepted.queue == queue and not job.state.is_final and not job.has_started
        )
