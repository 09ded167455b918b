"""Watches the records that entry hosts write for the owner: jobs, cancellations and members."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

from result import Err
from result import Ok
from result import Result

from jujubehall.core.fleet.jobs import JobProgress
from jujubehall.core.fleet.jobs import PartProgress
from jujubehall.core.fleet.progress_parts import MAIN_PART
from jujubehall.core.fleet.requests import AcceptedJob
from jujubehall.core.ownership.record import Member
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import StoredItem
from jujubehall.services.async_utils import run_loop
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.records import CANCELLATION_PREFIX
from jujubehall.services.fleet.records import HOST_PREFIX
from jujubehall.services.fleet.records import INTAKE_PREFIX
from jujubehall.services.fleet.records import JOB_PREFIX
from jujubehall.services.fleet.records import PROGRESS_PREFIX
from jujubehall.services.fleet.records import decode_record
from jujubehall.services.fleet.records import parse_progress_key

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.errors import Failure
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.services.fleet.site_owner import SiteOwner

WATCH_WAIT_MS = 600
WATCH_ANSWER_TIMEOUT_MS = 500
"""Time beyond the wait after which a watch has failed. A record of which the owner isn't notified
arrives with the next one, within 1.4 s; tasks of a cancelled job must not be started for 3 s."""

RETRY_DELAY_MS = 200

log = structlog.get_logger()


class _StoredProgress(NamedTuple):
    """The progress of all jobs as loaded from the store."""

    main: dict[JobId, JobProgress]
    parts: dict[JobId, dict[int, PartProgress]]

    def add(self, item: StoredItem) -> None:
        """Adds a record; an invalid one is ignored."""
        parsed = parse_progress_key(item.key)
        if parsed is None:
            return
        job, part = parsed
        if part == MAIN_PART:
            main = decode_record(item.key, item.value, JobProgress)
            if main is not None:
                self.main[job] = main
            return
        progress = decode_record(item.key, item.value, PartProgress)
        if progress is not None:
            self.parts.setdefault(job, {})[part] = progress

    def of_job(self, job: JobId) -> tuple[JobProgress | None, dict[int, PartProgress]]:
        """Returns the main part, None if nothing is stored for the job, and the other parts."""
        parts = self.parts.get(job, {})
        # The main part of a job is written last.
        return self.main.get(job, JobProgress() if parts else None), parts


_NO_PROGRESS = _StoredProgress({}, {})


class IntakeWatcher:
    """Loads all intake records once and watches for changes from then on."""

    def __init__(self, owner: SiteOwner, reactor: Reactor, store: SiteStore) -> None:
        self._owner = owner
        self._reactor = reactor
        self._store = store
        self._watch_revision: Revision | None = None

    async def load(self) -> Result[dict[str, Revision], Failure]:
        """Loads the progress records and then the intake records.

        Returns the revisions of the progress records by their keys. Only the owner writes progress,
        so the records read first can't change in the meantime.
        """
        stored_progress = await self._store.list_items(PROGRESS_PREFIX)
        if isinstance(stored_progress, Err):
            return stored_progress
        progress = _StoredProgress({}, {})
        revisions: dict[str, Revision] = {}
        for item in stored_progress.ok_value.items:
            revisions[item.key] = item.revision
            progress.add(item)
        found = await self._store.list_items(INTAKE_PREFIX)
        if isinstance(found, Err):
            return found
        self._apply_records(found.ok_value.items, progress)
        self._watch_revision = found.ok_value.revision
        return Ok(revisions)

    async def load_cancellations(self) -> Result[Revision, Failure]:
        """Loads the cancellations up to the revision that it returns.

        They are few, so that their list is recent. The list of all records may take longer than the
        tasks of a job may be started after its cancellation.
        """
        found = await self._store.list_items(CANCELLATION_PREFIX)
        if isinstance(found, Err):
            return found
        if not self._owner.is_closed:
            self._apply_records(found.ok_value.items)
        return Ok(found.ok_value.revision)

    async def run(self) -> None:
        """Watches until the term ends; lists all records after a gap in the store's history."""
        await run_loop(self._reactor, "intake", self._watch, lambda: self._owner.is_closed)

    async def _watch(self) -> None:
        assert self._watch_revision is not None
        changes = await self._store.watch(
            INTAKE_PREFIX, self._watch_revision, WATCH_WAIT_MS, WATCH_ANSWER_TIMEOUT_MS
        )
        if self._owner.is_closed:
            return
        if isinstance(changes, Ok):
            self._apply_records(changes.ok_value.items)
            self._watch_revision = changes.ok_value.revision
            return
        log.info("intake watch failed", failure=str(changes.err_value))
        await sleep(self._reactor, RETRY_DELAY_MS)
        if changes.err_value.kind is not FailureKind.NOT_FOUND:
            return
        await self.load_cancellations()
        found = await self._store.list_items(INTAKE_PREFIX)
        if isinstance(found, Ok):
            self._apply_records(found.ok_value.items)
            self._watch_revision = found.ok_value.revision

    def apply_record(self, key: str, value: bytes) -> None:
        """Applies a record that is known to be stored, before the watch returns it."""
        self._apply_records([StoredItem(key, value, ABSENT)])

    def _apply_records(
        self, items: list[StoredItem], progress: _StoredProgress = _NO_PROGRESS
    ) -> None:
        cancelled: list[tuple[JobId, Revision]] = []
        for item in items:
            if item.is_deleted:
                continue
            if item.key.startswith(JOB_PREFIX):
                accepted = decode_record(item.key, item.value, AcceptedJob)
                if accepted is not None:
                    self._owner.accept(accepted, *progress.of_job(accepted.id))
            elif item.key.startswith(CANCELLATION_PREFIX):
                job = JobId(item.key.removeprefix(CANCELLATION_PREFIX))
                cancelled.append((job, item.revision))
            elif item.key.startswith(HOST_PREFIX):
                member = decode_record(item.key, item.value, Member)
                if member is not None:
                    self._owner.peers.note_member(member)
        # Cancellations are applied after all jobs, since one may be listed before its job.
        for job, revision in cancelled:
            self._owner.cancel(job, revision)
