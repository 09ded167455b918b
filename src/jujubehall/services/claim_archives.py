"""Writes claim archives and lost-claim records.

Both are attached to a platform lease, so that the platform deletes them when it expires.
"""

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
"""The expected version of a key that must not exist yet."""


class ClaimArchives:
    """Writes the claim archives of one incarnation of an entry host."""

    def __init__(
        self, platform: Platform, clock: Clock, name: EntryHostName, incarnation: Incarnation
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._next_archive_number = 0
        self._lease = ""
        self._lease_granted_at_ms = 0

    async def archive(self, claims: tuple[int, ...]) -> Result[None, Failure]:
        """Writes claims that don't fit into the head, split into as many archives as needed."""
        for first in range(0, len(claims), MAX_CLAIMS_IN_ARCHIVE):
            archived = await self._write_archive(claims[first : first + MAX_CLAIMS_IN_ARCHIVE])
            if isinstance(archived, Err):
                return archived
        return Ok(None)

    async def record_loss(
        self, incarnation: Incarnation, shards: tuple[int, ...]
    ) -> Result[None, Failure]:
        """Records that in-memory claims of an earlier owner of ``shards`` were lost.

        ``incarnation`` is that owner. The call succeeds if the loss is recorded already.
        """
        leased = await self._ensure_lease()
        if isinstance(leased, Err):
            return leased
        value = msgspec.to_builtins(LostClaims(incarnation, shards))
        written = await self._platform.put(lost_key(incarnation), value, ABSENT, self._lease)
        if isinstance(written, Err) and written.err_value.kind is FailureKind.CONFLICT:
            return Ok(None)
        return written.map(lambda _: None)

    async def _write_archive(self, claims: tuple[int, ...]) -> Result[None, Failure]:
        leased = await self._ensure_lease()
        if isinstance(leased, Err):
            return leased
        key = archive_key(self._name, self._incarnation, self._next_archive_number)
        self._next_archive_number += 1
        value = msgspec.to_builtins(ClaimArchive(self._incarnation, claims))
        written = await self._platform.put(key, value, ABSENT, self._lease)
        return written.map(lambda _: None)

    async def _ensure_lease(self) -> Result[None, Failure]:
        # Archives are grouped under a new lease each minute, so that the platform deletes old ones
        # without a call from this process.
        age_ms = self._clock.now_ms - self._lease_granted_at_ms
        if self._lease and age_ms < ARCHIVE_LEASE_ROTATION_MS:
            return Ok(None)
        granted = await self._platform.grant_lease(ARCHIVE_LEASE_TTL_MS)
        if isinstance(granted, Err):
            return granted
        self._lease = granted.ok_value
        self._lease_granted_at_ms = self._clock.now_ms
        return Ok(None)
