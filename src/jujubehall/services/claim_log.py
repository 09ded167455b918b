"""Records claims on non-idempotent requests durably before the requests are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredLock

from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.core.requests.claim_records import MAX_CLAIMS_IN_HEAD
from jujubehall.core.requests.claim_records import ClaimHead
from jujubehall.core.requests.claim_records import claim_hash
from jujubehall.core.requests.claim_records import head_key
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Version
from jujubehall.metrics import CLAIMS
from jujubehall.metrics import result_label
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.claim_archives import ABSENT
from jujubehall.services.claim_archives import ClaimArchives

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.requests.claim_records import Granter
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Incarnation
    from jujubehall.identifiers import RequestId
    from jujubehall.platform.interface import Platform

MAX_CLAIMS_IN_MEMORY = 50_000
HEAD_REWRITE_INTERVAL_MS = 300_000
"""How often an unchanged head is rewritten to show that it is in use."""

IN_MEMORY_CLAIM_LIMIT_MS = 4_200_000
"""How long after its last successful write an entry host may still make in-memory claims."""


class ClaimLog:
    """Writes this entry host's claims to its head in the platform, in batches.

    Claims made while a write is in progress are queued and written together in the next batch.
    The log must be opened for an epoch before use. It closes itself when it finds that another
    entry host has sealed its head.
    """

    def __init__(
        self, platform: Platform, clock: Clock, name: EntryHostName, incarnation: Incarnation
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._head = ClaimHead(name, incarnation, Epoch(0), sealed=True)
        self._head_version = ABSENT
        self._is_open = False
        self._last_opened_epoch = Epoch(0)
        self._archives = ClaimArchives(platform, clock, name, incarnation)
        self._pending_claims: list[tuple[RequestId, Deferred[Result[None, Failure]]]] = []
        self._is_writing = False
        self._write_lock = DeferredLock()
        self._recovered_claims: set[int] = set()
        self._released_claims: set[int] = set()
        self._in_memory_claims: dict[int, None] = {}
        self._in_memory_claims_closed = False
        self._last_written_at_ms = 0

    @property
    def epoch(self) -> Epoch:
        """The epoch for which the log is open, or 0 while it is closed."""
        return self._head.epoch if self._is_open else Epoch(0)

    @property
    def last_opened_epoch(self) -> Epoch:
        """The epoch for which the log was last opened successfully, or 0 if it never was."""
        return self._last_opened_epoch

    @property
    def sequence(self) -> int:
        """The sequence number of the last attempted write; only grants for it are valid."""
        return self._head.sequence

    @property
    def granters(self) -> tuple[Granter, ...]:
        """The members of the ownership record for which the log was last opened."""
        return self._head.granters

    @property
    def archives(self) -> ClaimArchives:
        """The archive writer, which also records claims and losses of other entry hosts."""
        return self._archives

    @property
    def recovered_claims(self) -> frozenset[int]:
        """Claims of earlier incarnations of this entry host, read from its head."""
        return frozenset(self._recovered_claims)

    async def open(
        self,
        epoch: Epoch,
        shards: tuple[int, ...] = (),
        granters: tuple[Granter, ...] = (),
    ) -> Result[None, Failure]:
        """Opens the log for ``epoch``; claims queued for an earlier epoch fail.

        ``shards`` are the request shards that this entry host owns in the ownership record of
        that epoch; ``granters`` are the record's members.
        """
        self._is_open = False
        self._fail_pending_claims(_closed_failure(self._head.name))
        await self._write_lock.acquire()
        try:
            return await self._open(epoch, shards, granters)
        finally:
            self._write_lock.release()

    async def claim(self, request: RequestId) -> Result[None, Failure]:
        """Records a claim durably.

        On any failure the caller must not send the request. The claim may have been recorded
        nevertheless; a later owner that finds it answers "unknown".
        """
        if not self._is_open:
            return Err(_closed_failure(self._head.name))
        self._released_claims.discard(claim_hash(request))
        written: Deferred[Result[None, Failure]] = Deferred()
        self._pending_claims.append((request, written))
        if not self._is_writing:
            run_in_background(self._write_pending_claims())
        return await written

    def claim_in_memory(self, request: RequestId) -> bool:
        """Makes a claim in memory only, while the platform is down.

        The caller must hold grants for ``sequence``. The next write of the head includes these
        claims. Returns False if in-memory claims are closed, if ``MAX_CLAIMS_IN_MEMORY`` is
        reached, or if the last write is older than ``IN_MEMORY_CLAIM_LIMIT_MS``.
        """
        if self._in_memory_claims_closed or len(self._in_memory_claims) >= MAX_CLAIMS_IN_MEMORY:
            return False
        if self._write_age_ms >= IN_MEMORY_CLAIM_LIMIT_MS:
            return False
        self._released_claims.discard(claim_hash(request))
        self._in_memory_claims[claim_hash(request)] = None
        return True

    async def flush(self, *, rewrite: bool = False) -> Result[None, Failure]:
        """Writes in-memory claims to the head, and rewrites an unchanged head periodically.

        The periodic rewrite shows that the head is in use. With ``rewrite`` the head is written
        even without a change, which invalidates all grants for its earlier ``sequence``.
        """
        is_due = rewrite or self._in_memory_claims or self._write_age_ms >= HEAD_REWRITE_INTERVAL_MS
        if not self._is_open or not is_due:
            return Ok(None)
        await self._write_lock.acquire()
        try:
            if not self._is_open:
                return Err(_closed_failure(self._head.name))
            return await self._write_all_claims(self._head.claims)
        finally:
            self._write_lock.release()

    @property
    def _write_age_ms(self) -> int:
        return self._clock.now_ms - self._last_written_at_ms

    def hand_over_in_memory_claims(self) -> tuple[int, ...]:
        """Returns the in-memory claims for a successor; makes no more until the log is reopened."""
        self._in_memory_claims_closed = True
        return tuple(self._in_memory_claims)

    def release(self, request: RequestId) -> None:
        """Releases the claim of a request that no endpoint ran.

        The claim is removed from the head by the next write of other claims. A later owner that
        doesn't find it may run the request when the caller retries.
        """
        self._released_claims.add(claim_hash(request))
        self._in_memory_claims.pop(claim_hash(request), None)

    async def seal(self) -> None:
        """Closes the log and seals its head at shutdown, so that a successor needn't wait."""
        self._is_open = False
        self._in_memory_claims_closed = True
        await self._write_lock.acquire()
        try:
            self._head = msgspec.structs.replace(self._head, sealed=True, cleared=True)
            await self._write_all_claims(self._head.claims)
        finally:
            self._write_lock.release()

    async def _open(
        self, epoch: Epoch, shards: tuple[int, ...], granters: tuple[Granter, ...]
    ) -> Result[None, Failure]:
        found = await self._platform.get(head_key(self._head.name))
        claims: tuple[int, ...] = ()
        if isinstance(found, Ok):
            previous = msgspec.convert(found.ok_value.value, ClaimHead)
            if previous.epoch > epoch:
                return Err(_closed_failure(self._head.name))
            if previous.incarnation != self._head.incarnation:
                if not previous.cleared:
                    return Err(_closed_failure(self._head.name))
                self._recovered_claims.update(previous.claims)
            claims = previous.claims
            self._head_version = found.ok_value.version
        elif found.err_value.kind is FailureKind.NOT_FOUND:
            self._head_version = ABSENT
        else:
            return found
        self._head = msgspec.structs.replace(
            self._head,
            epoch=epoch,
            opened=epoch,
            sealed=False,
            cleared=False,
            shards=shards,
            granters=granters,
        )
        written = await self._write_all_claims(claims)
        if isinstance(written, Err):
            return written
        confirmed = await self._confirm_epoch(epoch)
        if isinstance(confirmed, Ok):
            self._is_open = True
            self._last_opened_epoch = epoch
            self._in_memory_claims_closed = False
        return confirmed

    async def _confirm_epoch(self, epoch: Epoch) -> Result[None, Failure]:
        """Checks, after the head was written, that ``epoch`` is still the latest epoch.

        A successor writes the ownership record before it reads the heads. So either it reads this
        head and seals it, or its record is found here.
        """
        found = await self._platform.get(OWNERSHIP_KEY)
        if isinstance(found, Err):
            return found
        record = msgspec.convert(found.ok_value.value, OwnershipRecord)
        if record.epoch != epoch:
            return Err(_closed_failure(self._head.name))
        return Ok(None)

    async def _write_pending_claims(self) -> None:
        self._is_writing = True
        while self._pending_claims:
            batch = self._pending_claims[:MAX_CLAIMS_IN_HEAD]
            del self._pending_claims[:MAX_CLAIMS_IN_HEAD]
            result = await self._write_batch([claim_hash(request) for request, _ in batch])
            CLAIMS.add({"result": result_label(result)}, len(batch))
            for _, written in batch:
                written.callback(result)
        self._is_writing = False

    async def _write_batch(self, claims: list[int]) -> Result[None, Failure]:
        # The log may be opened for a later epoch while this batch waits for the lock.
        epoch = self.epoch
        await self._write_lock.acquire()
        try:
            return await self._write_locked_batch(claims, epoch)
        finally:
            self._write_lock.release()

    async def _write_locked_batch(self, claims: list[int], epoch: Epoch) -> Result[None, Failure]:
        if not self._is_open or self.epoch != epoch:
            return Err(_closed_failure(self._head.name))
        released = frozenset(self._released_claims)
        kept_claims = tuple(claim for claim in self._head.claims if claim not in released)
        written = await self._write_all_claims(kept_claims, tuple(claims))
        if isinstance(written, Ok):
            self._released_claims -= released
        return written

    async def _write_all_claims(
        self, kept_claims: tuple[int, ...], new_claims: tuple[int, ...] = ()
    ) -> Result[None, Failure]:
        """Writes the head including in-memory claims; archives claims first if they don't fit."""
        # This write doesn't include in-memory claims made from here on, so that they need grants
        # for the new sequence number.
        sequence = self._head.sequence + 1
        self._head = msgspec.structs.replace(self._head, sequence=sequence)
        in_memory_claims = tuple(self._in_memory_claims)
        if len(kept_claims) + len(in_memory_claims) + len(new_claims) > MAX_CLAIMS_IN_HEAD:
            archived = await self._archives.archive((*kept_claims, *in_memory_claims))
            if isinstance(archived, Err):
                return archived
            written = await self._write_head(new_claims, sequence)
        else:
            written = await self._write_head(
                (*kept_claims, *in_memory_claims, *new_claims), sequence
            )
        if isinstance(written, Ok):
            for claim in in_memory_claims:
                self._in_memory_claims.pop(claim, None)
        return written

    async def _write_head(self, claims: tuple[int, ...], sequence: int) -> Result[None, Failure]:
        head = msgspec.structs.replace(self._head, sequence=sequence, claims=claims)
        key = head_key(head.name)
        started_at_ms = self._clock.now_ms
        written = await self._platform.put(key, msgspec.to_builtins(head), self._head_version)
        if isinstance(written, Ok):
            outcome = self._record_written_head(head, written.ok_value)
        else:
            outcome = await self._resolve_failed_write(head, written.err_value)
        if isinstance(outcome, Ok):
            self._last_written_at_ms = started_at_ms
        return outcome

    def _record_written_head(self, head: ClaimHead, version: Version) -> Result[None, Failure]:
        self._head = head
        self._head_version = version
        return Ok(None)

    async def _resolve_failed_write(
        self, head: ClaimHead, failure: Failure
    ) -> Result[None, Failure]:
        """Reads the head back to determine whether a failed write took effect."""
        if failure.kind not in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
            return Err(failure)
        found = await self._platform.get(head_key(head.name))
        if isinstance(found, Err):
            # The result is unknown: the log stays closed until it is reopened from the stored head.
            self._is_open = False
            return Err(failure)
        recorded = msgspec.convert(found.ok_value.value, ClaimHead)
        if recorded == head:
            return self._record_written_head(head, found.ok_value.version)
        self._is_open = self._is_open and found.ok_value.version == self._head_version
        return Err(failure)

    def _fail_pending_claims(self, failure: Failure) -> None:
        pending_claims, self._pending_claims = self._pending_claims, []
        for _, written in pending_claims:
            written.callback(Err(failure))


def _closed_failure(name: EntryHostName) -> Failure:
    return Failure(FailureKind.CONFLICT, "claim", "platform", f"the claim log of {name} is closed")
