"""Watches during one term of the owner which availability zones the operators have evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

from result import Err

from jujubehall.core.fleet.evacuated_zones import EvacuatedZones
from jujubehall.metrics import ZONE_CHANGES
from jujubehall.services.async_utils import first_result
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import run_loop
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from result import Result

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.errors import Failure
    from jujubehall.identifiers import ZoneName
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteDirectory
    from jujubehall.platform.site_store import ZoneChanges
    from jujubehall.services.fleet.site_owner import SiteOwner

WATCH_DEADLINE_SHARE = 0.4
"""Duration of one watch as a share of the deadline. After a watch that delivered nothing, there is
time left to list the zones."""

ANSWER_DEADLINE_SHARE = 0.1
"""How long the answer to a watch may take beyond its duration, as a share of the deadline."""

RETRY_DEADLINE_SHARE = 0.05
"""Delay before the zones are listed after a failure, as a share of the deadline."""

log = structlog.get_logger()


class ZoneStatus(NamedTuple):
    """An evacuated zone as shown to operators."""

    zone: ZoneName
    evacuated_ms: int
    """How long this owner has known that the zone is evacuated."""

    runs: int
    """How many runs may still be active on the zone's workers."""


class ZoneEvacuations:
    """Keeps the owner's copy of the evacuated zones up to date and applies each change."""

    def __init__(
        self,
        owner: SiteOwner,
        reactor: Reactor,
        clock: Clock,
        directory: SiteDirectory,
        deadline_ms: int,
    ) -> None:
        self._owner = owner
        self._reactor = reactor
        self._clock = clock
        self._directory = directory
        self._zones = EvacuatedZones(deadline_ms)
        self._watch_timeout_ms = int(deadline_ms * WATCH_DEADLINE_SHARE)
        self._answer_timeout_ms = int(deadline_ms * ANSWER_DEADLINE_SHARE)
        self._retry_delay_ms = int(deadline_ms * RETRY_DEADLINE_SHARE)
        self._revision: Revision | None = None
        """The revision from which to watch; None if the zones are to be listed."""

        self._vacated: set[ZoneName] = set()
        """The evacuated zones in which nothing runs any more."""

    async def run(self) -> None:
        """Lists the evacuated zones, then watches for changes until the term ends."""
        await run_loop(self._reactor, "evacuations", self._step, lambda: self._owner.is_closed)

    def suspend_starts(self) -> None:
        """Suspends all starts unless the evacuated zones were confirmed recently."""
        is_confirmed = self._zones.is_confirmed(self._clock.now_ms)
        if self._owner.fleet_state.are_starts_suspended is not is_confirmed:
            return
        self._owner.fleet_state.are_starts_suspended = not is_confirmed
        if is_confirmed:
            log.info("starts resumed", zones=sorted(self._zones.zones))
        else:
            log.warning("starts suspended", reason="the evacuated zones are not known for certain")

    def refusal(self, group: TaskGroup, placement: Placement) -> str | None:
        """Returns why a start must not be sent now; None if it may be sent."""
        return self._zones.refusal(group, placement, self._clock.now_ms)

    def statuses(self) -> list[ZoneStatus]:
        """Returns the evacuated zones in the order of their names."""
        statuses = []
        for zone in sorted(self._zones.zones):
            evacuation = self._zones.evacuation(zone)
            assert evacuation is not None
            evacuated_ms = self._clock.now_ms - evacuation.since_ms
            statuses.append(ZoneStatus(zone, evacuated_ms, self._count_runs(zone)))
        return statuses

    async def _step(self) -> None:
        requested_ms = self._clock.now_ms
        is_listing = self._revision is None
        found = (
            await self._directory.list_evacuated_zones()
            if self._revision is None
            else await self._watch(self._revision)
        )
        if self._owner.is_closed:
            return
        if found is None:
            self._revision = None
            return
        if isinstance(found, Err):
            log.info("reading evacuated zones failed", failure=str(found.err_value))
            self._revision = None
            await sleep(self._reactor, self._retry_delay_ms)
            return
        changes, revision = found.ok_value
        zones = set() if is_listing else set(self._zones.zones)
        for change in changes:
            (zones.add if change.is_evacuated else zones.discard)(change.zone)
        self._apply(zones)
        if is_listing:
            self._confirm(requested_ms)
            self._revision = revision
        elif not changes and self._clock.now_ms - requested_ms >= self._watch_timeout_ms:
            # A watch without changes returns no earlier than its timeout after the request.
            self._confirm(requested_ms + self._watch_timeout_ms)
            self._revision = revision
        else:
            # The answer may have been under way for as long as the watch has lasted.
            self._revision = None
        self._log_vacated_zones()

    async def _watch(self, revision: Revision) -> Result[ZoneChanges, Failure] | None:
        """Waits for changes; returns None if the answer is overdue, as if it were lost."""
        answer: Result[ZoneChanges, Failure] | None = await first_result(
            run_in_background(
                self._directory.wait_for_zone_changes(revision, self._watch_timeout_ms)
            ),
            sleep(self._reactor, self._watch_timeout_ms + self._answer_timeout_ms),
        )
        return answer

    def _apply(self, zones: set[ZoneName]) -> None:
        evacuated = zones - self._zones.zones
        returned = self._zones.zones - zones
        for zone in sorted(returned):
            evacuation = self._zones.evacuation(zone)
            assert evacuation is not None
            self._vacated.discard(zone)
            ZONE_CHANGES.inc({"change": "returned"})
            log.info("zone returned", zone=zone, after_ms=self._clock.now_ms - evacuation.since_ms)
        self._zones.update(zones, self._clock.now_ms)
        for zone in sorted(evacuated):
            ZONE_CHANGES.inc({"change": "evacuated"})
            log.info("zone evacuated", zone=zone, runs=self._count_runs(zone))
        if evacuated or returned:
            self._owner.fleet_state.set_evacuated_zones(self._zones.zones)
            self._owner.schedule_round()

    def _confirm(self, at_ms: int) -> None:
        self._zones.confirm(at_ms)
        if self._owner.fleet_state.are_starts_suspended:
            self._owner.schedule_round()

    def _count_runs(self, zone: ZoneName) -> int:
        return sum(
            len(worker.placements)
            for worker in self._owner.fleet_state.workers.values()
            if worker.listed.zone == zone
        )

    def _log_vacated_zones(self) -> None:
        for zone in sorted(self._zones.zones - self._vacated) if self._owner.is_loaded else ():
            if not self._count_runs(zone):
                self._vacated.add(zone)
                log.info("zone vacated", zone=zone)
