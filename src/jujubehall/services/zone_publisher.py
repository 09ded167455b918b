"""Publishes the summary of an owned availability zone to the other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.core.jobs.zone_summary import zone_summary_key
from jujubehall.services.async_utils import sleep
from jujubehall.services.job_metrics import update_gauges
from jujubehall.services.zone_reports import summarise_racks
from jujubehall.services.zone_reports import summarise_teams
from jujubehall.services.zone_reports import summarise_worker

if TYPE_CHECKING:
    from jujubehall.services.zone_context import ZoneContext
    from jujubehall.services.zone_owner import ZoneOwner

PUBLICATION_INTERVAL_MS = 3_000


class ZonePublisher:
    """Writes a changed zone summary to the platform, at most once per publication interval."""

    def __init__(self, context: ZoneContext, owner: ZoneOwner) -> None:
        self._context = context
        self._owner = owner

    async def run(self) -> None:
        """Publishes metrics and the summary periodically while this entry host owns the zone."""
        while self._owner.is_active:
            update_gauges(self._owner)
            await self._publish()
            await sleep(self._context.reactor, PUBLICATION_INTERVAL_MS)

    def summary(self) -> ZoneSummary:
        """Returns a summary of the zone's current state."""
        owner = self._owner
        now_ms = self._context.clock.now_ms
        view = owner.zone_view()
        views_by_name = {worker.name: worker for worker in view.workers}
        workers = tuple(
            summarise_worker(status, views_by_name[status.name], owner.health, now_ms)
            for status in sorted(owner.workers.statuses, key=lambda status: status.name)
            if status.name in views_by_name
        )
        racks = summarise_racks(workers, self._context.configured_foreign(owner.zone))
        guarantees = self._context.guarantees(owner.zone)
        return ZoneSummary(
            owner.zone,
            owner.epoch,
            racks,
            summarise_teams(guarantees, view.running, racks),
            workers,
            len(view.queued),
            len(view.running),
        )

    async def _publish(self) -> None:
        key = zone_summary_key(self._owner.zone)
        summary = self.summary()
        if not summary.workers and self._owner.workers.statuses:
            # No worker has responded to the new owner yet, so the summary would list no workers.
            return
        if self._context.cache.read(key, ZoneSummary) == summary:
            return
        await self._context.cache.put(key, summary, self._context.cache.version(key))
