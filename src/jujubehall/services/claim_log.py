"""Makes claims of non-idempotent requests durable before the requests are sent."""

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
from jujubehall.services.claim_archives import ABSENT
from jujubehall.services.claim_archives import ClaimArchives
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.requests.claim_records import Granter
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Incarnation
    from jujubehall.identifiers import RequestId
    from jujubehall.platform.interface import Platform

MAX_CLAIMS_IN_MEMORY = 50_000
REWRITE_INTERVAL_MS = 300_000
OUTAGE_LIMIT_MS = 4_200_000
"""How long after its last recorded write an entry host may claim in memory."""


class ClaimLog:
    """Writes this entry host's claims, many in one write.

    While one write is under way, later claims gather and go out together in the next one. A log
    must be opened for an epoch; it closes itself when another entry host has sealed it.
    """

    def __init__(
        self, platform: Platform, clock: Clock, name: EntryHostName, incarnation: Incarnation
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._head = ClaimHead(name, incarnation, Epoch(0), sealed=True)
        self._version = ABSENT
        self._is_open = False
        self._opened = Epoch(0)
        self._archives = ClaimArchives(platform, clock, name, incarnation)
        self._gathered: list[tuple[RequestId, Deferred[Result[None, Failure]]]] = []
        self._writing = False
        self._write_lock = DeferredLock()
        self._carried: set[int] = set()
        self._released: set[int] = set()
        self._in_memory: dict[int, None] = {}
        self._surrendered = False
        self._written_at_ms = 0

    @property
    def epoch(self) -> Epoch:
        """The epoch for which the log is open, 0 while it is closed."""
        return self._head.epoch if self._is_open else Epoch(0)

    @property
    def opened(self) -> Epoch:
        """The epoch for which the log was last opened successfully, 0 if it never was."""
        return self._opened

    @property
    def sequence(self) -> int:
        """The number of the last attempted write; grants for claims in memory name it."""
        return self._head.sequence

    @property
    def granters(self) -> tuple[Granter, ...]:
        """The members of the record for which the log was last opened."""
        return self._head.granters

    @property
    def archives(self) -> ClaimArchives:
        """Writes claims and losses for others as well."""
        return self._archives

    @property
    def carried(self) -> frozenset[int]:
        """Claims of earlier incarnations of this entry host, found in its head."""
        return frozenset(self._carried)

    async def open(
        self,
        epoch: Epoch,
        shards: tuple[int, ...] = (),
        granters: tuple[Granter, ...] = (),
    ) -> Result[None, Failure]:
        """Opens the log for ``epoch``; claims gathered for an earlier epoch fail.

        ``shards`` and ``granters`` are what this entry host owns in the ownership record of that
        epoch, and the record's members.
        """
        self._is_open = False
        self._fail_gathered(_closed_failure(self._head.name))
        await self._write_lock.acquire()
        try:
            return await self._open(epoch, shards, granters)
        finally:
            self._write_lock.release()

    async def claim(self, request: RequestId) -> Result[None, Failure]:
        """Makes a claim durable.

        On any failure the caller must not send the request. The claim may be recorded all the
        same; a later owner that finds it answers "unknown".
        """
        if not self._is_open:
            return Err(_closed_failure(self._head.name))
        self._released.discard(claim_hash(request))
        written: Deferred[Result[None, Failure]] = Deferred()
        self._gathered.append((request, written))
        if not self._writing:
            start(self._write_gathered())
        return await written

    def claim_in_memory(self, request: RequestId) -> bool:
        """Claims while the platform is down; the caller must hold grants for ``sequence``.

        The next write of the head takes these claims along.
        """
        if self._surrendered or len(self._in_memory) >= MAX_CLAIMS_IN_MEMORY:
            return False
        if self._write_age_ms >= OUTAGE_LIMIT_MS:
            return False
        self._released.discard(claim_hash(request))
        self._in_memory[claim_hash(request)] = None
        return True

    async def flush(self, *, rewrite: bool = False) -> Result[None, Failure]:
        """Records the claims in memory, and shows from time to time that the head is in use.

        With ``rewrite`` the head is written also without a change, which voids all grants for
        its earlier ``sequence``.
        """
        is_due = rewrite or self._in_memory or self._write_age_ms >= REWRITE_INTERVAL_MS
        if not self._is_open or not is_due:
            return Ok(None)
        await self._write_lock.acquire()
        try:
            if not self._is_open:
                return Err(_closed_failure(self._head.name))
            return await self._write_all(self._head.claims)
        finally:
            self._write_lock.release()

    @property
    def _write_age_ms(self) -> int:
        return self._clock.now_ms - self._written_at_ms

    def surrender(self) -> tuple[int, ...]:
        """Gives the claims in memory to a successor, and makes none until the log is opened."""
        self._surrendered = True
        return tuple(self._in_memory)

    def release(self, request: RequestId) -> None:
        """Drops the claim of a request that no endpoint ran, with the next write of others.

        A later owner that doesn't find the claim may run the request when the caller tries again.
        """
        self._released.add(claim_hash(request))
        self._in_memory.pop(claim_hash(request), None)

    async def seal(self) -> None:
        """Closes the log at a planned stop, so that a successor needn't wait for it."""
        self._is_open = False
        self._surrendered = True
        await self._write_lock.acquire()
        try:
            self._head = msgspec.structs.replace(self._head, sealed=True, cleared=True)
            await self._write_all(self._head.claims)
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
                self._carried.update(previous.claims)
            claims = previous.claims
            self._version = found.ok_value.version
        elif found.err_value.kind is FailureKind.NOT_FOUND:
            self._version = ABSENT
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
        written = await self._write_all(claims)
        if isinstance(written, Err):
            return written
        confirmed = await self._confirm(epoch)
        if isinstance(confirmed, Ok):
            self._is_open = True
            self._opened = epoch
            self._surrendered = False
        return confirmed

    async def _confirm(self, epoch: Epoch) -> Result[None, Failure]:
        """Reads after the write of the head that ``epoch`` is still the latest.

        A successor writes the ownership record first and reads the heads afterwards. So either it
        has seen this head and seals it, or its record is found here.
        """
        found = await self._platform.get(OWNERSHIP_KEY)
        if isinstance(found, Err):
            return found
        record = msgspec.convert(found.ok_value.value, OwnershipRecord)
        if record.epoch != epoch:
            return Err(_closed_failure(self._head.name))
        return Ok(None)

    async def _write_gathered(self) -> None:
        self._writing = True
        while self._gathered:
            batch = self._gathered[:MAX_CLAIMS_IN_HEAD]
            del self._gathered[:MAX_CLAIMS_IN_HEAD]
            result = await self._write_batch([claim_hash(request) for request, _ in batch])
            CLAIMS.add({"result": result_label(result)}, len(batch))
            for _, written in batch:
                written.callback(result)
        self._writing = False

    async def _write_batch(self, claims: list[int]) -> Result[None, Failure]:
        # The epoch of the claims: while they wait, the log may be opened for a later one.
        epoch = self.epoch
        await self._write_lock.acquire()
        try:
            return await self._write_claims(claims, epoch)
        finally:
            self._write_lock.release()

    async def _write_claims(self, claims: list[int], epoch: Epoch) -> Result[None, Failure]:
        if not self._is_open or self.epoch != epoch:
            return Err(_closed_failure(self._head.name))
        released = frozenset(self._released)
        kept = tuple(claim for claim in self._head.claims if claim not in released)
        written = await self._write_all(kept, tuple(claims))
        if isinstance(written, Ok):
            self._released -= released
        return written

    async def _write_all(
        self, kept: tuple[int, ...], added: tuple[int, ...] = ()
    ) -> Result[None, Failure]:
        """Writes the head with the claims in memory, after archiving what doesn't fit."""
        # Claims made in memory from here on need grants for this sequence: the write lacks them.
        sequence = self._head.sequence + 1
        self._head = msgspec.structs.replace(self._head, sequence=sequence)
        in_memory = tuple(self._in_memory)
        if len(kept) + len(in_memory) + len(added) > MAX_CLAIMS_IN_HEAD:
            archived = await self._archives.archive((*kept, *in_memory))
            if isinstance(archived, Err):
                return archived
            written = await self._write(added, sequence)
        else:
            written = await self._write((*kept, *in_memory, *added), sequence)
        if isinstance(written, Ok):
            for claim in in_memory:
                self._in_memory.pop(claim, None)
        return written

    async def _write(self, claims: tuple[int, ...], sequence: int) -> Result[None, Failure]:
        head = msgspec.structs.replace(self._head, sequence=sequence, claims=claims)
        key = head_key(head.name)
        began_at_ms = self._clock.now_ms
        written = await self._platform.put(key, msgspec.to_builtins(head), self._version)
        if isinstance(written, Ok):
            settled = self._accept(head, written.ok_value)
        else:
            settled = await self._settle(head, written.err_value)
        if isinstance(settled, Ok):
            self._written_at_ms = began_at_ms
        return settled

    def _accept(self, head: ClaimHead, version: Version) -> Result[None, Failure]:
        self._head = head
        self._version = version
        return Ok(None)

    async def _settle(self, head: ClaimHead, failure: Failure) -> Result[None, Failure]:
        """Finds out what became of a write that did not succeed."""
        if failure.kind not in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
            return Err(failure)
        found = await self._platform.get(head_key(head.name))
        if isinstance(found, Err):
            # Unknown: the log stays closed until it is opened again from what is recorded.
            self._is_open = False
            return Err(failure)
        recorded = msgspec.convert(found.ok_value.value, ClaimHead)
        if recorded == head:
            return self._accept(head, found.ok_value.version)
        self._is_open = self._is_open and found.ok_value.version == self._version
        return Err(failure)

    def _fail_gathered(self, failure: Failure) -> None:
        gathered, self._gathered = self._gathered, []
        for _, written in gathered:
            written.callback(Err(failure))


def _closed_failure(name: EntryHostName) -> Failure:
    return Failure(FailureKind.CONFLICT, "claim", "platform", f"the claims of {name} are closed")
