"""``jujubehall team show``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec

from cleo.helpers import argument
from result import Err

from jujubehall.console.call_failure import CallFailure
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.console.team_view import TEAM_HEADERS
from jujubehall.console.team_view import ZONES_PATH
from jujubehall.console.team_view import read_teams
from jujubehall.core.jobs.zone_summary import TeamUse
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from jujubehall.console.team_view import TeamView


class ZoneUse(msgspec.Struct, frozen=True):
    """A team's use of one zone."""

    zone: ZoneName
    use: TeamUse


@register
class TeamShowCommand(SiteCommand):
    """Shows one team, zone by zone."""

    name = "team show"
    description = "Shows a team: guarantee, in use, borrowed and reclaimable, zone by zone."
    arguments: ClassVar[list[Argument]] = [argument("team", "The team's name.")]
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the team."""
        site = self.site
        name = self.argument("team")
        teams = read_teams(site)
        if isinstance(teams, Err):
            return self.fail(teams.err_value)
        view = next((each for each in teams.ok_value if each.team.name == name), None)
        if view is None:
            message = f"there is no team {name}"
            return self.fail(CallFailure(ExitCode.NOT_FOUND, message, "show team", "entry host"))
        zones = site.get("read zones", ZONES_PATH, list[ZoneSummary])
        if isinstance(zones, Err):
            return self.fail(zones.err_value)
        uses = [
            ZoneUse(zone.zone, use)
            for zone in zones.ok_value
            for use in zone.teams
            if use.team == name
        ]
        return self._show(view, uses)

    def _show(self, view: TeamView, uses: list[ZoneUse]) -> int:
        if self.wants_json:
            return self.show_json({"team": view, "zones": uses})
        self.show_table(TEAM_HEADERS, [view.row])
        if view.shortfall:
            self.say(view.shortfall)
        if not uses:
            self.say("No owner of a zone has published the team's use yet.")
            return 0
        rows = [
            (z.zone, z.use.guaranteed, z.use.in_use, z.use.borrowed, z.use.reclaimable)
            for z in uses
        ]
        return self.show_table(["Zone", "Guaranteed", "In use", "Borrowed", "Reclaimable"], rows)
