"""Publishes the summary of an owned availability zone for the other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.core.jobs.zone_summary import zone_summary_key
from jujubehall.services.job_metrics import report
from jujubehall.services.timing import sleep
from jujubehall.services.zone_reports import summarise_racks
from jujubehall.services.zone_reports import summarise_teams
from jujubehall.services.zone_reports import summarise_worker

if TYPE_CHECKING:
    from jujubehall.services.zone_context import ZoneContext
    from jujubehall.services.zone_owner import ZoneOwner

PUBLICATION_INTERVAL_MS = 3_000


class ZonePublisher:
    """Writes the summary when it has changed, at most once in each interval."""

    def __init__(self, context: ZoneContext, owner: ZoneOwner) -> None:
        self._context = context
        self._owner = owner

    async def run(self) -> None:
        """Publishes as long as the zone is owned."""
        while self._owner.is_active:
            report(self._owner)
            await self._publish()
            await sleep(self._context.reactor, PUBLICATION_INTERVAL_MS)

    def summary(self) -> ZoneSummary:
        """The zone as of now."""
        owner = self._owner
        now_ms = self._context.clock.now_ms
        view = owner.view()
        by_name = {worker.name: worker for worker in view.workers}
        workers = tuple(
            summarise_worker(contact, by_name[contact.name], owner.health, now_ms)
            for contact in sorted(owner.workers.contacts, key=lambda contact: contact.name)
            if contact.name in by_name
        )
        racks = summarise_racks(workers, self._context.shares(owner.zone))
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
        if not summary.workers and self._owner.workers.contacts:
            # The workers have not answered the new owner yet.
            return
        if self._context.cache.read(key, ZoneSummary) == summary:
            return
        await self._context.cache.put(key, summary, self._context.cache.version(key))
