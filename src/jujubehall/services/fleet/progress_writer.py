"""Writes the progress of jobs to the store, fenced by the owner record."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import structlog

from result import Err
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.core.fleet.jobs import JobProgress
from jujubehall.core.fleet.progress_parts import MAIN_PART
from jujubehall.errors import FailureKind
from jujubehall.metrics import PROGRESS_REFUSALS
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import MAX_COMMIT_ROWS
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import Precondition
from jujubehall.platform.site_store import Write
from jujubehall.services.async_utils import ERROR_RETRY_DELAY_MS
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import progress_part_key

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.jobs import PartProgress
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.errors import Failure
    from jujubehall.identifiers import JobId
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore

RECORDS_PER_COMMIT = (MAX_COMMIT_ROWS - 1) // 2
"""Each record takes two rows, a precondition and a write; one more row is for the owner record."""

MAX_COMMIT_BYTES = 256 * 1024
"""A commit of this size takes about 0.6 s on a link of 5 Mbit/s, within ``COMMIT_TIMEOUT_MS``."""

BATCH_DELAY_MS = 5
"""Delay before a batch is written. Ends of runs arrive in bursts, so batching them saves commits.
Starts of runs wait for the write, and so for this delay, too."""

COMMIT_RETRY_INTERVAL_MS = 250
COMMIT_TIMEOUT_MS = 1_000
REFUSED_RETRY_INTERVAL_MS = 2_000
"""Interval between the attempts to write a record that the store refuses for good."""

log = structlog.get_logger()


class _Record(NamedTuple):
    """The state of a job with the main part of its progress, or another part of its progress."""

    job: FleetJob
    part: int
    progress: JobProgress | PartProgress
    value: bytes

    @property
    def key(self) -> str:
        return progress_part_key(self.job.id, self.part)


class ProgressWriter:
    """Writes the changed progress of jobs in batches, one commit at a time.

    Each commit requires the owner record of this term and the revision of each progress record
    that this writer last saw. So a write that got no answer and takes effect late can't overwrite
    a later one.

    A record that the store refuses for good, such as one that is too large, is set aside and tried
    again at long intervals, so that it holds up no other job.
    """

    def __init__(
        self,
        reactor: Reactor,
        store: SiteStore,
        fleet_state: FleetState,
        owner_revision: Revision,
        revisions: dict[str, Revision],
        on_fenced: Callable[[], None],
    ) -> None:
        self._reactor: Any = reactor
        self._store = store
        self._fleet_state = fleet_state
        self._owner_revision = owner_revision
        self._revisions = revisions
        """The revision of each progress record by its key."""

        self._on_fenced = on_fenced
        self._is_writing = False
        self._is_closed = False
        self._flush_waiters: list[Deferred[None]] = []
        self._refused_parts: dict[JobId, set[int]] = {}

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
        """Returns a deferred that fires once all changes made so far are stored.

        Those of jobs for which ``is_refused`` is true then are not stored.
        """
        waiter: Deferred[None] = Deferred()
        self._flush_waiters.append(waiter)
        self.schedule_write()
        return waiter

    def is_refused(self, job: JobId) -> bool:
        """Returns whether the store has refused the latest progress of a job."""
        return job in self._refused_parts

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
            taken: list[_Record] = []
            try:
                for batch in _batches(_take_records(pending, taken)):
                    await self._write(batch)
            except Exception as error:
                log.error("writing job progress failed unexpectedly", error=repr(error))
                # A later flush must include these jobs, or their ends would be confirmed unstored.
                for record in taken:
                    record.job.unsaved_parts.add(record.part)
                self._fleet_state.unsaved_jobs.update(pending)
                self._flush_waiters[:0] = waiters
                await sleep(self._reactor, ERROR_RETRY_DELAY_MS)
                continue
            if self._is_closed:
                return
            for waiter in waiters:
                if not waiter.called:
                    waiter.callback(None)

    async def _write(self, records: list[_Record]) -> None:
        while not self._is_closed:
            outcome = await self._store.commit(
                [
                    Precondition(OWNER_KEY, self._owner_revision),
                    *(Precondition(each.key, self._revision(each)) for each in records),
                ],
                [Write(each.key, each.value) for each in records],
                [],
                COMMIT_TIMEOUT_MS,
            )
            if isinstance(outcome, Err):
                if outcome.err_value.kind is FailureKind.INVALID:
                    await self._isolate_refused(records, outcome.err_value)
                    return
                log.warning(
                    "writing job progress failed; retrying",
                    records=len(records),
                    failure=str(outcome.err_value),
                )
                await sleep(self._reactor, COMMIT_RETRY_INTERVAL_MS)
            elif isinstance(outcome.ok_value, Conflict):
                if not self._resolve_conflict(outcome.ok_value, records):
                    return
            else:
                for each in records:
                    self._record_written(each, outcome.ok_value)
                return

    async def _isolate_refused(self, records: list[_Record], failure: Failure) -> None:
        """Sets a refused record aside; of several, writes each half by itself."""
        if len(records) == 1:
            self._set_aside(records[0], failure)
            return
        middle = len(records) // 2
        await self._write(records[:middle])
        await self._write(records[middle:])

    def _set_aside(self, record: _Record, failure: Failure) -> None:
        job = record.job
        PROGRESS_REFUSALS.inc({})
        if record.part not in self._refused_parts.get(job.id, ()):
            log.error(
                "job progress refused by the store",
                job=job.id,
                part=record.part,
                value_bytes=len(record.value),
                failure=str(failure),
            )
        self._refused_parts.setdefault(job.id, set()).add(record.part)
        job.unsaved_parts.add(record.part)
        self._reactor.callLater(
            to_seconds(REFUSED_RETRY_INTERVAL_MS), lambda: self._retry_refused(job)
        )

    def _retry_refused(self, job: FleetJob) -> None:
        if self.is_refused(job.id) and not self._is_closed:
            self._fleet_state.unsaved_jobs.add(job)
            self.schedule_write()

    def _revision(self, record: _Record) -> Revision:
        return self._revisions.get(record.key, ABSENT)

    def _record_written(self, record: _Record, revision: Revision) -> None:
        self._revisions[record.key] = revision
        job, progress = record.job, record.progress
        refused = self._refused_parts.get(job.id, set())
        refused.discard(record.part)
        if not isinstance(progress, JobProgress):
            job.stored_parts.add(record.part)
        else:
            if progress.state is not job.stored_state:
                log.info("job state kept", job=job.id, state=progress.state.value)
            job.note_stored(progress)
            if progress.state.is_final:
                # Nothing but the state is needed of a job that has ended.
                refused.clear()
        if not refused:
            self._refused_parts.pop(job.id, None)

    def _resolve_conflict(self, conflict: Conflict, records: list[_Record]) -> bool:
        """Records the current revisions; returns False if another owner has taken over."""
        current_revisions = {
            item.key: item.revision for item in conflict.items if not item.is_deleted
        }
        if current_revisions.get(OWNER_KEY) != self._owner_revision:
            self.close()
            self._on_fenced()
            return False
        for each in records:
            self._revisions[each.key] = current_revisions.get(each.key, ABSENT)
        return True


def _take_records(jobs: Iterable[FleetJob], taken: list[_Record]) -> Iterator[_Record]:
    """Yields the records to write, encoded only when they are, and adds them to ``taken``."""
    for job in jobs:
        for part in job.take_unsaved_parts():
            is_main = part == MAIN_PART
            progress = job.progress() if is_main else job.part_progress(part)
            record = _Record(job, part, progress, msgspec.json.encode(progress))
            taken.append(record)
            yield record


def _batches(records: Iterable[_Record]) -> Iterator[list[_Record]]:
    """Yields the records in batches that fit in a commit; a large record has one of its own."""
    batch: list[_Record] = []
    size = 0
    for record in records:
        if batch and size + len(record.value) > MAX_COMMIT_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += len(record.value)
        if len(batch) == RECORDS_PER_COMMIT:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch
