"""The scheduling state of a site: accepted jobs, workers and task placements."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from jujubehall.core.fleet.configuration import SiteConfiguration
from jujubehall.core.fleet.crash_history import Crash
from jujubehall.core.fleet.crash_history import Suspicion
from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.groups import Placement
from jujubehall.core.fleet.headroom import UrgentDemand
from jujubehall.core.fleet.jobs import FleetJob
from jujubehall.core.fleet.lost_workers import LossKind
from jujubehall.core.fleet.lost_workers import lost_worker
from jujubehall.core.fleet.scheduling_round import SchedulingRound
from jujubehall.core.fleet.speed_learning import SpeedLearning
from jujubehall.core.fleet.work_history import WorkHistory
from jujubehall.core.fleet.workers import FleetWorker

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from jujubehall.core.fleet.decisions import Decision
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import JobProgress
    from jujubehall.core.fleet.jobs import PartProgress
    from jujubehall.core.fleet.lost_workers import LostWorker
    from jujubehall.core.fleet.reports import TaskId
    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import QueueName
    from jujubehall.identifiers import WorkerName
    from jujubehall.identifiers import ZoneName

COINCIDENCE_MS = 300
"""Workers that fail together, such as those of a rack, are seen to be lost within this time."""

MAX_LOSSES = 256
"""How many losses of workers are remembered to recognise those at the same time."""

DEFAULT_GANG_START_TIMEOUT_MS = 3_000
"""The shortest time that the sites set."""


class FleetState:
    """In-memory state from which the owner of a site makes scheduling decisions.

    It does no I/O and reads no clock; callers pass in the time.
    """

    def __init__(self, gang_start_timeout_ms: int = DEFAULT_GANG_START_TIMEOUT_MS) -> None:
        self.gang_start_timeout_ms = gang_start_timeout_ms
        """How long a member of a gang waits on its worker for the others, until it is ended."""

        self.workers: dict[WorkerName, FleetWorker] = {}
        self.jobs: dict[JobId, FleetJob] = {}
        self.configuration = SiteConfiguration(0)
        self.unsaved_jobs: set[FleetJob] = set()
        """Jobs whose progress has not been written to the store yet."""

        self.urgent_demand = UrgentDemand()
        self.speeds = SpeedLearning()
        self.work_history = WorkHistory()
        self.groups_to_stop: set[TaskGroup] = set()
        """Groups with tasks in phase ``STOPPING`` for which no stop request has been sent yet."""

        self._losses_without_start: deque[tuple[int, WorkerName]] = deque(maxlen=MAX_LOSSES)
        """When workers were disconnected on which no run was just starting."""

        self._groups_of_earlier_owner: set[TaskGroup] = set()
        """Groups that an earlier owner has started and of which a run may have been lost since."""

        self.evacuated_zones: frozenset[ZoneName] = frozenset()
        self.are_starts_suspended = False
        """Whether nothing may be started for now, because any zone may have been evacuated."""

        self.starting_gangs: set[TaskGroup] = set()
        """Gangs that have placements and of which some members may not have started yet."""

    @property
    def has_incomplete_gangs(self) -> bool:
        """Whether a gang is being started and not all of its members are known to have started."""
        return any(group.is_starting for group in self.starting_gangs)

    def apply_configuration(self, configuration: SiteConfiguration) -> None:
        """Applies a newer configuration.

        A job whose queue was removed keeps the queue's last known settings.
        """
        self.configuration = configuration
        for job in self.jobs.values():
            job.queue = configuration.queue(job.accepted.queue) or job.queue

    def set_evacuated_zones(self, zones: frozenset[ZoneName]) -> None:
        """Replaces the availability zones whose workers accept no work."""
        self.evacuated_zones = zones
        for worker in self.workers.values():
            worker.is_zone_evacuated = worker.listed.zone in zones

    def add_job(
        self,
        accepted: AcceptedJob,
        stored: JobProgress | None,
        now_ms: int,
        unix_ms: int,
        parts: Mapping[int, PartProgress] | None = None,
    ) -> FleetJob:
        """Adds an accepted job, restoring the progress that an earlier owner stored.

        ``parts`` are the stored parts of the progress other than the main one. Returns the existing
        job if it has been added before.
        """
        existing = self.jobs.get(accepted.id)
        if existing is not None:
            return existing
        job = FleetJob(accepted, self.configuration.queue(accepted.queue), now_ms)
        if stored is not None:
            job.restore(stored, now_ms, parts)
            self._groups_of_earlier_owner.update(
                each for each in job.all_groups() if each.stored_workers
            )
        self.jobs[accepted.id] = job
        self.work_history.record_job(job)
        job.create_due_occurrences(now_ms, unix_ms)
        if job.state is not job.stored_state:
            self.unsaved_jobs.add(job)
        return job

    def note_changed(self, group: TaskGroup) -> None:
        """Records that the progress of a group has changed and must be written to the store."""
        group.job.unsaved_parts.add(group.progress_part)
        self.unsaved_jobs.add(group.job)

    def cancel(self, job_id: JobId, now_ms: int) -> None:
        """Cancels a job and stops its tasks; has no effect if the job is unknown or has ended."""
        job = self.jobs.get(job_id)
        if job is None or job.state.is_final:
            return
        job.cancel(now_ms)
        self.unsaved_jobs.add(job)
        self.stop_groups(job)

    def stop_groups(self, job: FleetJob) -> None:
        """Marks all tasks of an ended job for stopping and releases its reservations."""
        for group in job.all_groups():
            group.release_reservation()
            self.mark_stopping(group)

    def create_due_occurrences(self, now_ms: int, unix_ms: int) -> None:
        """Creates the task groups of all occurrences that have become due."""
        for job in self.jobs.values():
            job.create_due_occurrences(now_ms, unix_ms)

    def remove_ended_jobs(self, before_ms: int) -> list[FleetJob]:
        """Removes and returns the jobs that ended before ``before_ms``.

        Jobs with running tasks or unsaved progress are not removed.
        """
        removed = [
            job
            for job in self.jobs.values()
            if job.ended_ms is not None
            and job.ended_ms < before_ms
            and job not in self.unsaved_jobs
            and not job.unsaved_parts
            and not any(group.placements for group in job.all_groups())
        ]
        for job in removed:
            del self.jobs[job.accepted.id]
        return removed

    def sync_workers(self, listed: Iterable[ListedWorker], now_ms: int = 0) -> list[FleetWorker]:
        """Applies a new list of workers; returns the workers that are new or have restarted."""
        new_or_restarted = []
        seen = set()
        for entry in listed:
            seen.add(entry.name)
            known = self.workers.get(entry.name)
            if known is None:
                known = self.workers[entry.name] = FleetWorker(entry)
                new_or_restarted.append(known)
            elif entry.incarnation > known.listed.incarnation:
                new_or_restarted.append(known)
                if entry.incarnation != known.reported_incarnation:
                    known.is_reachable = False
                known.departure_ms = None
                known.update_listing(entry)
                known.forget_speed_of_earlier_incarnation()
            elif entry.incarnation == known.listed.incarnation:
                known.update_listing(entry)
            known.is_listed = True
            known.is_zone_evacuated = known.listed.zone in self.evacuated_zones
            known.update_cold_until(now_ms)
            if entry.leaves_in_ms is not None and known.departure_ms is None:
                known.departure_ms = now_ms + entry.leaves_in_ms
        for name, worker in self.workers.items():
            if name not in seen:
                worker.is_listed = False
        return new_or_restarted

    def find_group(self, task: TaskId, now_ms: int) -> TaskGroup | None:
        """Returns the group of a task that a worker has reported, or None if its job is unknown."""
        job = self.jobs.get(task.job)
        if job is None:
            return None
        job.create_occurrences_through(task.occurrence, now_ms)
        return job.find_group(task.occurrence, task.step, task.position)

    def waiting_groups(self, now_ms: int) -> Iterator[TaskGroup]:
        """Yields the groups that may be placed at ``now_ms``."""
        for job in self.jobs.values():
            if job.is_final:
                continue
            for group in job.all_groups():
                if (
                    group.is_waiting
                    and group.not_before_ms <= now_ms
                    and not self.may_have_unreported_run(group, now_ms)
                ):
                    yield group

    def may_have_unreported_run(self, group: TaskGroup, now_ms: int) -> bool:
        """Returns whether a worker may have a run of an earlier owner that it hasn't reported yet.

        The run may be active until the worker reports or the leases from the earlier owner expire.
        It may have ended as long as the reports don't list all ends.
        """
        for name in group.stored_workers:
            worker = self.workers.get(name)
            if worker is None:
                continue
            if worker.has_unlisted_ends:
                return True
            if worker.has_reported:
                continue
            if now_ms < worker.previous_leases_end_ms:
                return True
        return False

    def record_crash(self, lost: LostWorker, now_ms: int) -> list[FleetJob]:
        """Records the crash of a worker for the groups that had runs on it.

        Fails and returns the jobs that have crashed too many workers. Workers that fail together have
        a cause of their own, so that no crash is recorded.
        """
        if self.is_coincident(lost):
            return []
        crashes = lost.crashes()
        if lost.kind is LossKind.LEASES_EXPIRED:
            lost.worker.presumed_crashes += crashes
        return self._record_crashes(crashes, now_ms)

    def note_disconnected(self, worker: FleetWorker, now_ms: int) -> None:
        """Records that the connections of a worker were closed or refused.

        No task can be the cause if runs were at work there and none was just starting. The loss of an
        idle worker is noticed at some later time, which says nothing.
        """
        if worker.disconnected_ms is not None:
            return
        worker.disconnected_ms = now_ms
        lost = lost_worker(worker, LossKind.LEASES_EXPIRED)
        if lost.runs and not lost.has_starting_runs:
            self._losses_without_start.append((now_ms, worker.name))

    def is_coincident(self, lost: LostWorker) -> bool:
        """Returns whether other workers, on which nothing was starting, were lost at that time."""
        return any(
            name != lost.worker.name and abs(at_ms - lost.lost_ms) <= COINCIDENCE_MS
            for at_ms, name in self._losses_without_start
        )

    def record_crashes_before_takeover(self, now_ms: int) -> list[FleetJob]:
        """Records the crashes of workers that runs of an earlier owner have not survived.

        Fails and returns the jobs that have crashed too many workers.
        """
        crashes = []
        for group in list(self._groups_of_earlier_owner):
            if group.is_waiting and not self.may_have_unreported_run(group, now_ms):
                crashes += [
                    (group, Crash(group.run, name, suspicion))
                    for name in group.stored_workers
                    if (suspicion := self._suspicion_before_takeover(name)) is not None
                ]
                group.stored_workers = ()
                self.note_changed(group)
            if not group.stored_workers or group.is_done or group.job.is_final:
                self._groups_of_earlier_owner.discard(group)
        return self._record_crashes(crashes, now_ms)

    def _suspicion_before_takeover(self, name: WorkerName) -> Suspicion | None:
        worker = self.workers.get(name)
        if worker is None:
            return Suspicion.BYSTANDER
        if worker.has_reported:
            is_same = worker.reported_incarnation == worker.registered_incarnation
            return None if is_same or worker.listed.is_draining else Suspicion.SHARED
        return Suspicion.BYSTANDER if worker.disconnected_ms is None else Suspicion.SHARED

    def _record_crashes(
        self, crashes: list[tuple[TaskGroup, Crash]], now_ms: int
    ) -> list[FleetJob]:
        given_up = []
        for group, crash in crashes:
            job = group.job
            if group.is_done or job.is_final:
                continue
            group.crash_history.record(crash)
            group.not_before_ms = max(group.not_before_ms, now_ms)
            self.note_changed(group)
            if group.crash_history.is_conclusive:
                job.fail(now_ms)
                self.stop_groups(job)
                given_up.append(job)
        return given_up

    def run_scheduling_round(self, now_ms: int) -> list[Decision]:
        """Runs one scheduling round and returns its decisions."""
        self.speeds.update(self.workers.values(), now_ms)
        return SchedulingRound(self, now_ms).run()

    def record_start(self, group: TaskGroup, workers: dict[int, FleetWorker], now_ms: int) -> None:
        """Records that the group's tasks are being started under a new run number.

        No earlier run of it may be active any longer.
        """
        group.run += 1
        group.stored_workers = ()
        for index, worker in workers.items():
            placement = Placement(worker, group.run, now_ms, not group.checkpoint)
            group.add_placement(index, placement)
        if group.request.is_gang:
            self.starting_gangs.add(group)
        self.note_changed(group)

    def count_unsent_starts(self) -> int:
        """Counts the tasks whose start has been decided but not been sent to their worker yet."""
        return sum(
            each.sent_ms is None and each.phase is Phase.STARTING
            for worker in self.workers.values()
            for each in worker.placements.values()
        )

    def mark_stopping(self, group: TaskGroup) -> None:
        """Marks all tasks of the group for stopping."""
        for placement in group.placements.values():
            if placement.phase is not Phase.STOPPING:
                placement.phase = Phase.STOPPING
                self.groups_to_stop.add(group)

    def count_unstarted_jobs(self, queue: QueueName) -> int:
        """Counts the accepted jobs of a queue of which no task is known to have been started."""
        return sum(
            1
            for job in self.jobs.values()
            if job.accepted.queue == queue and not job.state.is_final and not job.has_started
        )
