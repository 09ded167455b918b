"""Combines the teams of the configuration with the usage published by the zone owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.console.configuration_change import CONFIGURATION_PATH
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Team
from jujubehall.core.jobs.zone_summary import ZoneSummary

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.console.call_failure import CallFailure
    from jujubehall.console.site_client import SiteClient

ZONES_PATH = "/v1/zones"
TEAM_HEADERS = ["Team", "Guarantee", "Quota", "In use", "Borrowed", "Reclaimable"]


class TeamView(msgspec.Struct, frozen=True):
    """A team with its accelerator counts, summed over all zones.

    The counts are None until a zone owner has published a summary that includes the team.
    """

    team: Team
    in_use: int | None = None
    borrowed: int | None = None
    reclaimable: int | None = None

    @property
    def shortfall_warning(self) -> str | None:
        """A warning if the guarantee can't be met at present, or else None."""
        guaranteed = _guaranteed_accelerators(self.team)
        if self.reclaimable is None or self.reclaimable >= guaranteed:
            return None
        return (
            f"{self.team.name}: only {self.reclaimable} of the {guaranteed} guaranteed "
            "accelerators can be reclaimed at present; run 'worker list' to see which workers are "
            "unusable."
        )

    @property
    def row(self) -> tuple[object, ...]:
        """The table row under ``TEAM_HEADERS``."""
        team = self.team
        return (
            team.name,
            format_guarantee(team),
            team.accelerator_quota,
            self.in_use,
            self.borrowed,
            self.reclaimable,
        )


def format_guarantee(team: Team) -> str:
    """Formats the guaranteed blocks, for example ``2 x 8 accelerators``; empty without any."""
    if team.guarantee is None:
        return ""
    return f"{team.guarantee.blocks} x {team.guarantee.accelerators_per_block} accelerators"


def read_teams(client: SiteClient) -> Result[list[TeamView], CallFailure]:
    """Reads the teams of the configuration and their published usage."""
    configuration = client.get("read teams", CONFIGURATION_PATH, Configuration)
    if isinstance(configuration, Err):
        return configuration
    zones = client.get("read zones", ZONES_PATH, list[ZoneSummary])
    if isinstance(zones, Err):
        return zones
    return Ok([build_team_view(team, zones.ok_value) for team in configuration.ok_value.teams])


def build_team_view(team: Team, zones: Iterable[ZoneSummary]) -> TeamView:
    """Sums up the usage of a team over the zones."""
    usages = [usage for zone in zones for usage in zone.teams if usage.team == team.name]
    if not usages:
        return TeamView(team)
    return TeamView(
        team,
        sum(usage.in_use for usage in usages),
        sum(usage.borrowed for usage in usages),
        # The sum can exceed the guarantee: a zone that holds no guaranteed block of the team may
        # still have capacity for one.
        min(sum(usage.reclaimable for usage in usages), _guaranteed_accelerators(team)),
    )


def _guaranteed_accelerators(team: Team) -> int:
    if team.guarantee is None:
        return 0
    return team.guarantee.blocks * team.guarantee.accelerators_per_block
