"""Writes archives of claims and records of lost claims, which lapse by a platform lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.requests.claim_records import MAX_CLAIMS_IN_ARCHIVE
from jujubehall.core.requests.claim_records import ClaimArchive
from jujubehall.core.requests.claim_records import LostClaims
from jujubehall.core.requests.claim_records import archive_key
from jujubehall.core.requests.claim_records import lost_key
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Version

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Incarnation
    from jujubehall.platform.interface import Platform

ARCHIVE_LEASE_TTL_MS = 720_000
ARCHIVE_LEASE_ROTATION_MS = 60_000
ABSENT = Version(0)


class ClaimArchives:
    """The archives that one incarnation of an entry host writes."""

    def __init__(
        self, platform: Platform, clock: Clock, name: EntryHostName, incarnation: Incarnation
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._archives = 0
        self._lease = ""
        self._lease_granted_at_ms = 0

    async def archive(self, claims: tuple[int, ...]) -> Result[None, Failure]:
        """Records claims that don't fit into the head."""
        for first in range(0, len(claims), MAX_CLAIMS_IN_ARCHIVE):
            archived = await self._archive_one(claims[first : first + MAX_CLAIMS_IN_ARCHIVE])
            if isinstance(archived, Err):
                return archived
        return Ok(None)

    async def record_loss(
        self, incarnation: Incarnation, shards: tuple[int, ...]
    ) -> Result[None, Failure]:
        """Records that claims of ``shards`` were lost with the memory of an earlier owner."""
        leased = await self._ensure_lease()
        if isinstance(leased, Err):
            return leased
        value = msgspec.to_builtins(LostClaims(incarnation, shards))
        written = await self._platform.put(lost_key(incarnation), value, ABSENT, self._lease)
        if isinstance(written, Err) and written.err_value.kind is FailureKind.CONFLICT:
            return Ok(None)
        return written.map(lambda _: None)

    async def _archive_one(self, claims: tuple[int, ...]) -> Result[None, Failure]:
        leased = await self._ensure_lease()
        if isinstance(leased, Err):
            return leased
        key = archive_key(self._name, self._incarnation, self._archives)
        self._archives += 1
        value = msgspec.to_builtins(ClaimArchive(self._incarnation, claims))
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
