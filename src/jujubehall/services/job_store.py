"""Writes the records of jobs by compare-and-swap, and settles writes whose answers were lost."""

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
from jujubehall.services.timing import BackOff
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Reactor
    from jujubehall.errors import Failure
    from jujubehall.identifiers import Version
    from jujubehall.platform.interface import Platform
    from jujubehall.services.state_cache import StateCache


class JobStore:
    """Every write carries the version of the record on which it was decided.

    A write whose answer was lost is settled by reading the record back. While the platform can't
    be reached the write is repeated with back-off, so that nothing that happened is forgotten.
    """

    def __init__(
        self, reactor: Reactor, platform: Platform, cache: StateCache, random: Random
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._cache = cache
        self._random = random
        self.writes = 0

    async def write(
        self, record: JobRecord, version: Version, is_wanted: Callable[[], bool]
    ) -> RecordWritten | RecordChanged | None:
        """Writes until it is known what became of it; None if it is no longer wanted."""
        back_off = BackOff(self._random)
        while is_wanted():
            written = await self.put(record, version)
            if isinstance(written, Ok):
                return RecordWritten(written.ok_value)
            if written.err_value.kind in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
                settled = await self._settle(record, version)
                if settled is not None:
                    return settled
            await sleep(self._reactor, back_off.next_ms())
        return None

    async def put(self, record: JobRecord, version: Version) -> Result[Version, Failure]:
        """Tries one write; a success is seen in the cache at once."""
        self.writes += 1
        key = job_key(record.id)
        plain = msgspec.to_builtins(record)
        written = await self._platform.put(key, plain, version)
        if isinstance(written, Ok):
            self._cache.apply(Entry(key, plain, written.ok_value))
        return written

    async def read(self, key: str) -> Result[tuple[JobRecord, Version], Failure]:
        """Reads a record from the platform, so that it is not older than the call."""
        found = await self._platform.get(key)
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        if key.startswith(JOBS_PREFIX):
            self._cache.apply(entry)
        return Ok((msgspec.convert(entry.value, JobRecord), entry.version))

    async def _settle(
        self, record: JobRecord, version: Version
    ) -> RecordWritten | RecordChanged | None:
        found = await self.read(job_key(record.id))
        if isinstance(found, Err):
            if found.err_value.kind is FailureKind.NOT_FOUND and version:
                return RecordChanged(None, version, write_failed=True)
            return None
        present, present_version = found.ok_value
        if present == record:
            return RecordWritten(present_version)
        if present_version != version:
            return RecordChanged(present, present_version, write_failed=True)
        return None
