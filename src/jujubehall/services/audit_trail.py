"""Reads and writes the segments of the configuration audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.configuration.audit import AuditSegment
from jujubehall.core.configuration.audit import segment_key
from jujubehall.core.configuration.audit import segment_of
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Version

if TYPE_CHECKING:
    from jujubehall.core.configuration.document import AuditEntry
    from jujubehall.core.configuration.document import Configuration
    from jujubehall.platform.interface import Platform

ABSENT = Version(0)
"""The expected version of a key that must not exist yet."""


class AuditTrail:
    """Combines the recent entries in the configuration with the older ones in stored segments."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def write(self, segment: AuditSegment) -> Result[None, Failure]:
        """Writes an immutable segment.

        The write is idempotent: it succeeds if the same segment is already stored, whichever
        entry host wrote it. It fails with ``CONFLICT`` if the key holds other entries.
        """
        key = segment_key(segment.number)
        written = await self._platform.put(key, msgspec.to_builtins(segment), ABSENT)
        if isinstance(written, Ok):
            return Ok(None)
        failure = written.err_value
        if failure.kind not in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
            return Err(failure)
        found = await self._read(segment.number)
        if isinstance(found, Err):
            return Err(failure)
        if found.ok_value != segment:
            detail = f"{key} already holds different audit entries than the configuration"
            return Err(Failure(FailureKind.CONFLICT, "write audit segment", "platform", detail))
        return Ok(None)

    async def latest(
        self, configuration: Configuration, limit: int
    ) -> Result[tuple[AuditEntry, ...], Failure]:
        """Returns the latest ``limit`` entries up to ``configuration``, oldest first.

        Reads as many stored segments as are needed, and fails if one of them can't be read.
        """
        entries = configuration.audit
        while len(entries) < limit:
            first = entries[0].number if entries else configuration.number + 1
            if first <= 1:
                break
            segment = await self._read(segment_of(first - 1))
            if isinstance(segment, Err):
                return segment
            entries = (*segment.ok_value.entries, *entries)
        return Ok(entries[max(0, len(entries) - limit) :])

    async def _read(self, number: int) -> Result[AuditSegment, Failure]:
        found = await self._platform.get(segment_key(number))
        return found.map(lambda entry: msgspec.convert(entry.value, AuditSegment))
