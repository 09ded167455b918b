"""Packs all teams' guarantees into the availability zones, using their published summaries."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TYPE_CHECKING

from result import Err
from result import Result

from jujubehall.core.configuration.document import Team
from jujubehall.core.jobs.zone_summary import ZONE_SUMMARY_PREFIX
from jujubehall.core.jobs.zone_summary import RackSummary
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from jujubehall.services.state_cache import StateCache

PackIntoZones = Callable[
    [Mapping[ZoneName, Sequence[RackSummary]], Sequence[Team]],
    Result[dict[TeamName, dict[ZoneName, int]], Failure],
]
"""Signature of ``jujubehall.core.jobs.packing.pack_guarantees``."""


class GuaranteePacker:
    """A ``PackGuarantees`` callable that reads the racks from the published zone summaries.

    >>> ConfigurationService(platform, cache, GuaranteePacker(cache, pack_guarantees))
    """

    def __init__(self, cache: StateCache, pack: PackIntoZones) -> None:
        self._cache = cache
        self._pack = pack

    def __call__(
        self, teams: Sequence[Team]
    ) -> Result[dict[TeamName, dict[ZoneName, int]], Failure]:
        """Returns the number of blocks of each team in each zone.

        Fails with ``UNAVAILABLE`` while no zone has published any rack.
        """
        summaries: list[ZoneSummary] = self._cache.read_all(ZONE_SUMMARY_PREFIX, ZoneSummary)
        zones = {summary.zone: summary.racks for summary in summaries}
        if not any(zones.values()):
            detail = "no availability zone has published its racks yet; try again later"
            return Err(Failure(FailureKind.UNAVAILABLE, "pack guarantees", "entry host", detail))
        return self._pack(zones, teams)
