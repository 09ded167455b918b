"""Simulated store with revisions, leases and watches, and injected faults of calls to it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import to_seconds
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import CALL_TIMEOUT_MS
from jujubehall.platform.site_store import NO_LEASE
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import LeaseId
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredItem
from jujubehall.platform.site_store import StoredItems
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.platform.site_store import Precondition
    from jujubehall.platform.site_store import Write
    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.virtual_time import VirtualTime

STEP = "call"
PEER = "store"
CALL_LATENCY_MS = 4
LATE_WRITE_DELAY_MS = (1_000, 6_000)
"""Range of the delays after which a late write takes effect."""


class StoreFaultMode(Enum):
    """Fault mode of an entry host's calls to the store."""

    NONE = "sound"
    NO_RESPONSE = "silent"
    CONNECTION_REFUSED = "refused"
    UNAVAILABLE = "busy"


class RevisionedStore:
    """The store's state, shared by all entry hosts."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self._items: dict[str, tuple[StoredItem, LeaseId]] = {}
        self._history: list[StoredItem] = []
        self._compacted_revision = 0
        self._leases: dict[LeaseId, tuple[int, float]] = {}
        """The duration in ms and the expiry time in s of each lease."""

        self._watchers: list[Deferred[None]] = []
        self.revision = 10
        self.max_value_bytes = 1024 * 1024
        """Commits with a larger value are refused for good."""

        self.refused_keys: set[str] = set()
        """Commits that write one of these keys are refused for good."""

        self.is_lease_expiry_paused = False
        """Whether leases don't expire, as while the store is stopped."""

    def get(self, key: str) -> StoredItem | None:
        """Returns the current item of a key; None if the key is absent."""
        self._expire()
        found = self._items.get(key)
        return None if found is None else found[0]

    def list_items(self, prefix: str) -> StoredItems:
        """Returns all items whose keys start with a prefix, sorted by key."""
        self._expire()
        found = [item for key, (item, _) in sorted(self._items.items()) if key.startswith(prefix)]
        return StoredItems(found, Revision(self.revision))

    def changes(self, prefix: str, after: int) -> StoredItems | None:
        """Returns the changes under a prefix after a revision; None if they were compacted."""
        self._expire()
        if after < self._compacted_revision:
            return None
        found = [
            item for item in self._history if item.revision > after and item.key.startswith(prefix)
        ]
        return StoredItems(found, Revision(self.revision))

    def next_change(self) -> Deferred[None]:
        """Returns a deferred that fires with the next change of any key."""
        watcher: Deferred[None] = Deferred()
        self._watchers.append(watcher)
        return watcher

    def compact_history(self) -> None:
        """Compacts the history up to the current revision; watches from earlier revisions fail."""
        self._history.clear()
        self._compacted_revision = self.revision

    def commit(
        self, preconditions: list[Precondition], writes: list[Write], deletes: list[str]
    ) -> Revision | Conflict | None:
        """Applies a transaction atomically; returns None if a lease of a write has expired."""
        self._expire()
        if any(self._revision_of(check.key) != check.revision for check in preconditions):
            current_items = [self.get(check.key) for check in preconditions]
            return Conflict([item for item in current_items if item is not None])
        if any(write.lease != NO_LEASE and write.lease not in self._leases for write in writes):
            return None
        self.revision += 1
        for write in writes:
            item = StoredItem(write.key, write.value, Revision(self.revision))
            self._items[write.key] = (item, write.lease)
            self._history.append(item)
        for key in deletes:
            self._delete(key)
        self._notify()
        return Revision(self.revision)

    def commit_later(
        self,
        delay_ms: int,
        preconditions: list[Precondition],
        writes: list[Write],
        deletes: list[str],
    ) -> None:
        """Applies a transaction after a delay, whatever becomes of its sender meanwhile."""
        self._time.callLater(
            to_seconds(delay_ms), lambda: self.commit(preconditions, writes, deletes)
        )

    def refuses(self, write: Write) -> bool:
        """Returns whether a write can never be committed."""
        return len(write.value) > self.max_value_bytes or write.key in self.refused_keys

    def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Grants a lease that expires ``ttl_ms`` after its last renewal."""
        self.revision += 1
        lease = LeaseId(self.revision)
        self._leases[lease] = (ttl_ms, self._time.seconds() + to_seconds(ttl_ms))
        return lease

    def renew_lease(self, lease: LeaseId) -> bool:
        """Renews a lease for its full duration; returns False if it has expired."""
        self._expire()
        if lease not in self._leases:
            return False
        ttl_ms, _ = self._leases[lease]
        self._leases[lease] = (ttl_ms, self._time.seconds() + to_seconds(ttl_ms))
        return True

    def revoke_lease(self, lease: LeaseId) -> None:
        """Revokes a lease and deletes the keys attached to it."""
        if self._leases.pop(lease, None) is None:
            return
        self.revision += 1
        for key in [key for key, (_, key_lease) in self._items.items() if key_lease == lease]:
            self._delete(key)
        self._notify()

    def _revision_of(self, key: str) -> Revision:
        item = self.get(key)
        return ABSENT if item is None else item.revision

    def _expire(self) -> None:
        if self.is_lease_expiry_paused:
            return
        now_s = self._time.seconds()
        for lease in [
            lease for lease, (_, expires_s) in self._leases.items() if expires_s <= now_s
        ]:
            self.revoke_lease(lease)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._history.append(StoredItem(key, b"", Revision(self.revision), True))

    def _notify(self) -> None:
        watchers, self._watchers = self._watchers, []
        for watcher in watchers:
            if not watcher.called:
                watcher.callback(None)


class VirtualStore:
    """Implements ``SiteStore`` for one entry host, with injected faults."""

    def __init__(self, reactor: HostReactor, store: RevisionedStore, random: Random) -> None:
        self._reactor: Any = reactor
        self._store = store
        self._random = random
        self.fault_mode = StoreFaultMode.NONE
        self.extra_latency_ms = 0
        """Latency of each call in addition to ``CALL_LATENCY_MS``."""

        self.lost_response_probability = 0.0
        """Probability (0 to 1) that a write takes effect but its response is lost."""

        self.late_write_probability = 0.0
        """Probability (0 to 1) that a write times out and takes effect seconds later."""

        self.late_writes_ms: dict[str, int] = {}
        """Delays after which writes of these keys take effect; they are never answered."""

        self.drops_watch_events = False
        """Whether watches deliver no changes and fail with ``NOT_FOUND`` when their time is up."""

        self.are_lists_unanswered = False
        """Whether lists time out while all other calls are answered."""

        self.call_counts: dict[str, int] = {}
        """Number of calls by kind."""

        self._silenced_connections = 0
        """How often ``silence_connections`` has been called."""

    def silence_connections(self) -> None:
        """Lets the calls in progress time out; later ones use new connections and are answered."""
        self._silenced_connections += 1

    async def get(self, key: str) -> Result[StoredItem | None, Failure]:
        """Reads a key; the result is None if it is absent."""
        return await self._call("get", lambda: self._store.get(key))

    async def list_items(self, prefix: str) -> Result[StoredItems, Failure]:
        """Reads all items whose keys start with ``prefix``."""
        if self.are_lists_unanswered:
            await sleep(self._reactor, CALL_TIMEOUT_MS)
            return _timed_out("list")
        return await self._call("list", lambda: self._store.list_items(prefix))

    async def watch(
        self,
        prefix: str,
        after: Revision,
        wait_ms: int,
        answer_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[StoredItems, Failure]:
        """Waits up to ``wait_ms`` for changes under ``prefix`` after a revision.

        Without changes, returns that revision. Fails with ``NOT_FOUND`` if the history after it was
        compacted.
        """
        end_s = self._reactor.seconds() + to_seconds(wait_ms)
        silenced_connections = self._silenced_connections
        while True:
            found = await self._call(
                "watch", lambda: self._store.changes(prefix, after), wait_ms + answer_timeout_ms
            )
            if isinstance(found, Err):
                return found
            if self._silenced_connections != silenced_connections:
                timeout_s = end_s + to_seconds(answer_timeout_ms) - self._reactor.seconds()
                await sleep(self._reactor, round(timeout_s * MS_PER_SECOND))
                return _timed_out("watch")
            if found.ok_value is None:
                return Err(Failure(FailureKind.NOT_FOUND, "watch", PEER, "history was compacted"))
            remaining_s = end_s - self._reactor.seconds()
            if remaining_s <= 0 and self.drops_watch_events:
                return Err(Failure(FailureKind.NOT_FOUND, "watch", PEER, "history was compacted"))
            if found.ok_value.items and not self.drops_watch_events:
                return Ok(found.ok_value)
            if remaining_s <= 0:
                return Ok(StoredItems([], after))
            next_change = self._store.next_change()
            next_change.addTimeout(remaining_s, self._reactor, onTimeoutCancel=lambda *_: None)
            await next_change

    async def commit(
        self,
        preconditions: list[Precondition],
        writes: list[Write],
        deletes: list[str],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[Revision | Conflict, Failure]:
        """Applies a transaction atomically.

        Fails with ``NOT_FOUND`` if a lease of a write has expired; with ``NO_ANSWER``, the
        transaction may have been applied or may still be applied later.
        """
        delay_ms = self._late_write_delay_ms(writes)
        if delay_ms is not None:
            self._store.commit_later(delay_ms, preconditions, writes, deletes)
            await sleep(self._reactor, timeout_ms)
            return _timed_out("commit")
        if any(self._store.refuses(write) for write in writes):
            await self._call("commit", lambda: None)
            return Err(Failure(FailureKind.INVALID, "commit", PEER, "status 400"))
        loses_response = self._random.random() < self.lost_response_probability
        committed = await self._call(
            "commit", lambda: self._store.commit(preconditions, writes, deletes), timeout_ms
        )
        if isinstance(committed, Err):
            return committed
        if loses_response:
            await sleep(self._reactor, timeout_ms)
            return _timed_out("commit")
        if committed.ok_value is None:
            return Err(Failure(FailureKind.NOT_FOUND, "commit", PEER, "the lease has expired"))
        return Ok(committed.ok_value)

    def _late_write_delay_ms(self, writes: list[Write]) -> int | None:
        if self._random.random() < self.late_write_probability:
            return self._random.randint(*LATE_WRITE_DELAY_MS)
        delays_ms = [self.late_writes_ms.get(write.key) for write in writes]
        return next((each for each in delays_ms if each is not None), None)

    async def grant_lease(self, ttl_ms: int) -> Result[LeaseId, Failure]:
        """Requests a lease."""
        return await self._call("grant", lambda: self._store.grant_lease(ttl_ms))

    async def renew_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Renews a lease; fails with ``NOT_FOUND`` if it has expired."""
        renewed = await self._call("renew", lambda: self._store.renew_lease(lease))
        if isinstance(renewed, Err):
            return renewed
        if not renewed.ok_value:
            return Err(Failure(FailureKind.NOT_FOUND, "renew", PEER, "the lease has expired"))
        return Ok(None)

    async def end_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Revokes a lease and deletes the keys attached to it."""
        return await self._call("end", lambda: self._store.revoke_lease(lease))

    async def _call(
        self, step: str, action: Callable[[], Any], timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Result[Any, Failure]:
        self.call_counts[step] = self.call_counts.get(step, 0) + 1
        fault_mode = self.fault_mode
        silenced_connections = self._silenced_connections
        if fault_mode is StoreFaultMode.NO_RESPONSE:
            await sleep(self._reactor, timeout_ms)
            return _timed_out(step)
        await sleep(self._reactor, CALL_LATENCY_MS + self.extra_latency_ms)
        if fault_mode is StoreFaultMode.CONNECTION_REFUSED:
            return Err(Failure(FailureKind.NOT_SENT, step, PEER, "connection refused"))
        if fault_mode is StoreFaultMode.UNAVAILABLE:
            return Err(Failure(FailureKind.UNAVAILABLE, step, PEER, "status 503"))
        result = action()
        is_silenced = self._silenced_connections != silenced_connections
        if is_silenced or self.fault_mode is StoreFaultMode.NO_RESPONSE:
            await sleep(self._reactor, timeout_ms)
            return _timed_out(step)
        return Ok(result)


def _timed_out(step: str) -> Err[Failure]:
    return Err(Failure(FailureKind.NO_ANSWER, step, PEER, "timed out"))
