"""Reassigns jobs that can't be placed in their availability zone to another zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.zone_fit import can_ever_fit
from jujubehall.core.jobs.zone_fit import fits_now
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from jujubehall.core.jobs.job import JobRecord
    from jujubehall.core.jobs.zone_summary import ZoneSummary
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import ZoneName
    from jujubehall.services.zone_context import ZoneContext
    from jujubehall.services.zone_owner import ZoneOwner

REASSIGN_AFTER_MS = 30_000
"""Minimum time that a job waits in a zone before it is reassigned to another zone."""

CHECK_INTERVAL_MS = 5_000


class JobReassigner:
    """Reassigns waiting jobs to zones that have enough free accelerators for them now."""

    def __init__(self, context: ZoneContext, owner: ZoneOwner) -> None:
        self._context = context
        self._owner = owner
        self._queued_since_ms: dict[JobId, int] = {}

    async def run(self) -> None:
        """Checks the waiting jobs periodically while this entry host owns the zone."""
        while self._owner.is_active:
            await sleep(self._context.reactor, CHECK_INTERVAL_MS)
            self._reassign_waiting_jobs()

    def _reassign_waiting_jobs(self) -> None:
        now_ms = self._context.clock.now_ms
        queued = {job.id: job for job in self._owner.queued}
        self._queued_since_ms = {job: self._queued_since_ms.get(job, now_ms) for job in queued}
        assigned_zones: set[ZoneName] = set()
        for job, queued_since_ms in self._queued_since_ms.items():
            if now_ms - queued_since_ms < REASSIGN_AFTER_MS:
                continue
            zone = self._zone_with_room(queued[job], assigned_zones)
            if zone is not None:
                # Each check reassigns at most one job to a zone, because the zone's summary must
                # include that job before the next one can be checked against it.
                assigned_zones.add(zone)
                self._owner.write_queued(msgspec.structs.replace(queued[job], zone=zone))

    def _zone_with_room(self, job: JobRecord, assigned_zones: set[ZoneName]) -> ZoneName | None:
        return next(
            (
                summary.zone
                for summary in self._candidate_zones(assigned_zones)
                if fits_now(job.spec, summary)
            ),
            None,
        )

    def _candidate_zones(self, assigned_zones: set[ZoneName]) -> list[ZoneSummary]:
        own_zone = self._owner.zone
        return [
            summary
            for summary in self._context.summaries
            if summary.zone != own_zone and summary.zone not in assigned_zones
        ]


def find_feasible_zone(job: JobRecord, summaries: list[ZoneSummary]) -> ZoneName | None:
    """Returns another zone whose racks could hold the job if they were empty, or None.

    Used for jobs that can never run in their own zone.
    """
    feasible = (
        summary.zone
        for summary in summaries
        if summary.zone != job.zone and can_ever_fit(job.spec, summary)
    )
    return next(feasible, None)
