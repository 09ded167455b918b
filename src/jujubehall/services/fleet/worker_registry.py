"""Stores the list of workers that the owner uses, for its successors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from result import Err

from jujubehall.core.fleet.workers import ListedWorker
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import Precondition
from jujubehall.platform.site_store import Write
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import WORKERS_KEY
from jujubehall.services.fleet.records import decode_record

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.clock import Reactor
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore

STORE_RETRY_INTERVAL_MS = 200
COMMIT_TIMEOUT_MS = 1_000

log = structlog.get_logger()


class WorkerRegistry:
    """The stored list of workers: a single record, whose writes are fenced by the owner record."""

    def __init__(self, reactor: Reactor, store: SiteStore, owner_revision: Revision) -> None:
        self._reactor = reactor
        self._store = store
        self._owner_revision = owner_revision
        self._revision: Revision = ABSENT

    async def load(
        self, max_attempts: int, is_closed: Callable[[], bool]
    ) -> list[ListedWorker] | None:
        """Returns the workers that the last owner stored.

        Returns None if that fails ``max_attempts`` times or the term ends before.
        """
        for attempt in range(1, max_attempts + 1):
            found = await self._store.get(WORKERS_KEY)
            if not isinstance(found, Err):
                break
            log.warning(
                "loading registered workers failed", attempt=attempt, failure=str(found.err_value)
            )
            await sleep(self._reactor, STORE_RETRY_INTERVAL_MS)
            if is_closed():
                return None
        if isinstance(found, Err):
            return None
        item = found.ok_value
        if item is None:
            return []
        self._revision = item.revision
        workers = decode_record(item.key, item.value, list[ListedWorker]) or []
        # How long a worker remained cold when it was stored says nothing about now.
        return [msgspec.structs.replace(each, cold_remaining_ms=0) for each in workers]

    async def save(self, workers: list[ListedWorker], is_closed: Callable[[], bool]) -> bool:
        """Writes the list of workers; returns False if the term ends before it is stored."""
        content = msgspec.json.encode(workers)
        while not is_closed():
            outcome = await self._store.commit(
                [
                    Precondition(OWNER_KEY, self._owner_revision),
                    Precondition(WORKERS_KEY, self._revision),
                ],
                [Write(WORKERS_KEY, content)],
                [],
                COMMIT_TIMEOUT_MS,
            )
            if isinstance(outcome, Err):
                log.warning(
                    "saving registered workers failed; retrying", failure=str(outcome.err_value)
                )
                await sleep(self._reactor, STORE_RETRY_INTERVAL_MS)
            elif isinstance(outcome.ok_value, Conflict):
                revisions = {item.key: item.revision for item in outcome.ok_value.items}
                if revisions.get(OWNER_KEY) != self._owner_revision:
                    return False
                self._revision = revisions.get(WORKERS_KEY, ABSENT)
            else:
                self._revision = outcome.ok_value
                return True
        return False
