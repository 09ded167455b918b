"""Follows one worker: keeps its leases, takes in its reports, confirms ends that are kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err
from twisted.internet.defer import Deferred

from jujubehall.core.fleet.reconciliation import Reconciliation
from jujubehall.errors import FailureKind
from jujubehall.metrics import RUN_ENDS
from jujubehall.services.timing import first_of
from jujubehall.services.timing import repeat
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.reports import WorkerReport
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.services.fleet.site_owner import SiteOwner

WAIT_MS = 2_000
"""How long a worker holds back a report without news; the platform's limit."""

CLOCK_DRIFT = 1.02
"""Workers' clocks may run 2 % slow."""

LAPSE_MARGIN_MS = 150
SAME_LIFE_MS = 150
"""After a longer time the worker may have crashed and started anew, with ends that count from 1:
it is asked who it is before any are confirmed."""

RETRY_INTERVAL_MS = 300
KEEP_TIMEOUT_MS = 1_500
"""How long the ends of a report may stay unkept before the leases are extended again."""

log = structlog.get_logger()


class WorkerSession:
    """The loop of reports of one worker, and what is known of its clock and leases."""

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
        self._confirmed_life = 0
        self._is_closed = False
        self._woken: Deferred[None] | None = None
        self._has_pending_ends = False
        """Whether the last report listed ends that are not confirmed yet."""

        self._failures = 0
        self._reported_ms = -SAME_LIFE_MS
        self.leases_end_ms = 0
        """When everything that runs there must have ended, if no lease is extended any more."""

    @property
    def worker(self) -> FleetWorker:
        """The worker that is followed."""
        return self._worker

    def close(self) -> None:
        """Ends the loop."""
        self._is_closed = True
        self.wake()

    def wake(self) -> None:
        """Makes an idle session ask for a report."""
        if self._woken is not None:
            woken, self._woken = self._woken, None
            woken.callback(None)

    def lease_until_ms(self) -> int | None:
        """The end of a lease as long as allowed, on the worker's clock; None before a report."""
        if self._clock_offset_ms is None:
            return None
        return self._clock.now_ms + self._clock_offset_ms + self._longest_lease_ms

    def note_lease_sent(self) -> None:
        """Notes that an order extends the worker's leases from now."""
        longest_ms = int(self._longest_lease_ms * CLOCK_DRIFT) + LAPSE_MARGIN_MS
        self.leases_end_ms = max(self.leases_end_ms, self._clock.now_ms + longest_ms)

    async def run(self) -> None:
        """Asks for reports for as long as anything runs there or is to be confirmed."""
        await repeat(self._reactor, "worker session", self._step, lambda: self._is_closed)

    async def _step(self) -> None:
        if self._is_idle():
            self._woken = Deferred()
            await self._woken
        else:
            await self._ask()

    def _is_idle(self) -> bool:
        return (
            self._worker.has_reported
            and self._worker.is_in_touch
            and not (
                self._worker.placements
                or self._worker.unknown_use.accelerators
                or self._has_pending_ends
            )
        )

    async def _ask(self) -> None:
        if not self._owner.may_act:
            await sleep(self._reactor, RETRY_INTERVAL_MS)
            return
        asked_ms = self._clock.now_ms
        until_ms = self.lease_until_ms() if self._failures == 0 else None
        wait_ms = WAIT_MS if until_ms is not None and not self._has_pending_ends else 0
        if until_ms is not None:
            self.note_lease_sent()
        is_fresh = asked_ms - self._reported_ms < SAME_LIFE_MS
        reported = await self._owner.workers_api.report(
            self._worker.listed,
            self._owner.token,
            self._confirmed_ends if is_fresh else 0,
            until_ms,
            wait_ms if is_fresh else 0,
        )
        if self._is_closed:
            return
        if isinstance(reported, Err):
            await self._note_failure(reported.err_value.kind, str(reported.err_value))
            return
        await self._take_in(reported.ok_value, asked_ms)

    async def _note_failure(self, kind: FailureKind, detail: str) -> None:
        self._failures += 1
        if kind is FailureKind.CONFLICT:
            self._owner.verify_ownership()
        if self._worker.is_in_touch:
            log.warning("worker out of touch", worker=self._worker.name, failure=detail)
        self._worker.is_in_touch = False
        # After a break the worker may be in another life, whose ends count from 1 again.
        self._confirmed_ends = 0
        self._clock_offset_ms = None
        self._owner.drop_lapsed(self)
        await sleep(self._reactor, RETRY_INTERVAL_MS)

    async def _take_in(self, report: WorkerReport, asked_ms: int) -> None:
        now_ms = self._clock.now_ms
        self._failures = 0
        self._reported_ms = now_ms
        if report.life != self._confirmed_life:
            self._confirmed_life = report.life
            self._confirmed_ends = 0
        self._clock_offset_ms = report.clock_ms - now_ms
        if not self._worker.is_in_touch:
            log.info("worker in touch", worker=self._worker.name, running=len(report.running))
        self._worker.is_in_touch = True
        was_troubled = self._worker.is_troubled(now_ms)
        result = Reconciliation(self._owner.book, self._worker, report, asked_ms, now_ms).apply()
        if self._worker.is_troubled(now_ms) != was_troubled:
            log.info(
                "worker judged",
                worker=self._worker.name,
                slowness=round(self._worker.slowness(now_ms), 1),
                standing=self._worker.is_standing(now_ms),
                running=len(report.running),
            )
        for stray in result.strays:
            start(self._owner.orders.stop_stray(self._worker, stray))
        for ended in result.ends:
            RUN_ENDS.inc({"how": ended.kind.value})
            log.info(
                "run ended",
                job=ended.task.job,
                task=str(ended.task[1:]),
                run=ended.run,
                how=ended.kind.value,
                worker=self._worker.name,
            )
        self._owner.after_report()
        if report.ended:
            self._has_pending_ends = True
            highest = max(ended.number for ended in report.ended)
            kept = self._owner.writer.flushed()
            kept.addCallback(lambda _: self._confirm(report.life, highest))
            timeout = sleep(self._reactor, KEEP_TIMEOUT_MS)
            await first_of(kept, timeout)
        else:
            self._has_pending_ends = False

    def _confirm(self, life: int, number: int) -> None:
        if life == self._confirmed_life:
            self._confirmed_ends = max(self._confirmed_ends, number)
