"""Creates and reads records of jobs, and settles writes whose answer was lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from jujubehall.core.fleet.jobs import JobProgress
from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.core.jobs.job import JobState
from jujubehall.entry_hosts.messages import StoreWriteSettled
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import Precondition
from jujubehall.platform.site_store import Write
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import cancellation_key
from jujubehall.services.fleet.records import decode_record
from jujubehall.services.fleet.records import job_key
from jujubehall.services.fleet.records import progress_key

FAILURE_MEMORY_MS = 1_000
"""After a failed write others are asked first for this long, or until the store is regained."""

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.errors import Failure
    from jujubehall.identifiers import JobId
    from jujubehall.services.fleet.observed_store import ObservedStore


class JobRecords:
    """The store's records of jobs, as entry hosts that don't own the site use them."""

    def __init__(self, clock: Clock, store: ObservedStore) -> None:
        self._clock = clock
        self._store = store
        self._failed_ms: int | None = None

    @property
    def is_store_sound(self) -> bool:
        """Whether a write from here is likely to be answered."""
        is_recent = (
            self._failed_ms is not None and self._clock.now_ms - self._failed_ms < FAILURE_MEMORY_MS
        )
        return not (self._store.is_lost or is_recent)

    async def create(self, key: str, value: bytes, timeout_ms: int) -> StoreWriteSettled:
        """Creates a record unless it exists, in one attempt.

        Repeating an attempt without an answer is safe, here or at another entry host: whichever
        takes effect, the record exists once. It may also take effect after this has returned. To a
        store that does not answer nothing is written, so that the call can be refused truthfully.
        """
        if not await self._store.can_be_reached(OWNER_KEY):
            self._failed_ms = self._clock.now_ms
            return StoreWriteSettled(False, False)
        written = await self._store.commit(
            [Precondition(key, ABSENT)], [Write(key, value)], [], timeout_ms
        )
        if isinstance(written, Err):
            self._failed_ms = self._clock.now_ms
            return StoreWriteSettled(False, written.err_value.may_have_taken_effect)
        # A conflict shows that it exists already, perhaps with other content.
        return StoreWriteSettled(True, False, not isinstance(written.ok_value, Conflict))

    async def find(self, job: JobId) -> Result[AcceptedJob | None, Failure]:
        """Reads an accepted job; None if there is none."""
        found = await self._store.get(job_key(job))
        if isinstance(found, Err):
            return found
        item = found.ok_value
        return Ok(None if item is None else decode_record(item.key, item.value, AcceptedJob))

    async def state(self, job: JobId) -> Result[tuple[AcceptedJob, JobState] | None, Failure]:
        """Reads a job and the state that is kept of it."""
        accepted = await self.find(job)
        if isinstance(accepted, Err) or accepted.ok_value is None:
            return accepted.map(lambda _: None)
        kept = await self._store.get(progress_key(job))
        if isinstance(kept, Err):
            return kept
        state = JobState.QUEUED
        if kept.ok_value is not None:
            progress = decode_record(kept.ok_value.key, kept.ok_value.value, JobProgress)
            state = progress.state if progress is not None else state
        if not state.is_final:
            cancelled = await self._store.get(cancellation_key(job))
            if isinstance(cancelled, Err):
                return cancelled
            state = JobState.CANCELLED if cancelled.ok_value is not None else state
        return Ok((accepted.ok_value, state))
