"""Moves the records of ended jobs from the shared state to the platform's archive."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok

from jujubehall.core.jobs.job import archive_key
from jujubehall.core.jobs.job import job_key
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Version
from jujubehall.platform.entry import Entry
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.services.zone_context import ZoneContext
    from jujubehall.services.zone_owner import ZoneOwner

ARCHIVE_AFTER_MS = 180_000
"""Time for which an ended job stays in the state that every entry host caches."""

ARCHIVE_RETENTION_MS = 7 * 24 * 3_600_000
"""Lease duration of archived records; the platform deletes a record when its lease expires."""

LEASE_REUSE_PERIOD_MS = 3_600_000
"""Records archived within this time share one lease."""

SWEEP_INTERVAL_MS = 5_000
MAX_RECORDS_PER_SWEEP = 50
ABSENT = Version(0)


class JobArchiver:
    """Archives the ended jobs of one owned zone.

    The archived copy is written before the record is deleted. A reader that reads the record first
    and the archive second therefore finds at least one of them.
    """

    def __init__(self, context: ZoneContext, owner: ZoneOwner) -> None:
        self._context = context
        self._owner = owner
        self._lease_id = ""
        self._lease_granted_at_ms = 0

    async def run(self) -> None:
        """Archives ended jobs periodically while this entry host owns the zone."""
        while self._owner.is_active:
            await sleep(self._context.reactor, SWEEP_INTERVAL_MS)
            ended = self._context.index.ended_jobs(self._owner.zone, ARCHIVE_AFTER_MS)
            for record in ended[:MAX_RECORDS_PER_SWEEP]:
                if not self._owner.is_active or not await self._archive_record(record):
                    break

    async def _archive_record(self, record: JobRecord) -> bool:
        if self._owner.gangs.get(record.id) is not None:
            # Some of the job's parts are still being stopped.
            return True
        lease = await self._get_lease()
        if lease is None:
            return False
        payload = msgspec.to_builtins(record)
        platform = self._context.platform
        written = await platform.put(archive_key(record.id), payload, ABSENT, lease)
        if isinstance(written, Err) and not await self._is_archived(record):
            return False
        return await self._delete_record(record)

    async def _is_archived(self, record: JobRecord) -> bool:
        found = await self._context.platform.get(archive_key(record.id))
        if isinstance(found, Err):
            self._lease_id = ""
            return False
        return True

    async def _delete_record(self, record: JobRecord) -> bool:
        key = job_key(record.id)
        version = self._context.cache.version(key)
        deleted = await self._context.platform.delete(key, version)
        if isinstance(deleted, Ok):
            self._context.cache.apply(Entry(key, None, Version(version + 1), deleted=True))
        return isinstance(deleted, Ok) or deleted.err_value.kind is FailureKind.CONFLICT

    async def _get_lease(self) -> str | None:
        now_ms = self._context.clock.now_ms
        if self._lease_id and now_ms - self._lease_granted_at_ms < LEASE_REUSE_PERIOD_MS:
            return self._lease_id
        granted = await self._context.platform.grant_lease(ARCHIVE_RETENTION_MS)
        if isinstance(granted, Err):
            return None
        self._lease_id = granted.ok_value
        self._lease_granted_at_ms = now_ms
        return self._lease_id
