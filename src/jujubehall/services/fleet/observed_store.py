"""Counts and times the calls to the store, and notices when it is lost and regained."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import structlog

from result import Err
from result import Ok

from jujubehall.errors import FailureKind
from jujubehall.metrics import PLATFORM_CALLS
from jujubehall.metrics import result_label
from jujubehall.services.fleet.latencies import Latencies
from jujubehall.services.timing import first_of
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

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

FRESH_MS = 300
"""An answer this recent shows that the store can be reached; the owner gets one twice a second."""

PROBE_TIMEOUT_MS = 400
"""A store that is slow by a factor of 60 answers in 250 ms."""

UNANSWERED_MEMORY_MS = 1_000
"""No second probe is sent within this time: as long as a call to the store may take."""

FAILURES_UNTIL_LOST = 2
"""A single failure is often one broken connection."""

Value = TypeVar("Value")

_ANSWERED = (FailureKind.CONFLICT, FailureKind.NOT_FOUND, FailureKind.INVALID)

log = structlog.get_logger()


class ObservedStore:
    """Implements ``SiteStore`` over another one."""

    def __init__(self, reactor: Reactor, store: SiteStore, clock: Clock) -> None:
        self._reactor = reactor
        self._store = store
        self._clock = clock
        self._failures = 0
        self._lost_ms: int | None = None
        self._answered_ms: int | None = None
        self._unanswered_ms: int | None = None
        """When a probe got no answer; None once anything has been answered."""

        self.commits = Latencies()

    @property
    def is_lost(self) -> bool:
        """Whether the last calls have failed."""
        return self._lost_ms is not None

    async def can_be_reached(self, key: str) -> bool:
        """Whether the store answers now; reads ``key`` unless it has answered just before.

        A read without an answer leaves nothing behind, a write would have to be left open.
        """
        if self.is_lost:
            return False
        if self._answered_ms is not None and self._clock.now_ms - self._answered_ms < FRESH_MS:
            return True
        if self._unanswered_ms is not None and (
            self._clock.now_ms - self._unanswered_ms < UNANSWERED_MEMORY_MS
        ):
            return False
        found = start(self.get(key)).addCallback(lambda answer: isinstance(answer, Ok))
        silence = sleep(self._reactor, PROBE_TIMEOUT_MS).addCallback(lambda _: False)
        if not await first_of(found, silence):
            self._unanswered_ms = self._clock.now_ms
            log.info("store does not answer", waited_ms=PROBE_TIMEOUT_MS)
            return False
        return True

    async def get(self, key: str) -> Result[StoredItem | None, Failure]:
        """Reads a key; None if it is absent."""
        return await self._observe("get", self._store.get(key))

    async def list_items(self, prefix: str) -> Result[StoredItems, Failure]:
        """Reads all keys under ``prefix``."""
        return await self._observe("list", self._store.list_items(prefix))

    async def watch(
        self, prefix: str, after: Revision, wait_ms: int
    ) -> Result[StoredItems, Failure]:
        """Waits for changes."""
        return await self._observe("watch", self._store.watch(prefix, after, wait_ms))

    async def commit(
        self,
        preconditions: list[Precondition],
        writes: list[Write],
        deletes: list[str],
        timeout_ms: int,
    ) -> Result[Revision | Conflict, Failure]:
        """Does all or nothing."""
        began_ms = self._clock.now_ms
        committed = await self._observe(
            "commit", self._store.commit(preconditions, writes, deletes, timeout_ms)
        )
        self.commits.observe(self._clock.now_ms - began_ms)
        return committed

    async def grant_lease(self, ttl_ms: int) -> Result[LeaseId, Failure]:
        """Asks for a lease."""
        return await self._observe("grant lease", self._store.grant_lease(ttl_ms))

    async def renew_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Extends a lease."""
        return await self._observe("renew lease", self._store.renew_lease(lease))

    async def end_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Ends a lease and deletes its keys."""
        return await self._observe("end lease", self._store.end_lease(lease))

    async def _observe(
        self, kind: str, call: Awaitable[Result[Value, Failure]]
    ) -> Result[Value, Failure]:
        result = await call
        PLATFORM_CALLS.inc({"kind": kind, "result": result_label(result)})
        if isinstance(result, Err) and result.err_value.kind not in _ANSWERED:
            self._note_failure(str(result.err_value))
        else:
            self._note_answer()
        return result

    def _note_failure(self, detail: str) -> None:
        self._failures += 1
        if self._failures >= FAILURES_UNTIL_LOST and self._lost_ms is None:
            self._lost_ms = self._clock.now_ms
            log.warning("store lost", failures=self._failures, failure=detail)

    def _note_answer(self) -> None:
        self._failures = 0
        self._answered_ms = self._clock.now_ms
        self._unanswered_ms = None
        if self._lost_ms is not None:
            log.info("store regained", after_ms=self._clock.now_ms - self._lost_ms)
            self._lost_ms = None
