"""Keeps the progress of jobs in the store, under the fence of the owner's record."""

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
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import progress_key
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.book import FleetBook
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.jobs import JobProgress
    from jujubehall.identifiers import JobId
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore

JOBS_PER_COMMIT = (MAX_COMMIT_ROWS - 1) // 2
"""Each job takes a precondition and a write; one row is the owner's."""

GATHER_MS = 5
"""Ends arrive in bursts; gathering them for a moment saves commits. Starts wait for it, too."""

RETRY_INTERVAL_MS = 250
COMMIT_TIMEOUT_MS = 1_000

log = structlog.get_logger()


class _Batch(NamedTuple):
    jobs: list[FleetJob]
    progress: list[JobProgress]


class ProgressWriter:
    """Writes changed jobs in batches, one commit at a time.

    A commit holds only while the owner record is the one of this term, and each record only
    if it has the revision that this writer last saw: a write that got no answer and is carried out
    late can't undo a later one.
    """

    def __init__(
        self,
        reactor: Reactor,
        store: SiteStore,
        book: FleetBook,
        owner_revision: Revision,
        revisions: dict[JobId, Revision],
        on_fenced: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._book = book
        self._owner_revision = owner_revision
        self._revisions = revisions
        self._on_fenced = on_fenced
        self._is_writing = False
        self._is_closed = False
        self._waiting: list[Deferred[None]] = []

    def close(self) -> None:
        """Writes nothing any more."""
        self._is_closed = True

    def poke(self) -> None:
        """Starts writing if anything has changed."""
        if not self._is_writing and not self._is_closed and (self._book.changed or self._waiting):
            self._is_writing = True
            start(self._write_all())

    def flushed(self) -> Deferred[None]:
        """Fires once everything that has changed by now is kept."""
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        self.poke()
        return waiting

    async def _write_all(self) -> None:
        try:
            await self._write_changes()
        finally:
            self._is_writing = False

    async def _write_changes(self) -> None:
        await sleep(self._reactor, GATHER_MS)
        while (self._book.changed or self._waiting) and not self._is_closed:
            waiting, self._waiting = self._waiting, []
            pending = list(self._book.changed)
            self._book.changed.clear()
            for first in range(0, len(pending), JOBS_PER_COMMIT):
                await self._write(pending[first : first + JOBS_PER_COMMIT])
            if self._is_closed:
                return
            for each in waiting:
                if not each.called:
                    each.callback(None)

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
                log.warning("progress not kept yet", jobs=len(jobs), failure=str(outcome.err_value))
                await sleep(self._reactor, RETRY_INTERVAL_MS)
            elif isinstance(outcome.ok_value, Conflict):
                if not self._settle_conflict(outcome.ok_value, jobs):
                    return
            else:
                self._note_kept(batch, outcome.ok_value)
                return

    def _revision(self, job: FleetJob) -> Revision:
        return self._revisions.get(job.accepted.id, ABSENT)

    def _note_kept(self, batch: _Batch, revision: Revision) -> None:
        for job, progress in zip(batch.jobs, batch.progress, strict=True):
            self._revisions[job.accepted.id] = revision
            if progress.state is not job.kept_state:
                log.info("job state kept", job=job.id, state=progress.state.value)
            job.kept_state = progress.state

    def _settle_conflict(self, conflict: Conflict, jobs: list[FleetJob]) -> bool:
        """Learns the present revisions; False if another owner has taken over."""
        found = {item.key: item.revision for item in conflict.items if not item.is_deleted}
        if found.get(OWNER_KEY) != self._owner_revision:
            self.close()
            self._on_fenced()
            return False
        for job in jobs:
            self._revisions[job.accepted.id] = found.get(progress_key(job.accepted.id), ABSENT)
        return True
