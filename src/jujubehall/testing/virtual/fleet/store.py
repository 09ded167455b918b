"""A store with revisions, leases and watches, and each entry host's faulty path to it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import NO_LEASE
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import LeaseId
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredItem
from jujubehall.platform.site_store import StoredItems
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.platform.site_store import Precondition
    from jujubehall.platform.site_store import Write
    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.virtual_time import VirtualTime

STEP = "call"
PEER = "store"
CALL_TIMEOUT_MS = 1_000
LATENCY_MS = 4
LATE_MS = (1_000, 6_000)
"""When a write that got no answer takes effect, if it is late."""


class Path(Enum):
    """How an entry host's calls fare."""

    SOUND = "sound"
    SILENT = "silent"
    REFUSED = "refused"
    BUSY = "busy"


class RevisionedStore:
    """The state shared by all entry hosts."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self._items: dict[str, tuple[StoredItem, LeaseId]] = {}
        self._history: list[StoredItem] = []
        self._oldest = 0
        self._leases: dict[LeaseId, tuple[int, float]] = {}
        self._waiting: list[Deferred[None]] = []
        self.revision = 10
        self.leases_stand_still = False

    def get(self, key: str) -> StoredItem | None:
        """The present item of a key."""
        self._expire()
        found = self._items.get(key)
        return None if found is None else found[0]

    def list_items(self, prefix: str) -> StoredItems:
        """All items under a prefix."""
        self._expire()
        found = [item for key, (item, _) in sorted(self._items.items()) if key.startswith(prefix)]
        return StoredItems(found, Revision(self.revision))

    def changes(self, prefix: str, after: int) -> StoredItems | None:
        """The changes under a prefix later than ``after``; None if they are forgotten."""
        self._expire()
        if after < self._oldest:
            return None
        found = [
            item for item in self._history if item.revision > after and item.key.startswith(prefix)
        ]
        return StoredItems(found, Revision(self.revision))

    def changed(self) -> Deferred[None]:
        """Fires with the next change."""
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        return waiting

    def forget_history(self) -> None:
        """Drops all past changes."""
        self._history.clear()
        self._oldest = self.revision

    def commit(
        self, preconditions: list[Precondition], writes: list[Write], deletes: list[str]
    ) -> Revision | Conflict | None:
        """Does all or nothing; None if a lease has ended."""
        self._expire()
        if any(self._revision(each.key) != each.revision for each in preconditions):
            present = [self.get(each.key) for each in preconditions]
            return Conflict([item for item in present if item is not None])
        if any(each.lease != NO_LEASE and each.lease not in self._leases for each in writes):
            return None
        self.revision += 1
        for each in writes:
            item = StoredItem(each.key, each.value, Revision(self.revision))
            self._items[each.key] = (item, each.lease)
            self._history.append(item)
        for key in deletes:
            self._delete(key)
        self._notify()
        return Revision(self.revision)

    def grant(self, ttl_ms: int) -> LeaseId:
        """Grants a lease."""
        self.revision += 1
        lease = LeaseId(self.revision)
        self._leases[lease] = (ttl_ms, self._time.seconds() + to_seconds(ttl_ms))
        return lease

    def renew(self, lease: LeaseId) -> bool:
        """Extends a lease; False if it has ended."""
        self._expire()
        if lease not in self._leases:
            return False
        ttl_ms, _ = self._leases[lease]
        self._leases[lease] = (ttl_ms, self._time.seconds() + to_seconds(ttl_ms))
        return True

    def end(self, lease: LeaseId) -> None:
        """Ends a lease and deletes its keys."""
        if self._leases.pop(lease, None) is None:
            return
        self.revision += 1
        for key in [key for key, (_, owner) in self._items.items() if owner == lease]:
            self._delete(key)
        self._notify()

    def _revision(self, key: str) -> Revision:
        item = self.get(key)
        return ABSENT if item is None else item.revision

    def _expire(self) -> None:
        if self.leases_stand_still:
            return
        now = self._time.seconds()
        for lease in [lease for lease, (_, end) in self._leases.items() if end <= now]:
            self.end(lease)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._history.append(StoredItem(key, b"", Revision(self.revision), True))

    def _notify(self) -> None:
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            if not each.called:
                each.callback(None)


class VirtualStore:
    """Implements ``SiteStore`` for one entry host."""

    def __init__(self, reactor: HostReactor, store: RevisionedStore, random: Random) -> None:
        self._reactor: Any = reactor
        self._store = store
        self._random = random
        self.path = Path.SOUND
        self.extra_latency_ms = 0
        self.lost_answers = 0.0
        """The share of writes that take effect without an answer."""

        self.late_writes = 0.0
        """The share of writes without an answer that take effect seconds later."""

        self.are_watches_deaf = False
        """Whether watches hear nothing for a while."""

        self.calls: dict[str, int] = {}

    async def get(self, key: str) -> Result[StoredItem | None, Failure]:
        """Reads a key; None if it is absent."""
        return await self._read("get", lambda: self._store.get(key))

    async def list_items(self, prefix: str) -> Result[StoredItems, Failure]:
        """Reads all keys under ``prefix``."""
        return await self._read("list", lambda: self._store.list_items(prefix))

    async def watch(
        self, prefix: str, after: Revision, wait_ms: int
    ) -> Result[StoredItems, Failure]:
        """Waits for changes."""
        end = self._reactor.seconds() + to_seconds(wait_ms)
        while True:
            found = await self._read("watch", lambda: self._store.changes(prefix, after))
            if isinstance(found, Err):
                return found
            if found.ok_value is None:
                return Err(Failure(FailureKind.NOT_FOUND, "watch", PEER, "history is gone"))
            left_s = end - self._reactor.seconds()
            if left_s <= 0 and self.are_watches_deaf:
                return Err(Failure(FailureKind.NOT_FOUND, "watch", PEER, "history is gone"))
            if left_s <= 0 or (found.ok_value.items and not self.are_watches_deaf):
                return Ok(found.ok_value)
            changed = self._store.changed()
            changed.addTimeout(left_s, self._reactor, onTimeoutCancel=lambda *_: None)
            await changed

    async def commit(
        self,
        preconditions: list[Precondition],
        writes: list[Write],
        deletes: list[str],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[Revision | Conflict, Failure]:
        """Does all or nothing."""
        if self._random.random() < self.late_writes:
            delay_s = to_seconds(self._random.randint(*LATE_MS))
            self._reactor.callLater(
                delay_s, lambda: self._store.commit(preconditions, writes, deletes)
            )
            await sleep(self._reactor, timeout_ms)
            return _no_answer("commit")
        is_lost = self._random.random() < self.lost_answers
        done = await self._read(
            "commit", lambda: self._store.commit(preconditions, writes, deletes), timeout_ms
        )
        if isinstance(done, Err):
            return done
        if is_lost:
            await sleep(self._reactor, timeout_ms)
            return _no_answer("commit")
        if done.ok_value is None:
            return Err(Failure(FailureKind.NOT_FOUND, "commit", PEER, "the lease has ended"))
        return Ok(done.ok_value)

    async def grant_lease(self, ttl_ms: int) -> Result[LeaseId, Failure]:
        """Asks for a lease."""
        return await self._read("grant", lambda: self._store.grant(ttl_ms))

    async def renew_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Extends a lease."""
        renewed = await self._read("renew", lambda: self._store.renew(lease))
        if isinstance(renewed, Err):
            return renewed
        if not renewed.ok_value:
            return Err(Failure(FailureKind.NOT_FOUND, "renew", PEER, "the lease has ended"))
        return Ok(None)

    async def end_lease(self, lease: LeaseId) -> Result[None, Failure]:
        """Ends a lease."""
        return await self._read("end", lambda: self._store.end(lease))

    async def _read(
        self, step: str, action: Callable[[], Any], timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Result[Any, Failure]:
        self.calls[step] = self.calls.get(step, 0) + 1
        path = self.path
        if path is Path.SILENT:
            await sleep(self._reactor, timeout_ms)
            return _no_answer(step)
        await sleep(self._reactor, LATENCY_MS + self.extra_latency_ms)
        if path is Path.REFUSED:
            return Err(Failure(FailureKind.NOT_SENT, step, PEER, "connection refused"))
        if path is Path.BUSY:
            return Err(Failure(FailureKind.UNAVAILABLE, step, PEER, "status 503"))
        result = action()
        if self.path is Path.SILENT:
            await sleep(self._reactor, timeout_ms)
            return _no_answer(step)
        return Ok(result)


def _no_answer(step: str) -> Err[Failure]:
    return Err(Failure(FailureKind.NO_ANSWER, step, PEER, "timed out"))
