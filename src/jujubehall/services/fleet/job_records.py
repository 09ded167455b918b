"""Creates and reads the job records in the store, also when a write gets no answer."""

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
from jujubehall.services.fleet.records import CANCELLATION_PREFIX
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import cancellation_key
from jujubehall.services.fleet.records import decode_record
from jujubehall.services.fleet.records import job_key
from jujubehall.services.fleet.records import progress_key

FAILED_WRITE_COOLDOWN_MS = 1_000
"""For this long after a failed write, and while the store counts as lost, a write is first relayed
through another entry host."""

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.errors import Failure
    from jujubehall.identifiers import JobId
    from jujubehall.services.fleet.instrumented_store import InstrumentedStore


class JobRecords:
    """Reads and writes the job records in the store for entry hosts that don't own the site."""

    def __init__(self, clock: Clock, store: InstrumentedStore) -> None:
        self._clock = clock
        self._store = store
        self._last_failure_ms: int | None = None

    @property
    def is_store_healthy(self) -> bool:
        """Whether the store is likely to answer a write from this entry host."""
        has_failed_recently = (
            self._last_failure_ms is not None
            and self._clock.now_ms - self._last_failure_ms < FAILED_WRITE_COOLDOWN_MS
        )
        return not (self._store.is_lost or has_failed_recently)

    async def write(self, key: str, value: bytes, timeout_ms: int) -> StoreWriteSettled:
        """Creates a record unless it exists, in a single attempt; a cancellation is written again.

        An attempt that got no answer may still take effect after this method has returned. It can
        safely be repeated here or on another entry host: a job is created only once. Nothing is
        written to a store that does not answer a probe, so that the caller can be told for certain
        that the call had no effect.
        """
        if not await self._store.check_reachable(OWNER_KEY):
            self._last_failure_ms = self._clock.now_ms
            return StoreWriteSettled(False, False)
        # A cancellation gets a new revision, which keeps it from being deleted as an expired one.
        is_cancellation = key.startswith(CANCELLATION_PREFIX)
        preconditions = [] if is_cancellation else [Precondition(key, ABSENT)]
        written = await self._store.commit(preconditions, [Write(key, value)], [], timeout_ms)
        if isinstance(written, Err):
            self._last_failure_ms = self._clock.now_ms
            return StoreWriteSettled(False, written.err_value.may_have_taken_effect)
        # A conflict means that the record exists already, possibly with different content.
        return StoreWriteSettled(True, False, not isinstance(written.ok_value, Conflict))

    async def find(self, job: JobId) -> Result[AcceptedJob | None, Failure]:
        """Reads an accepted job; None if the job does not exist."""
        found = await self._store.get(job_key(job))
        if isinstance(found, Err):
            return found
        item = found.ok_value
        return Ok(None if item is None else decode_record(item.key, item.value, AcceptedJob))

    async def state(self, job: JobId) -> Result[tuple[AcceptedJob, JobState] | None, Failure]:
        """Reads a job and its stored state; None if the job does not exist."""
        accepted = await self.find(job)
        if isinstance(accepted, Err) or accepted.ok_value is None:
            return accepted.map(lambda _: None)
        stored_progress = await self._store.get(progress_key(job))
        if isinstance(stored_progress, Err):
            return stored_progress
        state = JobState.QUEUED
        if stored_progress.ok_value is not None:
            progress = decode_record(
                stored_progress.ok_value.key, stored_progress.ok_value.value, JobProgress
            )
            state = progress.state if progress is not None else state
        if not state.is_final:
            cancellation = await self._store.get(cancellation_key(job))
            if isinstance(cancellation, Err):
                return cancellation
            state = JobState.CANCELLED if cancellation.ok_value is not None else state
        return Ok((accepted.ok_value, state))
