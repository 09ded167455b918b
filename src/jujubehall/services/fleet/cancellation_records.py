"""Keeps cancellations for jobs that may still be created, and removes their records in time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

from result import Err

from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import MAX_COMMIT_ROWS
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import Precondition
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import cancellation_key
from jujubehall.services.fleet.records import job_key

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.identifiers import JobId
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore

MAX_CANCELLATIONS = 16_384
"""Number of kept cancellations from which those of unknown jobs are refused. Leaves room for the
cancellation of each of 11,000 running tasks as a job of its own."""

MIN_RETENTION_MS = 60_000
"""Shortest time for which a cancellation is kept. A submission takes effect at most 13 s after its
call: 3 s of attempts, 4 s on the way to a relaying entry host, 6 s in the store. The rest is for
hosts that stand still meanwhile."""

DELETE_TIMEOUT_MS = 1_000
ROWS_PER_CANCELLATION = 3
"""Two preconditions and a delete."""

CANCELLATIONS_PER_COMMIT = (MAX_COMMIT_ROWS - 1) // ROWS_PER_CANCELLATION
"""One more row is for the owner record."""

log = structlog.get_logger()


class _KeptCancellation(NamedTuple):
    revision: Revision
    """The revision of the record; ``ABSENT`` while only a notification of it has arrived."""

    noted_ms: int


class CancellationRecords:
    """The cancellations that the owner knows, of jobs that exist or may still be created.

    A submission that got no answer may create its job seconds after the job was cancelled. Each
    cancellation is therefore kept for the retention time of ended jobs after the owner has learned
    of it, and for as long as there is a record of its job.

    A record is deleted only if it hasn't been written again and its job doesn't exist. So a delete
    that takes effect late can't remove a cancellation that was acknowledged in the meantime.
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
        self._retention_ms = max(retention_ms, MIN_RETENTION_MS)
        self._kept: dict[JobId, _KeptCancellation] = {}

    @property
    def count(self) -> int:
        """The number of cancellations that are kept."""
        return len(self._kept)

    @property
    def is_full(self) -> bool:
        """Whether cancellations of unknown jobs are to be refused."""
        return self.count >= MAX_CANCELLATIONS

    def is_cancelled(self, job: JobId) -> bool:
        """Returns whether a cancellation of the job is kept."""
        return job in self._kept

    def note(self, job: JobId, revision: Revision) -> None:
        """Notes a cancellation that is stored; ``revision`` is ``ABSENT`` if it isn't known."""
        known = self._kept.get(job)
        if known is not None and revision <= known.revision:
            return
        if known is None and job not in self._fleet_state.jobs:
            log.info("cancellation of unknown job kept", job=job)
        self._keep(job, revision)

    async def clean_up(self) -> None:
        """Deletes the records whose retention time has passed; failed deletes are repeated later."""
        before_ms = self._clock.now_ms - self._retention_ms
        expired = [
            job
            for job, kept in self._kept.items()
            if kept.noted_ms < before_ms and job not in self._fleet_state.jobs
        ]
        for first in range(0, len(expired), CANCELLATIONS_PER_COMMIT):
            if not await self._delete(expired[first : first + CANCELLATIONS_PER_COMMIT]):
                return

    async def _delete(self, jobs: list[JobId]) -> bool:
        """Deletes records in one commit; returns False if the store or the ownership is lost."""
        kept = {job: self._kept[job] for job in jobs}
        deleted = await self._store.commit(
            [
                Precondition(OWNER_KEY, self._owner_revision),
                *(Precondition(cancellation_key(job), kept[job].revision) for job in jobs),
                *(Precondition(job_key(job), ABSENT) for job in jobs),
            ],
            [],
            [cancellation_key(job) for job in jobs],
            DELETE_TIMEOUT_MS,
        )
        if isinstance(deleted, Err):
            log.warning(
                "deleting cancellations failed", records=len(jobs), failure=str(deleted.err_value)
            )
            return False
        if isinstance(deleted.ok_value, Conflict):
            return self._resolve_conflict(deleted.ok_value, kept)
        for job in jobs:
            self._forget(job, kept[job])
        log.info("cancellations removed", records=len(jobs))
        return True

    def _resolve_conflict(
        self, conflict: Conflict, expected: dict[JobId, _KeptCancellation]
    ) -> bool:
        """Notes what has changed; returns False if another owner has taken over.

        The records that haven't changed are deleted by the next clean-up.
        """
        revisions = {item.key: item.revision for item in conflict.items if not item.is_deleted}
        if revisions.get(OWNER_KEY) != self._owner_revision:
            return False
        for job, kept in expected.items():
            revision = revisions.get(cancellation_key(job), ABSENT)
            if revision == ABSENT:
                self._forget(job, kept)
            elif revision != kept.revision or job_key(job) in revisions:
                self._keep(job, max(revision, self._kept[job].revision))
        return True

    def _keep(self, job: JobId, revision: Revision) -> None:
        self._kept[job] = _KeptCancellation(revision, self._clock.now_ms)

    def _forget(self, job: JobId, kept: _KeptCancellation) -> None:
        """Forgets a cancellation, unless it has been noted again during the delete."""
        if self._kept[job] == kept:
            del self._kept[job]
