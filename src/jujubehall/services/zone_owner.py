"""Scheduler of one availability zone during one period of ownership."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import structlog

from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Reject
from jujubehall.core.jobs.gang import ACTIVE_TASK_STATES
from jujubehall.core.jobs.gang import Gang
from jujubehall.core.jobs.gang import GangPhase
from jujubehall.core.jobs.gang_messages import RecordChanged
from jujubehall.core.jobs.gang_messages import StopRequested
from jujubehall.core.jobs.gang_messages import Tick
from jujubehall.core.jobs.gang_messages import WorkerRemoved
from jujubehall.core.jobs.gang_timing import PARTIAL_GANG_BOUND_MS
from jujubehall.core.jobs.gang_timing import TICK_INTERVAL_MS
from jujubehall.core.jobs.invariants import InvariantViolation
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import job_key
from jujubehall.core.jobs.worker_health import WorkerHealth
from jujubehall.core.jobs.zone_view import JobView
from jujubehall.core.jobs.zone_view import ZoneView
from jujubehall.platform.host import HostState
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.gang_runner import GangRunner
from jujubehall.services.job_metrics import ATTEMPTS_ENDED
from jujubehall.services.job_metrics import POLICY_FAILURES
from jujubehall.services.job_metrics import QUARANTINES
from jujubehall.services.zone_gangs import ZoneGangs
from jujubehall.services.zone_reassignment import find_feasible_zone
from jujubehall.services.zone_reports import free_accelerators
from jujubehall.services.zone_reports import job_view
from jujubehall.services.zone_reports import team_views
from jujubehall.services.zone_reports import worker_views
from jujubehall.services.zone_workers import ZoneWorkers
from jujubehall.workers.messages import StopTask
from jujubehall.workers.messages import TaskState

if TYPE_CHECKING:
    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.job import PartPlacement
    from jujubehall.core.jobs.zone_view import WorkerView
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import WorkerName
    from jujubehall.identifiers import ZoneName
    from jujubehall.services.zone_context import ZoneContext
    from jujubehall.services.zone_workers import WorkerResponse
    from jujubehall.workers.messages import TaskKey

ROUND_DELAY_MS = 20
"""Delay before a scheduling round, so that simultaneous changes are handled in one round."""

MAX_ROUND_INTERVAL_MS = 1_000
"""Maximum time between scheduling rounds while jobs wait, since their priority rises with age."""

MAX_PLACING_GANGS = 32
"""Maximum number of gangs being placed at the same time; urgent jobs are exempt."""

MAX_HOST_LIST_LAG_MS = 30_000
"""Maximum lag of the platform's host list.

A worker missing from the list counts as removed ``PARTIAL_GANG_BOUND_MS`` after this time, if it
doesn't respond either.
"""

log = structlog.get_logger()


class ZoneOwner:
    """Executes the scheduling policy's decisions for one zone, under one epoch.

    The owner is event-driven: it reacts to changed job records, worker responses and timer ticks.
    It never blocks on one gang or worker, so that a slow one doesn't delay the others.
    """

    def __init__(self, context: ZoneContext, zone: ZoneName, epoch: Epoch) -> None:
        self._context = context
        self._zone = zone
        self._epoch = epoch
        self._is_active = True
        self._is_cache_refreshed = False
        self._is_round_scheduled = False
        self._last_round_ms = 0
        self._victims_by_beneficiary: dict[JobId, set[JobId]] = {}
        self._waiting_beneficiaries: set[JobId] = set()
        self._pending_moves: dict[JobId, tuple[PartPlacement, ...]] = {}
        self._jobs_being_written: set[JobId] = set()
        self._unlisted_since_ms: dict[WorkerName, int] = {}
        self._policy = context.make_policy()
        self.health = WorkerHealth()
        self.gangs = ZoneGangs()
        self.workers = ZoneWorkers(context.reactor, context.clock, context.workers, epoch, self)

    @property
    def zone(self) -> ZoneName:
        """The availability zone that this owner schedules."""
        return self._zone

    @property
    def epoch(self) -> Epoch:
        """Epoch in which this ownership began; workers reject commands of earlier epochs."""
        return self._epoch

    @property
    def is_active(self) -> bool:
        """Whether this owner may still send commands to workers."""
        return self._is_active

    async def run(self) -> None:
        """Schedules the zone's jobs until stopped."""
        log.info("zone owner started", zone=self._zone, epoch=self._epoch)
        self._update_workers()
        run_in_background(self._refresh_cache())
        while self._is_active:
            self._tick()
            await sleep(self._context.reactor, TICK_INTERVAL_MS)

    def stop(self) -> None:
        """Stops scheduling. Tasks continue under their leases until the next owner adopts them."""
        if self._is_active:
            self._is_active = False
            self.workers.stop()
            log.info("zone owner stopped", zone=self._zone, epoch=self._epoch)

    def on_job_changed(self, job: JobId) -> None:
        """Handles a changed job record of this zone, written by this entry host or by another."""
        if not self._is_active:
            return
        runner = self.gangs.get(job)
        if runner is not None:
            self._sync_record(runner)
        else:
            self._adopt(self._read_record(job))
        self.request_round()

    def request_round(self) -> None:
        """Starts a scheduling round after ``ROUND_DELAY_MS``, unless one is pending already."""
        if not self._is_round_scheduled and self._is_active:
            self._is_round_scheduled = True
            run_in_background(self._run_round())

    # Worker responses

    def renewable_keys(self, worker: WorkerName) -> tuple[TaskKey, ...]:
        """Returns the keys of the tasks on a worker whose leases may be renewed now."""
        now_ms = self._context.clock.now_ms
        runners = self.gangs.on_worker(worker)
        return tuple(
            key for runner in runners for key in runner.gang.renewable_keys(worker, now_ms)
        )

    def on_response(self, worker: WorkerName, response: WorkerResponse) -> None:
        """Passes a worker's response to every gang that has a part on the worker."""
        if not self._is_active:
            return
        self._record_outcomes(worker, response)
        for runner in self.gangs.on_worker(worker):
            runner.on_response(worker, response)
        self._stop_orphaned_tasks(worker, response)

    def on_fenced(self) -> None:
        """Stops this owner: a worker rejected a command in favour of a later owner's epoch."""
        self.stop()

    def _record_outcomes(self, worker: WorkerName, response: WorkerResponse) -> None:
        states = {task.key: task.state for task in response.inventory.tasks}
        for runner in self.gangs.on_worker(worker):
            parts = [part for part in runner.gang.parts if part.worker == worker]
            new_states = {states.get(part.key) for part in parts if not part.is_ended}
            if TaskState.FAILED in new_states and not runner.gang.is_stopping:
                record = runner.gang.record
                failed_elsewhere = any(name != worker for name in record.failed_workers)
                if self.health.record_failure(worker, record.id, failed_elsewhere=failed_elsewhere):
                    QUARANTINES.inc({"zone": self._zone})
                    log.warning("worker quarantined", worker=worker)
            elif TaskState.SUCCEEDED in new_states:
                self.health.record_success(worker)

    def _stop_orphaned_tasks(self, worker: WorkerName, response: WorkerResponse) -> None:
        for task in response.inventory.tasks:
            if task.state in ACTIVE_TASK_STATES and self._is_orphaned(task.key):
                run_in_background(self.workers.send(worker, StopTask(self._epoch, task.key)))

    def _is_orphaned(self, key: TaskKey) -> bool:
        runner = self.gangs.get(key.job)
        if runner is not None:
            return key.attempt < runner.gang.parts[0].key.attempt
        if not self._is_cache_refreshed:
            # The task's record may be newer than the cache.
            return False
        record = self._read_record(key.job)
        if record is None or record.state.is_final:
            return True
        return record.state is JobState.QUEUED or record.attempt > key.attempt

    # Gangs

    def _read_record(self, job: JobId) -> JobRecord | None:
        record: JobRecord | None = self._context.cache.read(job_key(job), JobRecord)
        return record

    def _adopt(self, record: JobRecord | None) -> None:
        if record is None or record.zone != self._zone or self.gangs.get(record.id) is not None:
            return
        if record.state.is_final or record.state is JobState.QUEUED or record.epoch > self._epoch:
            return
        runner = self._make_runner(record)
        actions = runner.gang.adopt(self._context.clock.now_ms)
        self.gangs.add(record.id, runner)
        runner.execute(actions)

    def _make_runner(self, record: JobRecord) -> GangRunner:
        version = self._context.cache.version(job_key(record.id))
        gang = Gang(record, version, self._epoch, self.health.is_quarantined)
        return GangRunner(
            gang,
            self._context.clock,
            self._epoch,
            self._context.store,
            self.workers,
            lambda: self._is_active,
            self._on_gang_changed,
        )

    def _start_gang(self, record: JobRecord, placement: tuple[PartPlacement, ...]) -> None:
        runner = self._make_runner(record)
        actions = runner.gang.begin(placement, self._context.clock.now_ms)
        self.gangs.add(record.id, runner)
        runner.execute(actions)

    def _sync_record(self, runner: GangRunner) -> None:
        key = job_key(runner.gang.record.id)
        version = self._context.cache.version(key)
        record = self._read_record(runner.gang.record.id)
        if version != runner.gang.version or record is None:
            runner.deliver(RecordChanged(record, version))

    def _on_gang_changed(self, runner: GangRunner) -> None:
        job = runner.gang.record.id
        if runner.gang.phase is not GangPhase.DONE or self.gangs.get(job) is not runner:
            return
        self.gangs.remove(job)
        self._remove_victim(job)
        self._record_result(runner)
        self.request_round()

    def _record_result(self, runner: GangRunner) -> None:
        gang = runner.gang
        record = gang.record
        if record.state is JobState.FAILED:
            self.health.discard_failures(record.id)
        if record.state is JobState.SUCCEEDED and gang.started_at_ms is not None:
            run_ms = self._context.clock.now_ms - gang.started_at_ms
            self._policy.record_finished(record, record.progress_ms + run_ms)
        ATTEMPTS_ENDED.inc({"zone": self._zone, "state": record.state.value})
        log.info("job attempt ended", job=record.id, state=record.state.value, reason=record.reason)

    def _remove_victim(self, job: JobId) -> None:
        for victims in self._victims_by_beneficiary.values():
            victims.discard(job)
        self._victims_by_beneficiary = {
            beneficiary: victims
            for beneficiary, victims in self._victims_by_beneficiary.items()
            if victims
        }

    # Periodic work

    def _tick(self) -> None:
        now_ms = self._context.clock.now_ms
        self._update_workers()
        self.health.update((status.name for status in self.workers.statuses), now_ms)
        for runner in self.gangs.active:
            self._sync_record(runner)
            runner.deliver(Tick())
        for record in self._context.index.unfinished_jobs(self._zone):
            self._adopt(record)
        self._drain_leaving_workers()
        if now_ms - self._last_round_ms >= MAX_ROUND_INTERVAL_MS and self.queued:
            self.request_round()

    async def _refresh_cache(self) -> None:
        # The previous owner's last writes must be in the cache before a task without a matching
        # record may be treated as orphaned.
        while self._is_active and not self._is_cache_refreshed:
            self._is_cache_refreshed = await self._context.cache.refresh()
            if not self._is_cache_refreshed:
                await sleep(self._context.reactor, MAX_ROUND_INTERVAL_MS)

    def _update_workers(self) -> None:
        listed = self._context.hosts.workers
        if not listed:
            return
        hosts = [host for host in listed if host.zone == self._zone]
        self.workers.update(hosts)
        self._report_removed_workers({host.name for host in hosts})

    def _report_removed_workers(self, listed: set[str]) -> None:
        now_ms = self._context.clock.now_ms
        placed = {part.worker for runner in self.gangs.active for part in runner.gang.parts}
        unlisted = {worker for worker in placed if worker not in listed}
        unlisted_since_ms = {
            worker: self._unlisted_since_ms.get(worker, now_ms) for worker in unlisted
        }
        self._unlisted_since_ms = unlisted_since_ms
        for worker, first_unlisted_ms in unlisted_since_ms.items():
            status = self.workers.status(worker)
            if (
                now_ms - first_unlisted_ms > MAX_HOST_LIST_LAG_MS + PARTIAL_GANG_BOUND_MS
                and status is None
            ):
                for runner in self.gangs.on_worker(worker):
                    runner.deliver(WorkerRemoved(worker))

    def _drain_leaving_workers(self) -> None:
        for status in self.workers.statuses:
            if status.host.state is HostState.LEAVING:
                for runner in self.gangs.on_worker(status.name):
                    runner.deliver(StopRequested(f"{status.name} is leaving"))

    # Decisions

    async def _run_round(self) -> None:
        await sleep(self._context.reactor, ROUND_DELAY_MS)
        self._is_round_scheduled = False
        if self._is_active:
            self._last_round_ms = self._context.clock.now_ms
            self._place_moved_jobs()
            view = self.zone_view()
            self._waiting_beneficiaries = {
                beneficiary
                for beneficiary, jobs in self._victims_by_beneficiary.items()
                if self._any_stopping(jobs)
            }
            for decision in self._decide(view):
                self._apply(decision, view)

    def _decide(self, view: ZoneView) -> list[Decision]:
        try:
            return self._policy.decide(view)
        except InvariantViolation:
            # The policy's internal state may be inconsistent, so it is discarded. All state that
            # must outlast the policy is in the view.
            self._policy = self._context.make_policy()
            POLICY_FAILURES.inc({"zone": self._zone})
            raise

    def zone_view(self) -> ZoneView:
        """Returns the zone's current state as input for the scheduling policy."""
        now_ms = self._context.clock.now_ms
        index = self._context.index
        configuration = self._context.configuration.current
        return ZoneView(
            self._zone,
            now_ms,
            self.worker_views(),
            tuple(JobView(job, index.queued_since_ms(job.id)) for job in self.queued),
            tuple(
                job_view(runner, index.queued_since_ms(runner.gang.record.id), now_ms)
                for runner in self.gangs.active
            ),
            team_views(
                self._context.guarantees(self._zone),
                {team.name: team.accelerator_quota for team in configuration.teams},
            ),
            configuration.value("fragmentation_weight", f"zone/{self._zone}"),
            all_workers_known=all(status.inventory is not None for status in self.workers.statuses),
        )

    def worker_views(self) -> tuple[WorkerView, ...]:
        """Returns the current state of the zone's workers for the scheduling policy."""
        configured_foreign = self._context.configured_foreign(self._zone)
        now_ms = self._context.clock.now_ms
        return worker_views(
            self.workers.statuses, self.gangs, self.health, configured_foreign, now_ms
        )

    @property
    def queued(self) -> list[JobRecord]:
        """The zone's queued jobs without a gang or a write in progress, by submission time."""
        return [
            job
            for job in self._context.index.unfinished_jobs(self._zone)
            if job.state is JobState.QUEUED
            and self.gangs.get(job.id) is None
            and job.id not in self._jobs_being_written
        ]

    def _apply(self, decision: Decision, view: ZoneView) -> None:
        match decision:
            case Place():
                self._place(decision, view)
            case Preempt():
                self._preempt(decision)
            case Move():
                self._move(decision)
            case Reject():
                self._reject(decision)

    def _place(self, decision: Place, view: ZoneView) -> None:
        record = self._read_record(decision.job)
        if record is None or record.state is not JobState.QUEUED or self.gangs.get(record.id):
            return
        if not record.spec.urgent and self.gangs.placing_count >= MAX_PLACING_GANGS:
            return
        usable_workers = {worker.name for worker in view.workers if worker.usable}
        if any(part.worker not in usable_workers for part in decision.placement):
            return
        self._start_gang(record, decision.placement)

    def _preempt(self, decision: Preempt) -> None:
        # Victims chosen in an earlier round are still stopping. Preempting more jobs now would free
        # more than the beneficiary needs.
        if decision.beneficiary in self._waiting_beneficiaries:
            return
        reason = f"{decision.reason} for {decision.beneficiary}"
        self._request_stop(decision.job, reason, immediate=decision.immediate)
        self._victims_by_beneficiary.setdefault(decision.beneficiary, set()).add(decision.job)

    def _any_stopping(self, jobs: set[JobId]) -> bool:
        runners = [self.gangs.get(job) for job in jobs]
        return any(runner is not None and runner.gang.is_stopping for runner in runners)

    def _move(self, decision: Move) -> None:
        self._pending_moves[decision.job] = decision.placement
        self._request_stop(decision.job, decision.reason)

    def _place_moved_jobs(self) -> None:
        """Places moved jobs that have stopped, if their new workers still have enough room."""
        for job, placement in list(self._pending_moves.items()):
            if self.gangs.get(job) is not None:
                continue
            del self._pending_moves[job]
            record = self._read_record(job)
            if record is not None and self._fits(record, placement):
                self._place(Place(job, placement), self.zone_view())

    def _fits(self, record: JobRecord, placement: tuple[PartPlacement, ...]) -> bool:
        parts = Counter(part.worker for part in placement)
        free = {worker.name: free_accelerators(worker) for worker in self.worker_views()}
        needed = record.spec.accelerators_per_part
        return all(free.get(name, 0) >= count * needed for name, count in parts.items())

    def _request_stop(self, job: JobId, reason: str, *, immediate: bool = False) -> None:
        runner = self.gangs.get(job)
        if runner is not None:
            runner.deliver(StopRequested(reason, immediate))

    def _reject(self, decision: Reject) -> None:
        record = self._read_record(decision.job)
        if record is None or record.state is not JobState.QUEUED or self.gangs.get(record.id):
            return
        feasible_zone = find_feasible_zone(record, self._context.summaries)
        if feasible_zone is not None:
            self.write_queued(msgspec.structs.replace(record, zone=feasible_zone))
            return
        failed = msgspec.structs.replace(
            record, state=JobState.FAILED, reason=decision.reason, epoch=self._epoch
        )
        self.write_queued(failed)

    def write_queued(self, changed: JobRecord) -> None:
        """Writes the record of a queued job without a gang, for example to reject or reassign it.

        Ignored while an earlier write of the same job is in progress.
        """
        if changed.id not in self._jobs_being_written:
            self._jobs_being_written.add(changed.id)
            run_in_background(self._write_queued(changed))

    async def _write_queued(self, changed: JobRecord) -> None:
        version = self._context.cache.version(job_key(changed.id))
        await self._context.store.write(changed, version, lambda: self._is_active)
        self._jobs_being_written.discard(changed.id)
