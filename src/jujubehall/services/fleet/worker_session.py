"""The owner's session with one worker.

Extends the worker's leases, applies its reports and confirms the ends of runs that are stored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err
from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from jujubehall.core.fleet.crash_history import STARTUP_MS
from jujubehall.core.fleet.reconciliation import Reconciliation
from jujubehall.core.fleet.reports import EndKind
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.metrics import RUN_ENDS
from jujubehall.services.async_utils import first_result
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import run_loop
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.overlapping_requests import OverlappingRequests

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.reports import EndedTask
    from jujubehall.core.fleet.reports import WorkerReport
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.services.fleet.site_owner import SiteOwner

REPORT_WAIT_MS = 2_000
"""How long a worker may delay a report that contains no changes: the platform's limit."""

MAX_CLOCK_DRIFT_FACTOR = 1.02
"""Workers' clocks may run 2 % slow, so that their leases last longer by this factor."""

LEASE_EXPIRY_MARGIN_MS = 150
SAME_INCARNATION_GAP_MS = 150
"""Within this time after a report the worker counts as the same incarnation. After a longer time it
may have crashed and restarted, and a restarted worker numbers its ends of runs from 1 again. So a
report that identifies the incarnation is requested before any end is confirmed."""

REPORT_RETRY_INTERVAL_MS = 300
OVERLAP_WINDOW_MS = 1_800
"""Time before the leases of a silent worker end from which requests overlap. A request without an
answer, with the pause after it, takes 1.2 s; others have to follow it in time."""

PROGRESS_FLUSH_TIMEOUT_MS = 1_500
"""How long the session waits for the ends in a report to be stored before it extends the leases
again."""

log = structlog.get_logger()


class WorkerSession:
    """Requests reports of one worker in a loop and tracks the worker's clock and leases."""

    def __init__(
        self,
        owner: SiteOwner,
        reactor: Reactor,
        clock: Clock,
        worker: FleetWorker,
        longest_lease_ms: int,
    ) -> None:
        self._owner = owner
        self._reactor = reactor
        self._clock = clock
        self._worker = worker
        self._longest_lease_ms = longest_lease_ms
        self._clock_offset_ms: int | None = None
        self._confirmed_ends = 0
        """Ends up to this number of ``_confirmed_incarnation`` are stored and may be confirmed."""

        self._confirmed_incarnation = 0
        self._is_closed = False
        self._wake_signal: Deferred[None] | None = None
        self._has_pending_ends = False
        """Whether the last report listed ends of runs that were not confirmed yet."""

        self._is_confirming = False
        """Whether the present request follows the last report at once, to confirm stored ends."""

        self._consecutive_failures = 0
        self._extended_ms: int | None = None
        """When the last extension of the leases that the worker has answered was sent."""

        self._last_report_ms = -SAME_INCARNATION_GAP_MS
        self.leases_end_ms = 0
        """The time by which all runs on the worker have ended if no lease is extended again."""

    @property
    def worker(self) -> FleetWorker:
        """The worker of this session."""
        return self._worker

    def close(self) -> None:
        """Ends the session."""
        self._is_closed = True
        self.wake()

    def wake(self) -> None:
        """Makes an idle session request a report."""
        if self._wake_signal is not None:
            signal, self._wake_signal = self._wake_signal, None
            signal.callback(None)

    def lease_until_ms(self) -> int | None:
        """Returns the end of a lease of the longest allowed duration, on the worker's clock.

        Returns None while the offset of that clock is not known.
        """
        if self._clock_offset_ms is None:
            return None
        return self._clock.now_ms + self._clock_offset_ms + self._longest_lease_ms

    def note_lease_sent(self) -> None:
        """Records that a command or poll that extends the worker's leases is being sent."""
        max_lease_ms = int(self._longest_lease_ms * MAX_CLOCK_DRIFT_FACTOR) + LEASE_EXPIRY_MARGIN_MS
        self.leases_end_ms = max(self.leases_end_ms, self._clock.now_ms + max_lease_ms)

    async def run(self) -> None:
        """Requests reports while the worker has runs or unconfirmed ends.

        Waits for ``wake`` otherwise.
        """
        await run_loop(self._reactor, "worker session", self._step, lambda: self._is_closed)

    async def _step(self) -> None:
        if self._is_idle():
            self._wake_signal = Deferred()
            await self._wake_signal
        else:
            await self._request_report()

    def _is_idle(self) -> bool:
        return (
            self._worker.has_reported
            and self._worker.is_reachable
            and not (
                self._worker.placements
                or self._worker.untracked_usage.accelerators
                or self._has_pending_ends
            )
        )

    async def _request_report(self) -> None:
        if not self._owner.may_act:
            await sleep(self._reactor, REPORT_RETRY_INTERVAL_MS)
            return
        requested_ms = self._clock.now_ms
        if self._must_overlap(requested_ms):
            await self._request_overlapping_reports()
            return
        until_ms = self.lease_until_ms() if self._consecutive_failures == 0 else None
        wait_ms = REPORT_WAIT_MS if until_ms is not None and not self._has_pending_ends else 0
        if self._worker.hosts_suspect_start(requested_ms):
            wait_ms = min(wait_ms, STARTUP_MS)
        if until_ms is not None:
            self.note_lease_sent()
        is_recent = requested_ms - self._last_report_ms < SAME_INCARNATION_GAP_MS
        reported = await self._owner.workers_api.poll(
            self._worker.listed,
            self._owner.token,
            self._confirmed_ends if is_recent else 0,
            until_ms,
            wait_ms if is_recent else 0,
        )
        if self._is_closed:
            return
        if isinstance(reported, Err):
            await self._note_failure(reported.err_value)
            return
        if until_ms is not None:
            self._extended_ms = requested_ms
        await self._apply_report(reported.ok_value, requested_ms)

    def _must_overlap(self, now_ms: int) -> bool:
        """Returns whether the worker is silent and the leases of its runs end soon."""
        if not (self._consecutive_failures and self._worker.placements):
            return False
        if self._extended_ms is None:
            return False
        earliest_end_ms = self._extended_ms + int(self._longest_lease_ms / MAX_CLOCK_DRIFT_FACTOR)
        return earliest_end_ms - OVERLAP_WINDOW_MS <= now_ms < self._answered_leases_end_ms

    @property
    def _answered_leases_end_ms(self) -> int:
        """The latest end of the leases that the worker has answered to have extended."""
        max_lease_ms = int(self._longest_lease_ms * MAX_CLOCK_DRIFT_FACTOR)
        return (self._extended_ms or 0) + max_lease_ms

    async def _request_overlapping_reports(self) -> None:
        requests = OverlappingRequests(
            self._reactor, self._clock, self._owner.request_limit, self._look
        )
        answer = await requests.first_answer(self._answered_leases_end_ms)
        if self._is_closed:
            return
        if isinstance(answer.reported, Err):
            await self._note_failure(answer.reported.err_value)
            return
        await self._apply_report(answer.reported.ok_value, answer.requested_ms)

    async def _look(self) -> Result[WorkerReport, Failure]:
        """Requests a report without any effect on the worker."""
        if self._is_closed or not self._owner.may_act:
            return Err(Failure(FailureKind.NOT_SENT, "report", self._worker.name, "may not act"))
        return await self._owner.workers_api.poll(
            self._worker.listed, self._owner.token, confirmed_ends=0, until_ms=None, wait_ms=0
        )

    async def _note_failure(self, failure: Failure) -> None:
        self._consecutive_failures += 1
        if failure.kind is FailureKind.CONFLICT:
            self._owner.yield_to_later_owner()
        if self._worker.is_reachable:
            log.warning("worker unreachable", worker=self._worker.name, failure=str(failure))
        if failure.is_connection_lost:
            self._owner.fleet_state.note_disconnected(self._worker, self._clock.now_ms)
        self._worker.is_reachable = False
        # The worker may have restarted since, and a restarted worker numbers its ends from 1 again.
        self._confirmed_ends = 0
        self._clock_offset_ms = None
        self._owner.expire_leases(self)
        await sleep(self._reactor, REPORT_RETRY_INTERVAL_MS)

    async def _apply_report(self, report: WorkerReport, requested_ms: int) -> None:
        now_ms = self._clock.now_ms
        self._consecutive_failures = 0
        self._last_report_ms = now_ms
        is_new_incarnation = report.incarnation != self._confirmed_incarnation
        if is_new_incarnation:
            self._confirmed_incarnation = report.incarnation
            self._confirmed_ends = 0
        self._clock_offset_ms = report.clock_ms - now_ms
        if not self._worker.is_reachable:
            log.info("worker reachable", worker=self._worker.name, running=len(report.running))
        self._worker.is_reachable = True
        was_degraded = self._worker.is_degraded(now_ms)
        result = Reconciliation(
            self._owner.fleet_state, self._worker, report, requested_ms, now_ms
        ).apply()
        self._worker.note_answer(now_ms)
        if is_new_incarnation:
            self._worker.up_since_ms = now_ms - self._owner.elapsed_since(report.incarnation)
        if result.lost is not None:
            self._owner.note_lost_worker(result.lost)
        if self._worker.is_degraded(now_ms) != was_degraded:
            log.info(
                "worker health changed",
                worker=self._worker.name,
                slowness=round(self._worker.slowness(now_ms), 1),
                standing=self._worker.is_stalled(now_ms),
                running=len(report.running),
            )
        for superseded in result.superseded:
            log.warning(
                "run of an earlier incarnation removed",
                job=superseded.task.job,
                task=str(superseded.task[1:]),
                run=superseded.run,
                worker=self._worker.name,
                run_incarnation=superseded.incarnation,
                reported_incarnation=report.incarnation,
                listed_incarnation=self._worker.listed.incarnation,
            )
        for orphaned_run in result.orphaned_runs:
            run_in_background(
                self._owner.worker_commands.stop_orphaned_run(self._worker, orphaned_run)
            )
        for ended in result.ends:
            RUN_ENDS.inc({"how": ended.kind.value})
            if ended.kind is EndKind.GANG_INCOMPLETE:
                self._log_incomplete_gang(ended, now_ms)
            log.info(
                "run ended",
                job=ended.task.job,
                task=str(ended.task[1:]),
                run=ended.run,
                how=ended.kind.value,
                worker=self._worker.name,
            )
        self._owner.handle_report()
        await self._await_storage(report)

    def _log_incomplete_gang(self, ended: EndedTask, now_ms: int) -> None:
        group = self._owner.fleet_state.find_group(ended.task, now_ms)
        if group is None:
            return
        log.warning(
            "gang incomplete",
            job=group.job.id,
            group=group.key,
            run=ended.run,
            worker=self._worker.name,
            tasks=len(group.indexes),
            placed={
                str(index): f"{each.worker.name} {each.phase.value}"
                for index, each in sorted(group.placements.items())
            },
            first_running_ms_ago=now_ms - (group.first_running_ms or now_ms),
            term_began_ms_ago=self._owner.age_ms,
        )

    async def _await_storage(self, report: WorkerReport) -> None:
        """Waits until the ends in a report are stored, unless some can be confirmed already."""
        was_confirming, self._is_confirming = self._is_confirming, False
        self._has_pending_ends = bool(report.ended)
        if not report.ended:
            return
        numbers = [ended.number for ended in report.ended]
        has_stored_ends = min(numbers) <= self._confirmed_ends
        stored = self._store_ends(report)
        if not has_stored_ends:
            await first_result(stored, sleep(self._reactor, PROGRESS_FLUSH_TIMEOUT_MS))
            if stored.called and self._confirmed_ends < min(numbers):
                # The store refuses the progress of the first of them.
                await sleep(self._reactor, REPORT_RETRY_INTERVAL_MS)
        elif was_confirming:
            # The confirmation had no effect, so another one at once is unlikely to.
            await sleep(self._reactor, REPORT_RETRY_INTERVAL_MS)
        else:
            # Any wait could exceed SAME_INCARNATION_GAP_MS; the request would confirm nothing.
            self._is_confirming = True

    def _store_ends(self, report: WorkerReport) -> Deferred[None]:
        """Returns a deferred that fires once the ends in a report have been stored."""
        if max(ended.number for ended in report.ended) <= self._confirmed_ends:
            return succeed(None)
        stored = self._owner.writer.flushed()
        return stored.addCallback(lambda _: self._confirm_ends(report))

    def _confirm_ends(self, report: WorkerReport) -> None:
        """Notes that the ends in a report may be confirmed, up to the first that isn't stored."""
        if report.incarnation != self._confirmed_incarnation:
            return
        for ended in sorted(report.ended, key=lambda each: each.number):
            if self._owner.writer.is_refused(ended.task.job):
                break
            self._confirmed_ends = max(self._confirmed_ends, ended.number)
