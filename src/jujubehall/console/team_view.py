"""A team's guarantee beside what the owners of the zones publish about its use."""

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
    """A team over all zones; the counts are of accelerators.

    They are None until an owner of a zone has published about the team.
    """

    team: Team
    in_use: int | None = None
    borrowed: int | None = None
    reclaimable: int | None = None

    @property
    def shortfall(self) -> str | None:
        """What to tell an operator if the guarantee can't be met at present."""
        guaranteed = _guaranteed(self.team)
        if self.reclaimable is None or self.reclaimable >= guaranteed:
            return None
        return (
            f"{self.team.name}: only {self.reclaimable} of the {guaranteed} guaranteed accelerators "
            "can be reclaimed at present; see worker list for what is lost."
        )

    @property
    def row(self) -> tuple[object, ...]:
        """The team as a row under ``TEAM_HEADERS``."""
        team = self.team
        return (
            team.name,
            describe_guarantee(team),
            team.accelerator_quota,
            self.in_use,
            self.borrowed,
            self.reclaimable,
        )


def describe_guarantee(team: Team) -> str:
    """The guaranteed shape in words, for example ``2 x 8 accelerators``."""
    if team.guarantee is None:
        return ""
    return f"{team.guarantee.blocks} x {team.guarantee.accelerators_per_block} accelerators"


def read_teams(site: SiteClient) -> Result[list[TeamView], CallFailure]:
    """Reads the teams and their use."""
    configuration = site.get("read teams", CONFIGURATION_PATH, Configuration)
    if isinstance(configuration, Err):
        return configuration
    zones = site.get("read zones", ZONES_PATH, list[ZoneSummary])
    if isinstance(zones, Err):
        return zones
    return Ok([team_view(team, zones.ok_value) for team in configuration.ok_value.teams])


def team_view(team: Team, zones: Iterable[ZoneSummary]) -> TeamView:
    """Adds up what the zones publish about a team."""
    uses = [use for zone in zones for use in zone.teams if use.team == team.name]
    if not uses:
        return TeamView(team)
    return TeamView(
        team,
        sum(use.in_use for use in uses),
        sum(use.borrowed for use in uses),
        # A zone that keeps no block for the team may still have room for one.
        min(sum(use.reclaimable for use in uses), _guaranteed(team)),
    )


def _guaranteed(team: Team) -> int:
    if team.guarantee is None:
        return 0
    return team.guarantee.blocks * team.guarantee.accelerators_per_block
