"""Instruments the calls to the store and detects when it becomes unavailable and recovers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import structlog

from result import Err
from result import Ok

from jujubehall.errors import FailureKind
from jujubehall.metrics import PLATFORM_CALLS
from jujubehall.metrics import result_label
from jujubehall.platform.site_store import CALL_TIMEOUT_MS
from jujubehall.services.async_utils import first_result
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.latencies import LatencyHistogram

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from result import Result

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.errors import Failure
    from jujubehall.platform.site_store import Conflict
    from jujubehall.platform.site_store import LeaseId
    from jujubehall.platform.site_store import Precondition
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import StoredItem
    from jujubehall.platform.site_store import StoredItems
    from jujubehall.platform.site_store import Write

ANSWER_FRESHNESS_MS = 300
"""An answer within this time shows that the store is reachable. The owner gets one every 500 ms."""

PROBE_TIMEOUT_MS = 400
"""Leaves room for a store that is 60 times slower than usual, which answers in 250 ms."""

PROBE_COOLDOWN_MS = 1_000
"""Minimum time from an unanswered probe to the next one: the maximum duration of a store call."""

FAILURES_UNTIL_LOST = 2
"""Consecutive failed calls after which the store counts as lost. A single failure is often just one
broken connection."""

WATCH = "watch"

Value = TypeVar("Value")

_ANSWERED_FAILURES = (FailureKind.CONFLICT, FailureKind.NOT_FOUND, FailureKind.INVALID)

log = structlog.get_logger()


class InstrumentedStore:
    """A ``SiteStore`` that forwards calls to another one and records their outcome and duration."""

    def __init__(self, reactor: Reactor, store: SiteStore, clock: Clock) -> None:
        self._reactor = reactor
        self._store = store
        self._clock = clock
        self._consecutive_failures = 0
        self._lost_since_ms: int | None = None
        self._last_answer_ms: int | None = None
        self._failed_probe_ms: int | None = None
        """Time of the last unanswered probe; None once any call has been answered."""

        self.commit_latencies = LatencyHistogram()

    @property
    def is_lost(self) -> bool:
        """Whether the latest calls, at least ``FAILURES_UNTIL_LOST`` in a row, have failed."""
        return self._lost_since_ms is not None

    async def check_reachable(self, key: str) -> bool:
        """Returns whether the store answers now; reads ``key`` unless it has answered recently.

        The store is probed by a read because an unanswered read has no effect, whereas an
        unanswered write may still take effect later.
        """
        if self.is_lost:
            return False
        if (
            self._last_answer_ms is not None
            and self._clock.now_ms - self._last_answer_ms < ANSWER_FRESHNESS_MS
        ):
            return True
        if self._failed_probe_ms is not None and (
            self._clock.now_ms - self._failed_probe_ms < PROBE_COOLDOWN_MS
        ):
            return False
        answered = run_in_background(self.get(key)).addCallback(
            lambda answer: isinstance(answer, Ok)
        )
        timeout = sleep(self._reactor, PROBE_TIMEOUT_MS).addCallback(lambda _: False)
        if not await first_result(answered, timeout):
            self._failed_probe_ms = self._clock.now_ms
            log.info("store does not answer", waited_ms=PROBE_TIMEOUT_MS)
            return False
        return True

    async def get(self, key: str) -> Result[StoredItem | None, Failure]:
        """Reads a key; None if it is absent."""
        return await self._record_call("get", self._store.get(key))

    async def list_items(self, prefix: str) -> Result[StoredItems, Failure]:
        """Reads all keys under ``prefix``."""
        return await self._record_call("list", self._store.list_items(prefix))

    async def watch(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
        answer_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[StoredItems, Failure]:
        """Waits up to ``wait_ms`` for changes under ``prefix`` later than revision ``after``."""
        return await self._record_call(
            WATCH, self._store.watch(prefix, after, wait_ms, answer_timeout_ms)
        )

    async def commit(
        self,
        preconditions: list[Precondition],
        writes: list[Write],
        deletes: list[str],
        timeout_ms: int,
    ) -> Result[Revision | Conflict, Failure]:
        """Applies all writes and deletes atomically if all preconditions hold."""
        started_ms = self._clock.now_ms
        committed = await self._record_call(
            "commit", self._store.commit(preconditions, writes, deletes, timeout_ms)
        )
        self.commit_latencies.observe(self._clock.now_ms - started_ms)
        return committed

    async def grant_lease(self, ttl_ms: int) -> Result[LeaseId, Failure]:
        """Requests a lease of ``ttl_ms`` milliseconds."""
        return await self._record_call("grant lease", self._store.grant_lease(ttl_ms))

    async def renew_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Renews a lease."""
        return await self._record_call("renew lease", self._store.renew_lease(lease))

    async def end_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Revokes a lease and deletes its keys."""
        return await self._record_call("end lease", self._store.end_lease(lease))

    async def _record_call(
        self, kind: str, call: Awaitable[Result[Value, Failure]]
    ) -> Result[Value, Failure]:
        result = await call
        PLATFORM_CALLS.inc({"kind": kind, "result": result_label(result)})
        if not isinstance(result, Err) or result.err_value.kind in _ANSWERED_FAILURES:
            self._note_answer()
        elif kind != WATCH or result.err_value.kind is not FailureKind.NO_ANSWER:
            # Watches are cut, or stay without an answer, while the store answers all other calls.
            self._note_failure(str(result.err_value))
        return result

    def _note_failure(self, detail: str) -> None:
        self._consecutive_failures += 1
        if self._consecutive_failures >= FAILURES_UNTIL_LOST and self._lost_since_ms is None:
            self._lost_since_ms = self._clock.now_ms
            log.warning("store lost", failures=self._consecutive_failures, failure=detail)

    def _note_answer(self) -> None:
        self._consecutive_failures = 0
        self._last_answer_ms = self._clock.now_ms
        self._failed_probe_ms = None
        if self._lost_since_ms is not None:
            log.info("store regained", after_ms=self._clock.now_ms - self._lost_since_ms)
            self._lost_since_ms = None
