"""Which availability zones the operators have evacuated, and how recent that knowledge is.

Operators empty a zone before work on it: once the deadline after their request has passed, nothing
may be started there until the zone returns. The load that this answers: requests that arrive while
the store is slow, unreachable or has forgotten its history, or while the owner changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.identifiers import ZoneName

USABLE_DEADLINE_SHARE = 0.8
"""Share of the deadline within which starts are sent; the rest is left for their way to the worker."""


class Evacuation(NamedTuple):
    """An evacuated zone."""

    since_ms: int
    """When this owner learned of it."""

    last_open_ms: int | None
    """When the zone was last known to be open; None if this owner has never known it to be."""


class EvacuatedZones:
    """The evacuated zones as last confirmed by the store.

    zones = EvacuatedZones(deadline_ms=5_000)
    zones.confirm({ZoneName("lagos-island")}, requested_ms, now_ms)
    zones.refusal(group, placement, now_ms)  # None if the start may be sent
    """

    def __init__(self, deadline_ms: int) -> None:
        self._usable_ms = int(deadline_ms * USABLE_DEADLINE_SHARE)
        self._evacuations: dict[ZoneName, Evacuation] = {}
        self._confirmed_ms: int | None = None

    @property
    def zones(self) -> frozenset[ZoneName]:
        """The evacuated zones."""
        return frozenset(self._evacuations)

    def evacuation(self, zone: ZoneName) -> Evacuation | None:
        """Returns the evacuation of a zone; None if the zone isn't evacuated."""
        return self._evacuations.get(zone)

    def is_confirmed(self, now_ms: int) -> bool:
        """Returns whether the zones were confirmed so recently that starts may rely on them.

        Otherwise the deadline of an evacuation that isn't known yet may have passed.
        """
        return self._confirmed_ms is not None and now_ms - self._confirmed_ms < self._usable_ms

    def update(self, zones: Iterable[ZoneName], now_ms: int) -> None:
        """Replaces the evacuated zones without confirming that there are no others."""
        current = set(zones)
        for zone in self._evacuations.keys() - current:
            del self._evacuations[zone]
        for zone in current - self._evacuations.keys():
            self._evacuations[zone] = Evacuation(now_ms, self._confirmed_ms)

    def confirm(self, at_ms: int) -> None:
        """Records that the zones were complete and up to date at ``at_ms``."""
        self._confirmed_ms = max(self._confirmed_ms or at_ms, at_ms)

    def refusal(self, group: TaskGroup, placement: Placement, now_ms: int) -> str | None:
        """Returns why a start must not be sent now; None if it may be sent.

        A gang that is partly started may be completed in an evacuated zone as long as the deadline
        can't have passed.
        """
        if not self.is_confirmed(now_ms):
            return "the evacuated zones are not known for certain"
        evacuation = self._evacuations.get(placement.worker.listed.zone)
        if evacuation is None:
            return None
        may_complete = (
            group.request.is_gang
            and evacuation.last_open_ms is not None
            and now_ms - evacuation.last_open_ms < self._usable_ms
            and any(each.sent_ms is not None for each in group.placements.values())
        )
        return None if may_complete else "the worker's zone is evacuated"
