"""The owner of the site during one term: schedules the jobs and has the decisions carried out."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import structlog

from result import Err

from jujubehall.clock import to_seconds
from jujubehall.core.fleet.admission_limits import NO_LIMITS
from jujubehall.core.fleet.decisions import ReserveCapacity
from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.lost_workers import LossKind
from jujubehall.core.fleet.lost_workers import lost_worker
from jujubehall.core.fleet.placement_preview import preview_job
from jujubehall.core.fleet.state import FleetState
from jujubehall.metrics import JOBS_GIVEN_UP
from jujubehall.metrics import RUNS_LOST
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import run_loop
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.advisor import Advisor
from jujubehall.services.fleet.cancellation_records import CancellationRecords
from jujubehall.services.fleet.intake_watcher import IntakeWatcher
from jujubehall.services.fleet.job_retention import JobRetention
from jujubehall.services.fleet.latencies import LatencyHistogram
from jujubehall.services.fleet.maintenance import MaintenanceController
from jujubehall.services.fleet.overlapping_requests import RequestLimit
from jujubehall.services.fleet.overload_monitor import OverloadMonitor
from jujubehall.services.fleet.ownership import STORE_OUTAGE_GRACE_MS
from jujubehall.services.fleet.progress_writer import REFUSED_RETRY_INTERVAL_MS
from jujubehall.services.fleet.progress_writer import ProgressWriter
from jujubehall.services.fleet.speed_records import SpeedRecords
from jujubehall.services.fleet.worker_commands import WorkerCommands
from jujubehall.services.fleet.worker_registry import WorkerRegistry
from jujubehall.services.fleet.worker_session import MAX_CLOCK_DRIFT_FACTOR
from jujubehall.services.fleet.worker_session import WorkerSession
from jujubehall.services.fleet.zone_evacuations import ZoneEvacuations

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from result import Result

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.admission_limits import AdmissionLimits
    from jujubehall.core.fleet.configuration import SiteConfiguration
    from jujubehall.core.fleet.job_demand import JobDemand
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.jobs import JobProgress
    from jujubehall.core.fleet.jobs import PartProgress
    from jujubehall.core.fleet.lost_workers import LostWorker
    from jujubehall.core.fleet.placement_preview import JobPreview
    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.errors import Failure
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import QueueName
    from jujubehall.identifiers import TeamName
    from jujubehall.identifiers import WorkerName
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteAdvice
    from jujubehall.platform.site_store import SiteDirectory
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import SiteWorkers
    from jujubehall.services.fleet.maintenance import MaintenanceClients
    from jujubehall.services.fleet.ownership import Ownership
    from jujubehall.services.fleet.ownership import Term
    from jujubehall.services.fleet.peers import Peers

ROUND_DELAY_MS = 5
"""Delay before a scheduling round, so that events that arrive together share one."""

MAX_ROUND_TIME_SHARE = 0.25
"""Upper limit, approximately, of the share of time spent in scheduling rounds. On a site of 816
workers a round takes about 0.1 s, and worker reports must be processed between rounds."""

ROUND_INTERVAL_MS = 200
"""Interval of rounds without an event, for decisions that depend on the time passed. Also the
maximum delay of a round after an event."""

WORKER_LIST_INTERVAL_MS = 700
"""How often the workers are listed. A draining worker must get no new tasks later than 2 s after it
has announced that it is draining, also if a list gets no answer."""

LIST_RETRY_INTERVAL_MS = 200

MAX_LOAD_MS = 60_000
"""Time after which an owner that is still loading leaves the ownership to another host: about 40 MB
on a link of 5 Mbit/s, the records of 2,900 jobs of 200 tasks."""

LOAD_RETRY_INTERVAL_MS = 200
MAX_LOAD_ATTEMPTS = 2
"""Failed attempts to load the records after which the ownership is left to another entry host, which
may have a better connection to the store."""

CLEANUP_INTERVAL_MS = 10_000

MAX_FINISH_STARTS_MS = 500
"""How long a planned hand-over waits for gangs that are being started. Most take a few milliseconds;
a successor stops and restarts the others, which takes about as long."""

FINISH_STARTS_CHECK_INTERVAL_MS = 10

Loaded = TypeVar("Loaded")

log = structlog.get_logger()


class SiteOwner:
    """Schedules the jobs of the site during one term.

    A new term builds its scheduling state from the store and the workers' reports.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        wall_clock: Clock,
        store: SiteStore,
        directory: SiteDirectory,
        workers: SiteWorkers,
        advice: SiteAdvice | None,
        ownership: Ownership,
        peers: Peers,
        term: Term,
        longest_lease_ms: int,
        gang_start_timeout_ms: int,
        ended_job_retention_ms: int,
        maintenance_clients: MaintenanceClients | None = None,
        refuses_when_overloaded: bool = False,
        evacuation_deadline_ms: int | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._wall_clock = wall_clock
        self._store = store
        self._directory = directory
        self._ownership = ownership
        self._term = term
        self._longest_lease_ms = longest_lease_ms
        self._sessions: dict[WorkerName, WorkerSession] = {}
        self._is_round_scheduled = False
        self._is_leaving = False
        self._last_round_duration_ms = 0
        self._last_cleanup_ms = 0
        self._elected_ms = clock.now_ms
        self._intake_watcher = IntakeWatcher(self, reactor, store)
        self._worker_registry = WorkerRegistry(reactor, store, term.owner_revision)
        self.peers = peers
        self.workers_api = workers
        self.fleet_state = FleetState(gang_start_timeout_ms)
        self._job_retention = JobRetention(
            clock, store, self.fleet_state, term.owner_revision, ended_job_retention_ms
        )
        self.cancellations = CancellationRecords(
            clock, store, self.fleet_state, term.owner_revision, ended_job_retention_ms
        )
        self._speed_records = SpeedRecords(clock, store, self.fleet_state, term.owner_revision)
        self.worker_commands = WorkerCommands(self, reactor, clock)
        self.request_limit = RequestLimit()
        """Limit of the additional requests to silent workers, shared by all sessions."""

        self._advisor = Advisor(self, clock, advice)
        self._maintenance_controller = (
            MaintenanceController(
                self, reactor, clock, wall_clock, store, maintenance_clients, term
            )
            if maintenance_clients is not None
            else None
        )
        self._refuses_when_overloaded = refuses_when_overloaded
        self._overload_monitor: OverloadMonitor | None = None
        self.zone_evacuations = (
            ZoneEvacuations(self, reactor, clock, directory, evacuation_deadline_ms)
            if evacuation_deadline_ms
            else None
        )
        """The evacuated zones; None if the operators of the site don't evacuate zones."""

        self.start_latencies = LatencyHistogram()
        self.gang_start_latencies = LatencyHistogram()
        """Times between the first and the last confirmed start of a run of a gang."""

        self.is_closed = False
        self.is_loaded = False
        self.writer: ProgressWriter

    @property
    def token(self) -> FencingToken:
        """The fencing token of this term."""
        return self._term.token

    @property
    def may_act(self) -> bool:
        """Whether commands may be sent to the workers now."""
        return not self.is_closed and self._ownership.may_act

    @property
    def age_ms(self) -> int:
        """The time since the election of this owner."""
        return self._clock.now_ms - self._elected_ms

    @property
    def limits(self) -> AdmissionLimits:
        """The limits on the admission of jobs that are in force."""
        return NO_LIMITS if self._overload_monitor is None else self._overload_monitor.limits

    WORKER_STATES = ("usable", "draining", "evacuated", "out-of-touch", "troubled")

    def worker_state(self, worker: FleetWorker) -> str:
        """Returns the state of a worker as the owner sees it, one of ``WORKER_STATES``."""
        now_ms = self._clock.now_ms
        if not worker.is_reachable or not worker.is_listed:
            return "out-of-touch"
        if worker.listed.is_draining:
            return "draining"
        if worker.is_zone_evacuated:
            return "evacuated"
        return (
            "usable"
            if worker.accepts_work(now_ms) and not worker.is_degraded(now_ms)
            else "troubled"
        )

    def session(self, worker: FleetWorker) -> WorkerSession | None:
        """Returns the session of a worker; None if there is none."""
        return self._sessions.get(worker.name)

    def configure(self, configuration: SiteConfiguration) -> None:
        """Applies a newer configuration."""
        self.fleet_state.apply_configuration(configuration)
        self.schedule_round()

    def close(self) -> None:
        """Ends the term: stops scheduling, sending commands and writing records."""
        self.is_closed = True
        if self.is_loaded:
            self.writer.close()
        for session in self._sessions.values():
            session.close()

    async def finish_starts(self) -> None:
        """Starts nothing more, and waits until no gang is started only in part."""
        self._is_leaving = True
        deadline_ms = self._clock.now_ms + MAX_FINISH_STARTS_MS
        while (
            not self.is_closed
            and self.fleet_state.has_incomplete_gangs
            and self._clock.now_ms < deadline_ms
        ):
            await sleep(self._reactor, FINISH_STARTS_CHECK_INTERVAL_MS)

    async def run(self) -> None:
        """Takes over: loads the stored records, fences the registered workers, then schedules."""
        self._reactor.callLater(to_seconds(MAX_LOAD_MS), self._give_up_loading)
        if self.zone_evacuations is not None:
            run_in_background(self.zone_evacuations.run())
        revisions = await self._load_records(self._intake_watcher.load)
        if revisions is None:
            return
        self.writer = ProgressWriter(
            self._reactor,
            self._store,
            self.fleet_state,
            self._term.owner_revision,
            revisions,
            self.yield_to_later_owner,
        )
        if not await self._load_registered_workers():
            return
        if await self._load_records(self._intake_watcher.load_cancellations) is None:
            return
        self.is_loaded = True
        self._ownership.note_taken_over()
        log.info("took over", jobs=len(self.fleet_state.jobs), token=self.token)
        run_in_background(self._speed_records.load())
        run_in_background(self._intake_watcher.run())
        if self._maintenance_controller is not None:
            run_in_background(self._maintenance_controller.run())
        self._last_cleanup_ms = self._clock.now_ms
        if self._refuses_when_overloaded:
            self._overload_monitor = OverloadMonitor(self.fleet_state, self._clock)
        for name, step in (
            ("workers", self._poll_workers),
            ("rounds", self._run_periodic_work),
            ("admission limits", self._update_admission_limits),
        ):
            run_in_background(run_loop(self._reactor, name, step, lambda: self.is_closed))

    def apply_intake(self, key: str, value: bytes) -> None:
        """Applies a record that an entry host has just stored."""
        if self.is_loaded and not self.is_closed:
            self._intake_watcher.apply_record(key, value)

    def decide_admission(
        self, job: JobId, queue: QueueName, team: TeamName, demand: JobDemand
    ) -> int | None:
        """Returns None to admit a job, or the time in ms after which its caller may try again."""
        if self._overload_monitor is None or self.is_closed or self._job_retention.is_removed(job):
            # A job that has been removed has run, so that a refusal would be wrong.
            return None
        return self._overload_monitor.decide(job, queue, team, demand)

    def accept(
        self,
        accepted: AcceptedJob,
        progress: JobProgress | None,
        parts: Mapping[int, PartProgress],
    ) -> None:
        """Adds an accepted job, with the progress that an earlier owner stored."""
        if self._job_retention.is_removed(accepted.id):
            return
        if accepted.id not in self.fleet_state.jobs:
            log.info("job added", job=accepted.id, queue=accepted.queue, team=accepted.team)
        job = self.fleet_state.add_job(
            accepted, progress, self._clock.now_ms, self._wall_clock.now_ms, parts
        )
        if self._overload_monitor is not None:
            self._overload_monitor.note_accepted(job)
        if self.cancellations.is_cancelled(accepted.id):
            # The job was cancelled before its record was stored or known here.
            self._cancel_job(accepted.id)
        self.schedule_round()

    def preview(self, accepted: AcceptedJob) -> JobPreview:
        """Returns where a job would be placed now, without adding it."""
        return preview_job(self.fleet_state, accepted, self._clock.now_ms)

    def cancel(self, job: JobId, revision: Revision) -> None:
        """Cancels a job and stops its tasks, as soon as it is known.

        ``revision`` is that of the stored cancellation, or ``ABSENT`` if it isn't known.
        """
        self.cancellations.note(job, revision)
        self._cancel_job(job)

    def _cancel_job(self, job: JobId) -> None:
        self.fleet_state.cancel(job, self._clock.now_ms)
        self.worker_commands.send_stops()
        self.schedule_round()

    def handle_report(self) -> None:
        """Sends the stops that a worker's report requires and schedules a round."""
        self.worker_commands.send_stops()
        self.schedule_round()

    def schedule_round(self) -> None:
        """Schedules a round, and triggers the progress writer and the next advice query."""
        if not self.is_loaded or self.is_closed:
            return
        self.writer.schedule_write()
        self._advisor.query_next()
        if not self._is_round_scheduled:
            self._is_round_scheduled = True
            pause_ms = round(self._last_round_duration_ms * (1 / MAX_ROUND_TIME_SHARE - 1))
            delay_ms = max(ROUND_DELAY_MS, min(pause_ms, ROUND_INTERVAL_MS))
            self._reactor.callLater(to_seconds(delay_ms), self._run_round)

    def yield_to_later_owner(self) -> None:
        """Ends the term because a worker, a peer, the cloud or the store knows a later owner."""
        if not self.is_closed:
            self._ownership.abandon_term("a later owner was reported")

    def elapsed_since(self, unix_ms: int) -> int:
        """Returns how long ago a time of day was; 0 if it is in the future."""
        return max(0, self._wall_clock.now_ms - unix_ms)

    def note_lost_worker(self, lost: LostWorker) -> None:
        """Records, logs and counts the runs that were lost with a worker."""
        RUNS_LOST.add({"how": lost.kind.value}, len(lost.runs))
        log.warning(
            "runs lost with worker",
            worker=lost.worker.name,
            how=lost.kind.value,
            disconnected=lost.is_disconnected,
            coincident=self.fleet_state.is_coincident(lost),
            up_ms=lost.up_ms,
            runs=[[each.task.job, str(each.task[1:]), each.placement.run] for each in lost.runs],
            at_work_ms=[each.at_work_ms for each in lost.runs],
        )
        self._log_given_up(self.fleet_state.record_crash(lost, self._clock.now_ms))

    def _log_given_up(self, jobs: list[FleetJob]) -> None:
        for job in jobs:
            JOBS_GIVEN_UP.inc({"reason": "crashes"})
            log.warning(
                "job given up",
                job=job.id,
                reason="workers crashed under it",
                crashes={
                    group.key: [
                        f"run {each.run} {each.worker} {each.suspicion.value}"
                        for each in group.crash_history.crashes
                    ]
                    for group in job.all_groups()
                    if group.crash_history.crashes
                },
            )

    def expire_leases(self, session: WorkerSession) -> None:
        """Considers all runs on an unreachable worker ended once its leases have expired."""
        worker = session.worker
        if self._clock.now_ms < session.leases_end_ms:
            return
        worker.has_unlisted_ends = False
        if not worker.placements:
            return
        log.warning("worker leases expired", worker=worker.name, runs=len(worker.placements))
        self.note_lost_worker(lost_worker(worker, LossKind.LEASES_EXPIRED))
        for group, index in list(worker.placements):
            group.remove_placement(index)
            self.fleet_state.mark_stopping(group)
        self.worker_commands.send_stops()
        self.schedule_round()

    def _run_round(self) -> None:
        self._is_round_scheduled = False
        if not self.may_act or self._is_leaving:
            return
        began_ms = self._clock.now_ms
        if self.zone_evacuations is not None:
            self.zone_evacuations.suspend_starts()
        self._log_given_up(self.fleet_state.record_crashes_before_takeover(began_ms))
        decisions = self.fleet_state.run_scheduling_round(began_ms)
        self._last_round_duration_ms = self._clock.now_ms - began_ms
        self.worker_commands.note_round(self._last_round_duration_ms)
        self._speed_records.note_round()
        starts = [each for each in decisions if isinstance(each, StartGroup)]
        for decision in decisions:
            if isinstance(decision, StopGroup):
                self.worker_commands.log_stop(decision)
            elif isinstance(decision, ReserveCapacity):
                self.worker_commands.log_wait(decision)
        self.worker_commands.send_stops()
        if starts:
            # A successor must know where a run may be, so its placement is stored before the run is
            # started.
            self.writer.flushed().addCallback(lambda _: self._send_starts(starts))

    def _send_starts(self, starts: list[StartGroup]) -> None:
        for each in starts:
            is_refused = self.writer.is_refused(each.group.job.id)
            if is_refused:
                each.group.not_before_ms = self._clock.now_ms + REFUSED_RETRY_INTERVAL_MS
            if self.may_act and not is_refused:
                self.worker_commands.send_starts(each.group, each.run)
            else:
                self.worker_commands.discard_starts(each.group, each.run)

    async def _run_periodic_work(self) -> None:
        self.fleet_state.create_due_occurrences(self._clock.now_ms, self._wall_clock.now_ms)
        self.schedule_round()
        if self._clock.now_ms - self._last_cleanup_ms >= CLEANUP_INTERVAL_MS:
            self._last_cleanup_ms = self._clock.now_ms
            await self._job_retention.clean_up()
            await self.cancellations.clean_up()
        await sleep(self._reactor, ROUND_INTERVAL_MS)

    async def _update_admission_limits(self) -> None:
        if self._overload_monitor is not None:
            self._overload_monitor.update_if_due()
        await sleep(self._reactor, ROUND_INTERVAL_MS)

    async def _poll_workers(self) -> None:
        requested_ms = self._clock.now_ms
        listed = await self._directory.list_workers()
        if self.is_closed:
            return
        if not isinstance(listed, Err):
            await self._update_workers(listed.ok_value)
            self.schedule_round()
            await sleep(self._reactor, WORKER_LIST_INTERVAL_MS)
        else:
            # A list without an answer has taken most of the time already.
            took_ms = self._clock.now_ms - requested_ms
            await sleep(
                self._reactor, max(LIST_RETRY_INTERVAL_MS, WORKER_LIST_INTERVAL_MS - took_ms)
            )

    def _ensure_session(self, worker: FleetWorker) -> None:
        known = self._sessions.get(worker.name)
        if known is not None:
            known.wake()
            return
        session = WorkerSession(self, self._reactor, self._clock, worker, self._longest_lease_ms)
        worker.previous_leases_end_ms = session.leases_end_ms = self._earlier_leases_end_ms()
        self._sessions[worker.name] = session
        log.info("worker listed", worker=worker.name, rack=worker.listed.rack)
        run_in_background(session.run())

    async def _load_records(
        self, load: Callable[[], Awaitable[Result[Loaded, Failure]]]
    ) -> Loaded | None:
        """Loads stored records; gives up the ownership and returns None if that fails."""
        for attempt in range(1, MAX_LOAD_ATTEMPTS + 1):
            loaded = await load()
            if self.is_closed:
                return None
            if not isinstance(loaded, Err):
                return loaded.ok_value
            log.warning(
                "loading records for takeover failed",
                attempt=attempt,
                failure=str(loaded.err_value),
            )
            await sleep(self._reactor, LOAD_RETRY_INTERVAL_MS)
        if not self.is_closed:
            await self._ownership.give_up("the records could not be loaded")
        return None

    def _give_up_loading(self) -> None:
        if not self.is_loaded and not self.is_closed:
            run_in_background(self._ownership.give_up("loading takes too long"))

    async def _load_registered_workers(self) -> bool:
        """Opens sessions with the workers of earlier owners, including those no longer listed.

        Returns False if the term ends before.

        A worker that is disconnected from the store loses its entry there, but its tasks continue
        until their leases expire.
        """
        registered = await self._worker_registry.load(MAX_LOAD_ATTEMPTS, lambda: self.is_closed)
        if self.is_closed:
            return False
        if registered is None:
            await self._ownership.give_up("the registered workers could not be loaded")
            return False
        for worker in self.fleet_state.sync_workers(registered):
            worker.is_listed = False
            worker.is_registered = True
            self._ensure_session(worker)
        return True

    async def _update_workers(self, listed: list[ListedWorker]) -> None:
        fresh = self.fleet_state.sync_workers(listed, self._clock.now_ms)
        for worker in fresh:
            self._ensure_session(worker)
        any_departed = self._remove_departed_workers()
        if fresh or any_departed:
            # No task is started on a worker until it is registered, since a successor would not
            # know of it.
            is_saved = await self._worker_registry.save(
                [each.listed for each in self.fleet_state.workers.values()], lambda: self.is_closed
            )
            for worker in fresh if is_saved else ():
                worker.is_registered = True

    def _remove_departed_workers(self) -> bool:
        now_ms = self._clock.now_ms
        departed = [
            worker
            for worker in self.fleet_state.workers.values()
            if not worker.is_listed
            and not worker.placements
            and self._sessions[worker.name].leases_end_ms <= now_ms
        ]
        for worker in departed:
            log.info("worker removed", worker=worker.name)
            self._sessions.pop(worker.name).close()
            del self.fleet_state.workers[worker.name]
        return bool(departed)

    def _earlier_leases_end_ms(self) -> int:
        return (
            self._elected_ms
            + STORE_OUTAGE_GRACE_MS
            + int(self._longest_lease_ms * MAX_CLOCK_DRIFT_FACTOR)
        )
