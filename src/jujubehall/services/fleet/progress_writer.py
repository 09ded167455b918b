"""Writes the progress of jobs to the store, fenced by the owner record."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import structlog

from result import Err
from twisted.internet.defer import Deferred

from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import MAX_COMMIT_ROWS
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import Precondition
from jujubehall.platform.site_store import Write
from jujubehall.services.async_utils import ERROR_RETRY_DELAY_MS
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import progress_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.jobs import JobProgress
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.identifiers import JobId
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore

JOBS_PER_COMMIT = (MAX_COMMIT_ROWS - 1) // 2
"""Each job takes two rows, a precondition and a write; one more row is for the owner record."""

BATCH_DELAY_MS = 5
"""Delay before a batch is written. Ends of runs arrive in bursts, so batching them saves commits.
Starts of runs wait for the write, and so for this delay, too."""

COMMIT_RETRY_INTERVAL_MS = 250
COMMIT_TIMEOUT_MS = 1_000

log = structlog.get_logger()


class _Batch(NamedTuple):
    jobs: list[FleetJob]
    progress: list[JobProgress]


class ProgressWriter:
    """Writes changed jobs in batches, one commit at a time.

    Each commit requires the owner record of this term and the revision of each progress record
    that this writer last saw. So a write that got no answer and takes effect late can't overwrite
    a later one.
    """

    def __init__(
        self,
        reactor: Reactor,
        store: SiteStore,
        fleet_state: FleetState,
        owner_revision: Revision,
        revisions: dict[JobId, Revision],
        on_fenced: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._fleet_state = fleet_state
        self._owner_revision = owner_revision
        self._revisions = revisions
        self._on_fenced = on_fenced
        self._is_writing = False
        self._is_closed = False
        self._flush_waiters: list[Deferred[None]] = []

    def close(self) -> None:
        """Stops writing."""
        self._is_closed = True

    def schedule_write(self) -> None:
        """Starts writing if a job has changed or a flush is awaited."""
        if (
            not self._is_writing
            and not self._is_closed
            and (self._fleet_state.unsaved_jobs or self._flush_waiters)
        ):
            self._is_writing = True
            run_in_background(self._write_all())

    def flushed(self) -> Deferred[None]:
        """Returns a deferred that fires once all changes made so far are stored."""
        waiter: Deferred[None] = Deferred()
        self._flush_waiters.append(waiter)
        self.schedule_write()
        return waiter

    async def _write_all(self) -> None:
        try:
            await self._write_changes()
        finally:
            self._is_writing = False

    async def _write_changes(self) -> None:
        await sleep(self._reactor, BATCH_DELAY_MS)
        while (self._fleet_state.unsaved_jobs or self._flush_waiters) and not self._is_closed:
            waiters, self._flush_waiters = self._flush_waiters, []
            pending = list(self._fleet_state.unsaved_jobs)
            self._fleet_state.unsaved_jobs.clear()
            try:
                for first in range(0, len(pending), JOBS_PER_COMMIT):
                    await self._write(pending[first : first + JOBS_PER_COMMIT])
            except Exception as error:
                log.error("writing job progress failed unexpectedly", error=repr(error))
                # A later flush must include these jobs, or their ends would be confirmed unstored.
                self._fleet_state.unsaved_jobs.update(pending)
                self._flush_waiters[:0] = waiters
                await sleep(self._reactor, ERROR_RETRY_DELAY_MS)
                continue
            if self._is_closed:
                return
            for waiter in waiters:
                if not waiter.called:
                    waiter.callback(None)

    async def _write(self, jobs: list[FleetJob]) -> None:
        batch = _Batch(jobs, [job.progress() for job in jobs])
        while not self._is_closed:
            outcome = await self._store.commit(
                [
                    Precondition(OWNER_KEY, self._owner_revision),
                    *(
                        Precondition(progress_key(job.accepted.id), self._revision(job))
                        for job in jobs
                    ),
                ],
                [
                    Write(progress_key(job.accepted.id), msgspec.json.encode(progress))
                    for job, progress in zip(batch.jobs, batch.progress, strict=True)
                ],
                [],
                COMMIT_TIMEOUT_MS,
            )
            if isinstance(outcome, Err):
                log.warning(
                    "writing job progress failed; retrying",
                    jobs=len(jobs),
                    failure=str(outcome.err_value),
                )
                await sleep(self._reactor, COMMIT_RETRY_INTERVAL_MS)
            elif isinstance(outcome.ok_value, Conflict):
                if not self._resolve_conflict(outcome.ok_value, jobs):
                    return
            else:
                self._record_written(batch, outcome.ok_value)
                return

    def _revision(self, job: FleetJob) -> Revision:
        return self._revisions.get(job.accepted.id, ABSENT)

    def _record_written(self, batch: _Batch, revision: Revision) -> None:
        for job, progress in zip(batch.jobs, batch.progress, strict=True):
            self._revisions[job.accepted.id] = revision
            if progress.state is not job.stored_state:
                log.info("job state kept", job=job.id, state=progress.state.value)
            job.stored_state = progress.state

    def _resolve_conflict(self, conflict: Conflict, jobs: list[FleetJob]) -> bool:
        """Records the current revisions; returns False if another owner has taken over."""
        current_revisions = {
            item.key: item.revision for item in conflict.items if not item.is_deleted
        }
        if current_revisions.get(OWNER_KEY) != self._owner_revision:
            self.close()
            self._on_fenced()
            return False
        for job in jobs:
            self._revisions[job.accepted.id] = current_revisions.get(
                progress_key(job.accepted.id), ABSENT
            )
        return True
