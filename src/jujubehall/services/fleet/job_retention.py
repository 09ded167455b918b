"""Removes ended jobs once their state no longer has to be available to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err

from jujubehall.platform.site_store import MAX_COMMIT_ROWS
from jujubehall.platform.site_store import Precondition
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import job_key
from jujubehall.services.fleet.records import progress_key
from jujubehall.services.fleet.records import progress_part_key

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.identifiers import JobId
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore

DELETE_TIMEOUT_MS = 1_000
MAX_KEYS = MAX_COMMIT_ROWS - 1
"""Keys that one commit can delete beside its precondition."""

log = structlog.get_logger()


class JobRetention:
    """Removes ended jobs from the scheduling state, then their records from the store.

    A list or notice that was under way meanwhile may still contain the record of a removed job,
    which must not be accepted again: the job would run a second time.
    """

    def __init__(
        self,
        clock: Clock,
        store: SiteStore,
        fleet_state: FleetState,
        owner_revision: Revision,
        retention_ms: int,
    ) -> None:
        self._clock = clock
        self._store = store
        self._fleet_state = fleet_state
        self._owner_revision = owner_revision
        self._retention_ms = retention_ms
        self._removed_ms: dict[JobId, int] = {}
        """When each job was removed; forgotten a retention time after its records were deleted."""

        self._undeleted_parts: dict[JobId, list[str]] = {}
        """The jobs whose records haven't been deleted yet, with the keys of the parts of their
        progress other than the main one."""

    def is_removed(self, job: JobId) -> bool:
        """Returns whether the job has been removed in this term."""
        return job in self._removed_ms

    async def clean_up(self) -> None:
        """Removes the jobs whose retention time has passed; repeats deletes that failed."""
        now_ms = self._clock.now_ms
        before_ms = now_ms - self._retention_ms
        for job in self._fleet_state.remove_ended_jobs(before_ms):
            log.info("ended job removed", job=job.id)
            self._removed_ms[job.accepted.id] = now_ms
            self._undeleted_parts[job.id] = [
                progress_part_key(job.id, part) for part in sorted(job.stored_parts)
            ]
        for removed in sorted(self._undeleted_parts):
            await self._delete_records(removed)
        for removed, removed_ms in list(self._removed_ms.items()):
            if removed_ms < before_ms and removed not in self._undeleted_parts:
                del self._removed_ms[removed]

    async def _delete_records(self, job: JobId) -> None:
        parts = self._undeleted_parts[job]
        commits = [parts[first : first + MAX_KEYS] for first in range(0, len(parts), MAX_KEYS)]
        # The state is deleted last and together with the job, which would otherwise run again.
        commits.append([job_key(job), progress_key(job)])
        for keys in commits:
            deleted = await self._store.commit(
                [Precondition(OWNER_KEY, self._owner_revision)], [], keys, DELETE_TIMEOUT_MS
            )
            if isinstance(deleted, Err):
                log.warning("deleting job records failed", job=job, failure=str(deleted.err_value))
                return
        del self._undeleted_parts[job]
