"""Follows what entry hosts write for the owner: jobs, cancellations, and themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err
from result import Ok
from result import Result

from jujubehall.core.fleet.jobs import JobProgress
from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.core.ownership.record import Member
from jujubehall.identifiers import JobId
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import StoredItem
from jujubehall.services.fleet.records import CANCELLATION_PREFIX
from jujubehall.services.fleet.records import HOST_PREFIX
from jujubehall.services.fleet.records import INTAKE_PREFIX
from jujubehall.services.fleet.records import JOB_PREFIX
from jujubehall.services.fleet.records import PROGRESS_PREFIX
from jujubehall.services.fleet.records import decode_record
from jujubehall.services.timing import repeat
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.errors import Failure
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.services.fleet.site_owner import SiteOwner

WATCH_WAIT_MS = 10_000
RETRY_INTERVAL_MS = 200

log = structlog.get_logger()


class Intake:
    """Loads everything once, then watches."""

    def __init__(self, owner: SiteOwner, reactor: Reactor, store: SiteStore) -> None:
        self._owner = owner
        self._reactor = reactor
        self._store = store
        self._after: Revision | None = None

    async def load(self) -> Result[dict[JobId, Revision], Failure]:
        """Reads the progress, then the intake; returns the revisions of the progress records.

        The owner alone writes progress, so what is read first can't change meanwhile.
        """
        kept = await self._store.list_items(PROGRESS_PREFIX)
        if isinstance(kept, Err):
            return kept
        progress: dict[JobId, JobProgress] = {}
        revisions: dict[JobId, Revision] = {}
        for item in kept.ok_value.items:
            job = JobId(item.key.removeprefix(PROGRESS_PREFIX))
            revisions[job] = item.revision
            record = decode_record(item.key, item.value, JobProgress)
            if record is not None:
                progress[job] = record
        found = await self._store.list_items(INTAKE_PREFIX)
        if isinstance(found, Err):
            return found
        self._take_in(found.ok_value.items, progress)
        self._after = found.ok_value.revision
        return Ok(revisions)

    async def run(self) -> None:
        """Watches until the owner is closed; after a gap in the history it reads all again."""
        await repeat(self._reactor, "intake", self._watch, lambda: self._owner.is_closed)

    async def _watch(self) -> None:
        assert self._after is not None
        changes = await self._store.watch(INTAKE_PREFIX, self._after, WATCH_WAIT_MS)
        if self._owner.is_closed:
            return
        if isinstance(changes, Ok):
            self._take_in(changes.ok_value.items, {})
            self._after = changes.ok_value.revision
            return
        log.info("intake watch broken", failure=str(changes.err_value))
        await sleep(self._reactor, RETRY_INTERVAL_MS)
        found = await self._store.list_items(INTAKE_PREFIX)
        if isinstance(found, Ok):
            self._take_in(found.ok_value.items, {})
            self._after = found.ok_value.revision

    def note(self, key: str, value: bytes) -> None:
        """Takes in a record that is known to be kept, ahead of the watch."""
        self._take_in([StoredItem(key, value, ABSENT)], {})

    def _take_in(self, items: list[StoredItem], progress: dict[JobId, JobProgress]) -> None:
        cancelled = []
        for item in items:
            if item.is_deleted:
                continue
            if item.key.startswith(JOB_PREFIX):
                accepted = decode_record(item.key, item.value, AcceptedJob)
                if accepted is not None:
                    self._owner.accept(accepted, progress.get(accepted.id))
            elif item.key.startswith(CANCELLATION_PREFIX):
                cancelled.append(JobId(item.key.removeprefix(CANCELLATION_PREFIX)))
            elif item.key.startswith(HOST_PREFIX):
                member = decode_record(item.key, item.value, Member)
                if member is not None:
                    self._owner.peers.note_member(member)
        # After the jobs: a cancellation may be listed before its job.
        for job in cancelled:
            self._owner.cancel(job)
