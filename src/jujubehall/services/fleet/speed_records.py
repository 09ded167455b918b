"""Stores the learned speeds of the workers for the owner's successors, and logs their changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from result import Err

from jujubehall.core.fleet.worker_speed import StoredSpeed
from jujubehall.core.fleet.worker_speed import WorkerSpeed
from jujubehall.platform.site_store import Precondition
from jujubehall.platform.site_store import Write
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import SPEEDS_KEY
from jujubehall.services.fleet.records import decode_record

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore

WRITE_INTERVAL_MS = 5_000
"""Least time between two writes: losing this much of what was learned costs a successor little."""

COMMIT_TIMEOUT_MS = 1_000
LOG_INTERVAL_MS = 1_000
MAX_LOGGED_WORKERS = 20
"""Workers named in one log line; the line counts the others."""

log = structlog.get_logger()


class SpeedRecords:
    """Reads and writes the record of the workers' speeds during one term.

    Nothing waits for it: without the record, the speeds are learned anew.
    """

    def __init__(
        self, clock: Clock, store: SiteStore, fleet_state: FleetState, owner_revision: Revision
    ) -> None:
        self._clock = clock
        self._store = store
        self._fleet_state = fleet_state
        self._owner_revision = owner_revision
        self._is_changed = False
        self._is_writing = False
        self._last_write_ms = clock.now_ms
        self._last_log_ms = clock.now_ms - LOG_INTERVAL_MS
        self._to_log: dict[FleetWorker, None] = {}

    async def load(self) -> None:
        """Reads what the last owner has learned; a failure is logged and costs only knowledge."""
        found = await self._store.get(SPEEDS_KEY)
        if isinstance(found, Err):
            log.warning("loading worker speeds failed", failure=str(found.err_value))
            return
        if found.ok_value is None:
            return
        records = decode_record(SPEEDS_KEY, found.ok_value.value, list[StoredSpeed]) or []
        restored = sum(self._restore(each) for each in records)
        self._fleet_state.speeds.refresh_at_next_update()
        log.info("worker speeds loaded", workers=restored, outdated=len(records) - restored)

    def note_round(self) -> None:
        """Logs and writes the speeds of workers that the last round has classified differently."""
        now_ms = self._clock.now_ms
        reclassified = self._fleet_state.speeds.take_reclassified()
        self._to_log.update(dict.fromkeys(reclassified))
        self._is_changed |= bool(reclassified)
        if self._to_log and now_ms - self._last_log_ms >= LOG_INTERVAL_MS:
            self._last_log_ms = now_ms
            self._log_changes()
        if (
            self._is_changed
            and not self._is_writing
            and now_ms - self._last_write_ms >= WRITE_INTERVAL_MS
        ):
            self._is_changed = False
            self._last_write_ms = now_ms
            run_in_background(self._write())

    def _restore(self, stored: StoredSpeed) -> bool:
        """Restores one speed; returns False if the worker is gone or has restarted since."""
        worker = self._fleet_state.workers.get(stored.worker)
        if worker is None or worker.has_restarted_since(stored.incarnation):
            return False
        if worker.speed.incarnation != stored.incarnation:
            worker.speed = WorkerSpeed(stored.incarnation)
        worker.speed.restore(stored)
        return True

    def _log_changes(self) -> None:
        workers = list(self._to_log)
        self._to_log.clear()
        log.info(
            "worker speeds classified",
            factors={
                each.name: round(each.speed.duration_factor, 2)
                for each in workers[:MAX_LOGGED_WORKERS]
            },
            others=max(0, len(workers) - MAX_LOGGED_WORKERS),
            known=self._fleet_state.speeds.known_workers,
        )

    async def _write(self) -> None:
        self._is_writing = True
        content = msgspec.json.encode(
            [
                worker.speed.stored(worker.name)
                for worker in self._fleet_state.workers.values()
                if worker.speed.precision
            ]
        )
        outcome = await self._store.commit(
            [Precondition(OWNER_KEY, self._owner_revision)],
            [Write(SPEEDS_KEY, content)],
            [],
            COMMIT_TIMEOUT_MS,
        )
        self._is_writing = False
        if isinstance(outcome, Err):
            self._is_changed = True
            log.warning("saving worker speeds failed", failure=str(outcome.err_value))
