"""Sends start and stop commands to the workers until the outcome of each command is known."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY
from jujubehall.core.fleet.suitability import find_start_obstacle
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.metrics import GROUP_STOPS
from jujubehall.metrics import RUN_STARTS
from jujubehall.platform.site_store import RefusalReason
from jujubehall.platform.site_store import StartCommand
from jujubehall.platform.site_store import StartRefusal
from jujubehall.services.async_utils import first_result
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.command_slots import CommandRank
from jujubehall.services.fleet.command_slots import CommandSlots

if TYPE_CHECKING:
    from result import Result

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.decisions import ReserveCapacity
    from jujubehall.core.fleet.decisions import StopGroup
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.reconciliation import OrphanedRun
    from jujubehall.core.fleet.reports import TaskId
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.services.fleet.command_slots import CommandSlot
    from jujubehall.services.fleet.site_owner import SiteOwner

STOP_RETRY_INTERVAL_MS = 300
UNHEALTHY_BACKOFF_MS = 1_500
"""How long no task is started on a worker that has refused a start as unhealthy."""

NO_ANSWER_BACKOFF_MS = 2_000
"""How long no task is started on a worker after a start that failed or got no answer."""

START_CHECK_TIMEOUT_MS = 300
"""How long a worker that has not answered a start may take to report whether the run is there. The
other tasks of a gang wait for it meanwhile, and urgent groups have to start within 2.7 s."""

REFUSAL_BACKOFF_MS = 300
"""How long no task is started on a worker that has refused a start for any other reason."""

MALFORMED_RETRY_DELAY_MS = 2_000
"""Delay before a group is placed again after a worker has rejected its start as malformed. Every
worker may reject it, so the retries are slow; the fault may also lie with that one worker."""

log = structlog.get_logger()


class WorkerCommands:
    """Starts and stops runs. A start is sent once; a stop is repeated until it is answered."""

    def __init__(self, owner: SiteOwner, reactor: Reactor, clock: Clock) -> None:
        self._owner = owner
        self._reactor = reactor
        self._clock = clock
        self._stops_in_flight: set[Placement] = set()
        self._slots = CommandSlots(reactor, clock)

    def note_round(self, duration_ms: int) -> None:
        """Records that a scheduling round has taken ``duration_ms`` up to now."""
        self._slots.note_blocked(duration_ms)

    def log_stop(self, decision: StopGroup) -> None:
        """Logs and counts a decision to stop a group."""
        group = decision.group
        GROUP_STOPS.inc({"reason": decision.reason.value})
        log.info(
            "group stops",
            job=group.job.id,
            group=group.key,
            run=group.run,
            reason=decision.reason.value,
            by=decision.preempting_job,
            lost_core_s=decision.lost_core_s,
            workers=[each.worker.name for each in group.placements.values()],
        )

    def log_wait(self, decision: ReserveCapacity) -> None:
        """Logs that a group waits for running tasks to end by themselves."""
        group = decision.group
        log.info(
            "group waits",
            job=group.job.id,
            group=group.key,
            expected_wait_ms=decision.wait_ms,
            waited_ms=self._clock.now_ms - (group.ready_since_ms or 0),
            workers=sorted({each.name for each in decision.workers.values()}),
        )

    def send_starts(self, group: TaskGroup, run: int) -> None:
        """Starts a run whose placement has been stored, unless it has been abandoned since."""
        placements = list(group.placements.values())
        if not placements or any(each.run != run for each in placements):
            return
        if not all(each.phase is Phase.STARTING for each in placements):
            self.discard_starts(group, run)
            return
        refusals = {each.worker.name: self._start_refusal(group, each) for each in placements}
        if any(refusals.values()):
            log.info(
                "group not started",
                job=group.job.id,
                group=group.key,
                run=run,
                reasons={name: reason for name, reason in refusals.items() if reason is not None},
            )
            self.discard_starts(group, run)
            return
        log.info(
            "group starts",
            job=group.job.id,
            group=group.key,
            run=run,
            workers=[each.worker.name for each in placements],
            waited_ms=self._clock.now_ms - (group.ready_since_ms or 0),
        )
        for index, placement in list(group.placements.items()):
            run_in_background(self._start(group, index, placement))

    def discard_starts(self, group: TaskGroup, run: int) -> None:
        """Discards a run whose starts have not been sent; a later run of the group is kept."""
        for index, placement in list(group.placements.items()):
            if placement.run == run:
                group.remove_placement(index)
        self._owner.schedule_round()

    def send_stops(self) -> None:
        """Sends stops for all groups that are marked to be stopped in the scheduling state."""
        stopping_groups, self._owner.fleet_state.groups_to_stop = (
            self._owner.fleet_state.groups_to_stop,
            set(),
        )
        for group in stopping_groups:
            self._stop_group(group)

    def _stop_group(self, group: TaskGroup) -> None:
        for index, placement in list(group.placements.items()):
            if placement.phase is Phase.STOPPING and placement not in self._stops_in_flight:
                self._stops_in_flight.add(placement)
                run_in_background(self._stop(group, index, placement))

    async def stop_orphaned_run(self, worker: FleetWorker, orphaned_run: OrphanedRun) -> None:
        """Stops a run that the owner's scheduling state does not assign to this worker.

        The stop is not repeated: if it fails, a later report lists the run again.
        """
        log.warning(
            "stopping orphaned run",
            job=orphaned_run.task.job,
            run=orphaned_run.run,
            worker=worker.name,
            reason=orphaned_run.reason,
        )
        await self._send_stop(worker, orphaned_run.task, orphaned_run.run)

    async def _send_stop(
        self, worker: FleetWorker, task: TaskId, run: int
    ) -> Result[None, Failure]:
        slot = await self._slots.acquire(worker.name, CommandRank.STOP)
        if not self._owner.may_act:
            slot.release(is_answered=False)
            return Err(Failure(FailureKind.NOT_SENT, "stop", worker.name, "may not act now"))
        slot.note_sent()
        try:
            stopped = await self._owner.workers_api.stop(
                worker.listed, self._owner.token, task, run
            )
        except Exception as error:
            self._log_unexpected_error("stop", worker, error)
            stopped = Err(Failure(FailureKind.NO_ANSWER, "stop", worker.name, repr(error)))
        slot.release(is_answered=not isinstance(stopped, Err))
        return stopped

    def _log_unexpected_error(self, step: str, worker: FleetWorker, error: Exception) -> None:
        log.error(f"{step} failed unexpectedly", worker=worker.name, error=repr(error))

    async def _start(self, group: TaskGroup, index: int, placement: Placement) -> None:
        is_urgent = group.job.priority == HIGHEST_PRIORITY
        rank = CommandRank.URGENT_START if is_urgent else CommandRank.START
        gang = (group, placement.run) if group.request.is_gang else None
        slot = await self._slots.acquire(placement.worker.name, rank, gang)
        is_answered = False
        try:
            if group.placements.get(index) is placement and placement.phase is Phase.STARTING:
                is_answered = await self._send_start(group, index, placement, slot)
        except Exception as error:
            # The run may have started, so it is stopped together with the rest of its group.
            self._log_unexpected_error("start", placement.worker, error)
            self._owner.fleet_state.mark_stopping(group)
            self.send_stops()
        slot.release(is_answered=is_answered)

    async def _send_start(
        self, group: TaskGroup, index: int, placement: Placement, slot: CommandSlot
    ) -> bool:
        """Sends a start and handles its outcome; returns whether the worker has answered."""
        worker = placement.worker
        if not worker.is_reachable:
            self._abandon_start(group, index, placement, "the worker is unreachable")
            return False
        if not self._owner.may_act:
            self._abandon_start(group, index, placement, "this host may not act as the owner")
            return False
        if worker.is_overcommitted:
            # The start may have waited for others, and the capacity may have shrunk meanwhile.
            self._abandon_start(group, index, placement, "the worker has too little capacity now")
            return False
        refusal = self._start_refusal(group, placement)
        if refusal is not None:
            self._abandon_start(group, index, placement, refusal)
            return False
        session = self._owner.session(worker)
        until_ms = session.lease_until_ms() if session is not None else None
        if until_ms is None:
            self._abandon_start(group, index, placement, "the worker's clock offset is not known")
            return False
        assert session is not None
        session.note_lease_sent()
        command = StartCommand(
            group.task_id(index),
            placement.run,
            group.job.accepted.request.spec,
            until_ms,
            group.checkpoint,
            self._find_ticket(group, worker),
        )
        sent_ms = self._clock.now_ms
        slot.note_sent()
        placement.sent_ms = sent_ms
        outcome = await self._owner.workers_api.start(worker.listed, self._owner.token, command)
        is_answered = not (isinstance(outcome, Err) and isinstance(outcome.err_value, Failure))
        if is_answered:
            worker.note_answer(self._clock.now_ms)
        if group.placements.get(index) is not placement:
            return is_answered
        if not isinstance(outcome, Err):
            placement.confirm(self._clock.now_ms)
            self._owner.start_latencies.observe(self._clock.now_ms - sent_ms)
            self._observe_gang_start(group)
            RUN_STARTS.inc({"result": "ok"})
            session.wake()
        elif isinstance(outcome.err_value, StartRefusal):
            self._handle_refusal(group, index, placement, outcome.err_value)
        else:
            await self._handle_start_failure(group, index, placement, outcome.err_value)
        return is_answered

    def _start_refusal(self, group: TaskGroup, placement: Placement) -> str | None:
        """Returns why the start must not be sent although the worker was chosen, or None."""
        obstacle = find_start_obstacle(group, placement.worker)
        if obstacle is not None:
            return obstacle.value
        evacuations = self._owner.zone_evacuations
        return None if evacuations is None else evacuations.refusal(group, placement)

    def _observe_gang_start(self, group: TaskGroup) -> None:
        first_ms = group.first_running_ms
        if group.request.is_gang and group.is_complete and first_ms is not None:
            self._owner.gang_start_latencies.observe(self._clock.now_ms - first_ms)

    def _find_ticket(self, group: TaskGroup, worker: FleetWorker) -> str:
        queue = group.job.queue
        if queue is None or not queue.asks_for_advice:
            return ""
        tickets = group.job.tickets(group.occurrence, group.step)
        return tickets.find(worker.name, worker.incarnation, self._clock.now_ms) or ""

    def _handle_refusal(
        self, group: TaskGroup, index: int, placement: Placement, refusal: StartRefusal
    ) -> None:
        worker = placement.worker
        RUN_STARTS.inc({"result": refusal.reason.value})
        if refusal.reason is RefusalReason.MALFORMED:
            group.not_before_ms = self._clock.now_ms + MALFORMED_RETRY_DELAY_MS
        if refusal.reason is RefusalReason.INVALID_TICKET:
            group.job.tickets(group.occurrence, group.step).remove(worker.name)
        if refusal.reason is RefusalReason.FENCED:
            self._owner.yield_to_later_owner()
        is_unhealthy = refusal.reason is RefusalReason.UNHEALTHY
        backoff_ms = UNHEALTHY_BACKOFF_MS if is_unhealthy else REFUSAL_BACKOFF_MS
        if refusal.reason is not RefusalReason.SUPERSEDED_RUN:
            worker.backoff_until_ms = self._clock.now_ms + backoff_ms
        self._abandon_start(group, index, placement, refusal.reason.value)

    async def _handle_start_failure(
        self, group: TaskGroup, index: int, placement: Placement, failure: Failure
    ) -> None:
        RUN_STARTS.inc({"result": failure.kind.value})
        worker = placement.worker
        worker.backoff_until_ms = self._clock.now_ms + NO_ANSWER_BACKOFF_MS
        if failure.kind is not FailureKind.NO_ANSWER:
            worker.is_reachable = False
            self._wake_session(worker)
            self._abandon_start(group, index, placement, str(failure))
            return
        has_started = await self._has_started(group.task_id(index), placement)
        if group.placements.get(index) is not placement:
            return
        log.warning(
            "start not answered",
            job=group.job.id,
            task=str(group.task_id(index)[1:]),
            run=placement.run,
            worker=worker.name,
            failure=str(failure),
            has_started=has_started,
        )
        if has_started:
            return
        worker.is_reachable = False
        self._wake_session(worker)
        self._owner.fleet_state.mark_stopping(group)
        self.send_stops()

    async def _has_started(self, task: TaskId, placement: Placement) -> bool:
        """Asks the worker whether a run has started although its start was not answered.

        If only the answer was lost, the group can go on. A run that isn't there may still start.
        """
        requested_ms = self._clock.now_ms
        if not self._owner.may_act:
            return False
        asked = self._owner.workers_api.poll(
            placement.worker.listed, self._owner.token, confirmed_ends=0, until_ms=None, wait_ms=0
        )
        report = await first_result(
            run_in_background(asked), sleep(self._reactor, START_CHECK_TIMEOUT_MS)
        )
        if report is None or isinstance(report, Err):
            return False
        if not any(
            (each.task, each.run) == (task, placement.run) for each in report.ok_value.running
        ):
            return False
        placement.confirm(requested_ms)
        self._wake_session(placement.worker)
        return True

    def _wake_session(self, worker: FleetWorker) -> None:
        session = self._owner.session(worker)
        if session is not None:
            session.wake()

    def _abandon_start(
        self, group: TaskGroup, index: int, placement: Placement, reason: str
    ) -> None:
        log.warning(
            "start refused",
            job=group.job.id,
            task=str(group.task_id(index)[1:]),
            run=placement.run,
            worker=placement.worker.name,
            reason=reason,
        )
        group.remove_placement(index)
        self._owner.fleet_state.mark_stopping(group)
        self.send_stops()
        self._owner.schedule_round()

    async def _stop(self, group: TaskGroup, index: int, placement: Placement) -> None:
        worker = placement.worker
        task = group.task_id(index)
        while group.placements.get(index) is placement and not self._owner.is_closed:
            if self._owner.may_act:
                stopped = await self._send_stop(worker, task, placement.run)
                if not isinstance(stopped, Err):
                    placement.stop_confirmed_ms = self._clock.now_ms
                    self._wake_session(worker)
                    break
                log.warning("stop not answered", worker=worker.name, failure=str(stopped.err_value))
            await sleep(self._reactor, STOP_RETRY_INTERVAL_MS)
        self._stops_in_flight.discard(placement)
