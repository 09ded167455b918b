"""Makes claims of non-idempotent requests durable before the requests are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.core.requests.claim_records import MAX_CLAIMS_IN_HEAD
from jujubehall.core.requests.claim_records import ClaimArchive
from jujubehall.core.requests.claim_records import ClaimHead
from jujubehall.core.requests.claim_records import archive_key
from jujubehall.core.requests.claim_records import claim_hash
from jujubehall.core.requests.claim_records import head_key
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Version
from jujubehall.metrics import CLAIMS
from jujubehall.metrics import result_label
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Incarnation
    from jujubehall.identifiers import RequestId
    from jujubehall.platform.interface import Platform

ARCHIVE_LEASE_TTL_MS = 720_000
ARCHIVE_LEASE_ROTATION_MS = 60_000
ABSENT = Version(0)


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
        self._archives = 0
        self._lease = ""
        self._lease_granted_at_ms = 0
        self._gathered: list[tuple[RequestId, Deferred[Result[None, Failure]]]] = []
        self._writing = False

    @property
    def epoch(self) -> Epoch:
        """The epoch for which the log is open, 0 while it is closed."""
        return self._head.epoch if self._is_open else Epoch(0)

    async def open(self, epoch: Epoch) -> Result[None, Failure]:
        """Opens the log for ``epoch``; claims gathered for an earlier epoch fail."""
        self._is_open = False
        self._fail_gathered(_closed_failure(self._head.name))
        found = await self._platform.get(head_key(self._head.name))
        if isinstance(found, Err):
            if found.err_value.kind is not FailureKind.NOT_FOUND:
                return found
            claims: tuple[int, ...] = ()
            self._version = ABSENT
        else:
            previous = msgspec.convert(found.ok_value.value, ClaimHead)
            if previous.epoch > epoch:
                return Err(_closed_failure(self._head.name))
            claims = previous.claims
            self._version = found.ok_value.version
        self._head = msgspec.structs.replace(self._head, epoch=epoch, sealed=False, claims=claims)
        written = await self._write(claims)
        self._is_open = isinstance(written, Ok)
        return written

    async def claim(self, request: RequestId) -> Result[None, Failure]:
        """Makes a claim durable.

        On any failure the caller must not send the request. The claim may be recorded all the
        same; a later owner that finds it answers "unknown".
        """
        if not self._is_open:
            return Err(_closed_failure(self._head.name))
        written: Deferred[Result[None, Failure]] = Deferred()
        self._gathered.append((request, written))
        if not self._writing:
            start(self._write_gathered())
        return await written

    async def seal(self) -> None:
        """Closes the log at a planned stop, so that a successor needn't wait for it."""
        self._is_open = False
        self._head = msgspec.structs.replace(self._head, sealed=True)
        await self._write(self._head.claims)

    async def _write_gathered(self) -> None:
        self._writing = True
        while self._gathered:
            batch = self._gathered[:MAX_CLAIMS_IN_HEAD]
            del self._gathered[:MAX_CLAIMS_IN_HEAD]
            result = await self._write_claims([claim_hash(request) for request, _ in batch])
            CLAIMS.add({"result": result_label(result)}, len(batch))
            for _, written in batch:
                written.callback(result)
        self._writing = False

    async def _write_claims(self, claims: list[int]) -> Result[None, Failure]:
        if not self._is_open:
            return Err(_closed_failure(self._head.name))
        epoch = self._head.epoch
        kept = self._head.claims
        if len(kept) + len(claims) > MAX_CLAIMS_IN_HEAD:
            archived = await self._archive(kept)
            if isinstance(archived, Err):
                return archived
            kept = ()
        if not self._is_open or self._head.epoch != epoch:
            return Err(_closed_failure(self._head.name))
        return await self._write((*kept, *claims))

    async def _write(self, claims: tuple[int, ...]) -> Result[None, Failure]:
        sequence = self._head.sequence + 1
        head = msgspec.structs.replace(self._head, sequence=sequence, claims=claims)
        self._head = msgspec.structs.replace(self._head, sequence=sequence)
        key = head_key(head.name)
        written = await self._platform.put(key, msgspec.to_builtins(head), self._version)
        if isinstance(written, Ok):
            return self._accept(head, written.ok_value)
        return await self._settle(head, written.err_value)

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

    async def _archive(self, claims: tuple[int, ...]) -> Result[None, Failure]:
        leased = await self._ensure_lease()
        if isinstance(leased, Err):
            return leased
        key = archive_key(self._head.name, self._head.incarnation, self._archives)
        self._archives += 1
        value = msgspec.to_builtins(ClaimArchive(self._head.incarnation, claims))
        written = await self._platform.put(key, value, ABSENT, self._lease)
        return written.map(lambda _: None)

    async def _ensure_lease(self) -> Result[None, Failure]:
        # A new lease each minute lets the platform delete old archives without calls of ours.
        age_ms = self._clock.now_ms - self._lease_granted_at_ms
        if self._lease and age_ms < ARCHIVE_LEASE_ROTATION_MS:
            return Ok(None)
        granted = await self._platform.grant_lease(ARCHIVE_LEASE_TTL_MS)
        if isinstance(granted, Err):
            return granted
        self._lease = granted.ok_value
        self._lease_granted_at_ms = self._clock.now_ms
        return Ok(None)

    def _fail_gathered(self, failure: Failure) -> None:
        gathered, self._gathered = self._gathered, []
        for _, written in gathered:
            written.callback(Err(failure))


async def seal_head(platform: Platform, name: EntryHostName) -> Result[None, Failure]:
    """Seals another entry host's head, whatever it writes meanwhile."""
    while True:
        found = await platform.get(head_key(name))
        if isinstance(found, Err):
            return found.map(lambda _: None)
        head = msgspec.convert(found.ok_value.value, ClaimHead)
        if head.sealed:
            return Ok(None)
        sealed = msgspec.to_builtins(msgspec.structs.replace(head, sealed=True))
        written = await platform.put(head_key(name), sealed, found.ok_value.version)
        if isinstance(written, Ok):
            return Ok(None)
        if written.err_value.kind is not FailureKind.CONFLICT:
            return Err(written.err_value)


def _closed_failure(name: EntryHostName) -> Failure:
    return Failure(FailureKind.CONFLICT, "claim", "platform", f"the claims of {name} are closed")
