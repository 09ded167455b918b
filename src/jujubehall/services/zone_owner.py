"""One ownership of an availability zone, from the taking over to the handing over."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import structlog

from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Refuse
from jujubehall.core.jobs.gang import HOLDING
from jujubehall.core.jobs.gang import Gang
from jujubehall.core.jobs.gang import GangPhase
from jujubehall.core.jobs.gang_messages import RecordChanged
from jujubehall.core.jobs.gang_messages import StopWanted
from jujubehall.core.jobs.gang_messages import TimePassed
from jujubehall.core.jobs.gang_messages import WorkerGone
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
from jujubehall.services.gang_runner import GangRunner
from jujubehall.services.job_metrics import ATTEMPTS_ENDED
from jujubehall.services.job_metrics import POLICY_FAILURES
from jujubehall.services.job_metrics import QUARANTINES
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start
from jujubehall.services.zone_gangs import ZoneGangs
from jujubehall.services.zone_hand_over import zone_that_can_fit
from jujubehall.services.zone_reports import free_accelerators
from jujubehall.services.zone_reports import view_running
from jujubehall.services.zone_reports import view_teams
from jujubehall.services.zone_reports import view_workers
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
    from jujubehall.services.zone_workers import WorkerAnswer
    from jujubehall.workers.messages import TaskKey

ROUND_DELAY_MS = 20
"""Changes that come together are decided on together."""

IDLE_ROUND_INTERVAL_MS = 1_000
"""While jobs wait, the policy is asked at least this often, since waiting jobs age."""

MAX_PLACING = 32
"""So many gangs reserve and start at once, urgent ones not counted."""

LIST_LAG_MS = 30_000
"""A worker that the platform no longer lists counts as gone after this time without an answer."""

log = structlog.get_logger()


class ZoneOwner:
    """Carries the policy's decisions out for one zone, under one epoch.

    Everything it does is driven by events: a changed record, a worker's answer, a tick. It never
    waits for one gang or worker before it serves the next.
    """

    def __init__(self, context: ZoneContext, zone: ZoneName, epoch: Epoch) -> None:
        self._context = context
        self._zone = zone
        self._epoch = epoch
        self._active = True
        self._fresh = False
        self._round_due = False
        self._last_round_ms = 0
        self._reclaims: dict[JobId, set[JobId]] = {}
        self._reclaiming: set[JobId] = set()
        self._moves: dict[JobId, tuple[PartPlacement, ...]] = {}
        self._writing: set[JobId] = set()
        self._unlisted_since_ms: dict[WorkerName, int] = {}
        self._policy = context.make_policy()
        self.health = WorkerHealth()
        self.gangs = ZoneGangs()
        self.workers = ZoneWorkers(context.reactor, context.clock, context.workers, epoch, self)

    @property
    def zone(self) -> ZoneName:
        """The availability zone."""
        return self._zone

    @property
    def epoch(self) -> Epoch:
        """The epoch in which this ownership began; workers refuse earlier ones."""
        return self._epoch

    @property
    def is_active(self) -> bool:
        """Whether this owner may still command workers."""
        return self._active

    async def run(self) -> None:
        """Takes the zone over and serves it until stopped."""
        log.info("zone taken over", zone=self._zone, epoch=self._epoch)
        self._follow_hosts()
        start(self._refresh())
        while self._active:
            self._tick()
            await sleep(self._context.reactor, TICK_INTERVAL_MS)

    def stop(self) -> None:
        """Acts no more; what runs goes on under its leases until the next owner adopts it."""
        if self._active:
            self._active = False
            self.workers.stop()
            log.info("zone given up", zone=self._zone, epoch=self._epoch)

    def on_job_changed(self, job: JobId) -> None:
        """A record of this zone was written, here or elsewhere."""
        if not self._active:
            return
        runner = self.gangs.get(job)
        if runner is not None:
            self._synchronise(runner)
        else:
            self._adopt(self._record(job))
        self.wake()

    def wake(self) -> None:
        """Asks for a round of decisions soon."""
        if not self._round_due and self._active:
            self._round_due = True
            start(self._decide_soon())

    # Answers of workers

    def renewable(self, worker: WorkerName) -> tuple[TaskKey, ...]:
        """The keys whose leases on a worker may be renewed now."""
        now_ms = self._context.clock.now_ms
        runners = self.gangs.on_worker(worker)
        return tuple(key for runner in runners for key in runner.gang.renewable(worker, now_ms))

    def on_answer(self, worker: WorkerName, answer: WorkerAnswer) -> None:
        """A worker has answered: every gang on it learns how its parts stand."""
        if not self._active:
            return
        self._note_outcomes(worker, answer)
        for runner in self.gangs.on_worker(worker):
            runner.on_answer(worker, answer)
        self._stop_unknown_tasks(worker, answer)

    def on_fenced(self) -> None:
        """A worker has seen a later owner: this one must not act any more."""
        self.stop()

    def _note_outcomes(self, worker: WorkerName, answer: WorkerAnswer) -> None:
        states = {task.key: task.state for task in answer.inventory.tasks}
        for runner in self.gangs.on_worker(worker):
            parts = [part for part in runner.gang.parts if part.worker == worker]
            ended = {states.get(part.key) for part in parts if not part.is_ended}
            if TaskState.FAILED in ended and not runner.gang.is_stopping:
                record = runner.gang.record
                elsewhere = any(name != worker for name in record.failed_workers)
                if self.health.record_failure(worker, record.id, failed_elsewhere=elsewhere):
                    QUARANTINES.inc({"zone": self._zone})
                    log.warning("worker quarantined", worker=worker)
            elif TaskState.SUCCEEDED in ended:
                self.health.record_success(worker)

    def _stop_unknown_tasks(self, worker: WorkerName, answer: WorkerAnswer) -> None:
        for task in answer.inventory.tasks:
            if task.state in HOLDING and self._is_unknown(task.key):
                start(self.workers.send(worker, StopTask(self._epoch, task.key)))

    def _is_unknown(self, key: TaskKey) -> bool:
        runner = self.gangs.get(key.job)
        if runner is not None:
            return key.attempt < runner.gang.parts[0].key.attempt
        if not self._fresh:
            # Its record may be later than what is known here.
            return False
        record = self._record(key.job)
        if record is None or record.state.is_final:
            return True
        return record.state is JobState.QUEUED or record.attempt > key.attempt

    # Gangs

    def _record(self, job: JobId) -> JobRecord | None:
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
        runner.carry_out(actions)

    def _make_runner(self, record: JobRecord) -> GangRunner:
        version = self._context.cache.version(job_key(record.id))
        gang = Gang(record, version, self._epoch, self.health.is_quarantined)
        return GangRunner(
            gang,
            self._context.clock,
            self._epoch,
            self._context.store,
            self.workers,
            lambda: self._active,
            self._on_gang_changed,
        )

    def _begin(self, record: JobRecord, placement: tuple[PartPlacement, ...]) -> None:
        runner = self._make_runner(record)
        actions = runner.gang.begin(placement, self._context.clock.now_ms)
        self.gangs.add(record.id, runner)
        runner.carry_out(actions)

    def _synchronise(self, runner: GangRunner) -> None:
        key = job_key(runner.gang.record.id)
        version = self._context.cache.version(key)
        record = self._record(runner.gang.record.id)
        if version != runner.gang.version or record is None:
            runner.deliver(RecordChanged(record, version))

    def _on_gang_changed(self, runner: GangRunner) -> None:
        job = runner.gang.record.id
        if runner.gang.phase is not GangPhase.DONE or self.gangs.get(job) is not runner:
            return
        self.gangs.remove(job)
        self._settle_reclaims(job)
        self._learn_from(runner)
        self.wake()

    def _learn_from(self, runner: GangRunner) -> None:
        gang = runner.gang
        record = gang.record
        if record.state is JobState.FAILED:
            self.health.forgive(record.id)
        if record.state is JobState.SUCCEEDED and gang.started_at_ms is not None:
            run_ms = self._context.clock.now_ms - gang.started_at_ms
            self._policy.record_finished(record, record.progress_ms + run_ms)
        ATTEMPTS_ENDED.inc({"zone": self._zone, "state": record.state.value})
        log.info("job changed", job=record.id, state=record.state.value, reason=record.reason)

    def _settle_reclaims(self, job: JobId) -> None:
        for victims in self._reclaims.values():
            victims.discard(job)
        self._reclaims = {to: victims for to, victims in self._reclaims.items() if victims}

    # Time

    def _tick(self) -> None:
        now_ms = self._context.clock.now_ms
        self._follow_hosts()
        self.health.update((contact.name for contact in self.workers.contacts), now_ms)
        for runner in self.gangs.all:
            self._synchronise(runner)
            runner.deliver(TimePassed())
        for record in self._context.index.jobs(self._zone):
            self._adopt(record)
        self._leave_workers()
        if now_ms - self._last_round_ms >= IDLE_ROUND_INTERVAL_MS and self.queued:
            self.wake()

    async def _refresh(self) -> None:
        # The earlier owner's last writes must be known before any task is taken for unknown.
        while self._active and not self._fresh:
            self._fresh = await self._context.cache.refresh()
            if not self._fresh:
                await sleep(self._context.reactor, IDLE_ROUND_INTERVAL_MS)

    def _follow_hosts(self) -> None:
        listed = self._context.hosts.workers
        if not listed:
            return
        hosts = [host for host in listed if host.zone == self._zone]
        self.workers.update(hosts)
        self._note_gone({host.name for host in hosts})

    def _note_gone(self, listed: set[str]) -> None:
        now_ms = self._context.clock.now_ms
        placed = {part.worker for runner in self.gangs.all for part in runner.gang.parts}
        absent = {worker for worker in placed if worker not in listed}
        since = {worker: self._unlisted_since_ms.get(worker, now_ms) for worker in absent}
        self._unlisted_since_ms = since
        for worker, since_ms in since.items():
            contact = self.workers.contact(worker)
            if now_ms - since_ms > LIST_LAG_MS + PARTIAL_GANG_BOUND_MS and contact is None:
                for runner in self.gangs.on_worker(worker):
                    runner.deliver(WorkerGone(worker))

    def _leave_workers(self) -> None:
        for contact in self.workers.contacts:
            if contact.host.state is HostState.LEAVING:
                for runner in self.gangs.on_worker(contact.name):
                    runner.deliver(StopWanted(f"{contact.name} is leaving"))

    # Decisions

    async def _decide_soon(self) -> None:
        await sleep(self._context.reactor, ROUND_DELAY_MS)
        self._round_due = False
        if self._active:
            self._last_round_ms = self._context.clock.now_ms
            self._place_moved()
            view = self.view()
            self._reclaiming = {to for to, jobs in self._reclaims.items() if self._any_stops(jobs)}
            for decision in self._decide(view):
                self._carry_out(decision, view)

    def _decide(self, view: ZoneView) -> list[Decision]:
        try:
            return self._policy.decide(view)
        except InvariantViolation:
            # Its memory can't be trusted any more; what must last is in the view.
            self._policy = self._context.make_policy()
            POLICY_FAILURES.inc({"zone": self._zone})
            raise

    def view(self) -> ZoneView:
        """What the policy decides on now."""
        now_ms = self._context.clock.now_ms
        index = self._context.index
        configuration = self._context.configuration.current
        return ZoneView(
            self._zone,
            now_ms,
            self.view_workers(),
            tuple(JobView(job, index.queued_since_ms(job.id)) for job in self.queued),
            tuple(
                view_running(runner, index.queued_since_ms(runner.gang.record.id), now_ms)
                for runner in self.gangs.all
            ),
            view_teams(
                self._context.guarantees(self._zone),
                {team.name: team.accelerator_quota for team in configuration.teams},
            ),
            configuration.value("fragmentation_weight", f"zone/{self._zone}"),
            complete=all(contact.inventory is not None for contact in self.workers.contacts),
        )

    def view_workers(self) -> tuple[WorkerView, ...]:
        """The zone's workers as the policy sees them now."""
        shares = self._context.shares(self._zone)
        now_ms = self._context.clock.now_ms
        return view_workers(self.workers.contacts, self.gangs, self.health, shares, now_ms)

    @property
    def queued(self) -> list[JobRecord]:
        """The zone's jobs that wait, in the order of their submission."""
        return [
            job
            for job in self._context.index.jobs(self._zone)
            if job.state is JobState.QUEUED
            and self.gangs.get(job.id) is None
            and job.id not in self._writing
        ]

    def _carry_out(self, decision: Decision, view: ZoneView) -> None:
        match decision:
            case Place():
                self._place(decision, view)
            case Preempt():
                self._preempt(decision)
            case Move():
                self._move(decision)
            case Refuse():
                self._refuse(decision)

    def _place(self, decision: Place, view: ZoneView) -> None:
        record = self._record(decision.job)
        if record is None or record.state is not JobState.QUEUED or self.gangs.get(record.id):
            return
        if not record.spec.urgent and self.gangs.placing >= MAX_PLACING:
            return
        names = {worker.name for worker in view.workers if worker.usable}
        if any(part.worker not in names for part in decision.placement):
            return
        self._begin(record, decision.placement)

    def _preempt(self, decision: Preempt) -> None:
        # Victims of an earlier round are still stopping: more of them would be too many.
        if decision.beneficiary in self._reclaiming:
            return
        reason = f"{decision.reason} for {decision.beneficiary}"
        self._stop_for(decision.job, reason, at_once=decision.at_once)
        self._reclaims.setdefault(decision.beneficiary, set()).add(decision.job)

    def _any_stops(self, jobs: set[JobId]) -> bool:
        runners = [self.gangs.get(job) for job in jobs]
        return any(runner is not None and runner.gang.is_stopping for runner in runners)

    def _move(self, decision: Move) -> None:
        self._moves[decision.job] = decision.placement
        self._stop_for(decision.job, decision.reason)

    def _place_moved(self) -> None:
        """Places moved jobs that have stopped, unless their new place was taken meanwhile."""
        for job, placement in list(self._moves.items()):
            if self.gangs.get(job) is not None:
                continue
            del self._moves[job]
            record = self._record(job)
            if record is not None and self._has_room(record, placement):
                self._place(Place(job, placement), self.view())

    def _has_room(self, record: JobRecord, placement: tuple[PartPlacement, ...]) -> bool:
        parts = Counter(part.worker for part in placement)
        free = {worker.name: free_accelerators(worker) for worker in self.view_workers()}
        needed = record.spec.accelerators_per_part
        return all(free.get(name, 0) >= count * needed for name, count in parts.items())

    def _stop_for(self, job: JobId, reason: str, *, at_once: bool = False) -> None:
        runner = self.gangs.get(job)
        if runner is not None:
            runner.deliver(StopWanted(reason, at_once))

    def _refuse(self, decision: Refuse) -> None:
        record = self._record(decision.job)
        if record is None or record.state is not JobState.QUEUED or self.gangs.get(record.id):
            return
        other = zone_that_can_fit(record, self._context.summaries)
        if other is not None:
            self.write_queued(msgspec.structs.replace(record, zone=other))
            return
        refused = msgspec.structs.replace(
            record, state=JobState.FAILED, reason=decision.reason, epoch=self._epoch
        )
        self.write_queued(refused)

    def write_queued(self, changed: JobRecord) -> None:
        """Writes a job of the queue that has no gang, for example to refuse it."""
        if changed.id not in self._writing:
            self._writing.add(changed.id)
            start(self._write_queued(changed))

    async def _write_queued(self, changed: JobRecord) -> None:
        version = self._context.cache.version(job_key(changed.id))
        await self._context.store.write(changed, version, lambda: self._active)
        self._writing.discard(changed.id)
