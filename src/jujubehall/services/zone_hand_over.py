"""Hands a job that can't be placed in its availability zone to another zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.zone_fit import can_ever_fit
from jujubehall.core.jobs.zone_fit import fits_now
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.core.jobs.zone_summary import ZoneSummary
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import ZoneName
    from jujubehall.services.zone_context import ZoneContext
    from jujubehall.services.zone_owner import ZoneOwner

HAND_OVER_AFTER_MS = 30_000
"""A job waits at least so long in a zone before it is handed to another."""

CHECK_INTERVAL_MS = 5_000


class ZoneHandOver:
    """Looks for waiting jobs that would fit into another zone right now."""

    def __init__(self, context: ZoneContext, owner: ZoneOwner) -> None:
        self._context = context
        self._owner = owner
        self._since_ms: dict[JobId, int] = {}

    async def run(self) -> None:
        """Checks as long as the zone is owned."""
        while self._owner.is_active:
            await sleep(self._context.reactor, CHECK_INTERVAL_MS)
            self._check()

    def _check(self) -> None:
        now_ms = self._context.clock.now_ms
        queued = {job.id: job for job in self._owner.queued}
        self._since_ms = {job: self._since_ms.get(job, now_ms) for job in queued}
        taken: set[ZoneName] = set()
        for job, since_ms in self._since_ms.items():
            if now_ms - since_ms < HAND_OVER_AFTER_MS:
                continue
            zone = self._better_zone(queued[job], taken)
            if zone is not None:
                # One job a zone and check: its summary must show it before the next is sent.
                taken.add(zone)
                self._owner.write_queued(msgspec.structs.replace(queued[job], zone=zone))

    def _better_zone(self, job: JobRecord, taken: set[ZoneName]) -> ZoneName | None:
        return next((z.zone for z in self._others(taken) if fits_now(job.spec, z)), None)

    def _others(self, taken: set[ZoneName]) -> list[ZoneSummary]:
        own = self._owner.zone
        return [z for z in self._context.summaries if z.zone != own and z.zone not in taken]


def zone_that_can_fit(job: JobRecord, summaries: list[ZoneSummary]) -> ZoneName | None:
    """Another zone with racks large enough for a job that its own zone can never run."""
    fitting = (z.zone for z in summaries if z.zone != job.zone and can_ever_fit(job.spec, z))
    return next(fitting, None)
