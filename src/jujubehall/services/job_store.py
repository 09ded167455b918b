"""Writes job records by compare-and-swap and resolves writes whose responses were lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.jobs.gang_messages import RecordChanged
from jujubehall.core.jobs.gang_messages import RecordWritten
from jujubehall.core.jobs.job import JOBS_PREFIX
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import job_key
from jujubehall.errors import FailureKind
from jujubehall.platform.entry import Entry
from jujubehall.services.async_utils import BackOff
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Reactor
    from jujubehall.errors import Failure
    from jujubehall.identifiers import Version
    from jujubehall.platform.interface import Platform
    from jujubehall.services.state_cache import StateCache


class JobStore:
    """Reads and writes job records on the platform.

    Every write is conditional on the version of the record on which the change is based. If the
    response to a write is lost, its outcome is resolved by reading the record back. While the
    platform is unreachable the write is retried with back-off, so that no change is lost.
    """

    def __init__(
        self, reactor: Reactor, platform: Platform, cache: StateCache, random: Random
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._cache = cache
        self._random = random
        self.write_attempts = 0

    async def write(
        self, record: JobRecord, version: Version, should_continue: Callable[[], bool]
    ) -> RecordWritten | RecordChanged | None:
        """Retries a write until its outcome is known.

        Returns None if ``should_continue`` becomes false before that.
        """
        back_off = BackOff(self._random)
        while should_continue():
            written = await self.put(record, version)
            if isinstance(written, Ok):
                return RecordWritten(written.ok_value)
            if written.err_value.kind in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
                resolved = await self._resolve_unknown_write(record, version)
                if resolved is not None:
                    return resolved
            await sleep(self._reactor, back_off.next_delay_ms())
        return None

    async def put(self, record: JobRecord, version: Version) -> Result[Version, Failure]:
        """Attempts one write. On success the cache is updated at once."""
        self.write_attempts += 1
        key = job_key(record.id)
        payload = msgspec.to_builtins(record)
        written = await self._platform.put(key, payload, version)
        if isinstance(written, Ok):
            self._cache.apply(Entry(key, payload, written.ok_value))
        return written

    async def read(self, key: str) -> Result[tuple[JobRecord, Version], Failure]:
        """Reads a record from the platform; the result is not older than the call."""
        found = await self._platform.get(key)
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        if key.startswith(JOBS_PREFIX):
            self._cache.apply(entry)
        return Ok((msgspec.convert(entry.value, JobRecord), entry.version))

    async def _resolve_unknown_write(
        self, record: JobRecord, version: Version
    ) -> RecordWritten | RecordChanged | None:
        found = await self.read(job_key(record.id))
        if isinstance(found, Err):
            if found.err_value.kind is FailureKind.NOT_FOUND and version:
                return RecordChanged(None, version, write_failed=True)
            return None
        current, current_version = found.ok_value
        if current == record:
            return RecordWritten(current_version)
        if current_version != version:
            return RecordChanged(current, current_version, write_failed=True)
        return None
