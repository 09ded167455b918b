"""The command ``jujubehall team show``."""

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
from jujubehall.core.jobs.zone_summary import TeamUsage
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from jujubehall.console.team_view import TeamView


class ZoneUse(msgspec.Struct, frozen=True):
    """The accelerators that a team uses in one zone."""

    zone: ZoneName
    use: TeamUsage


@register
class TeamShowCommand(SiteCommand):
    """Shows a team with its usage per zone."""

    name = "team show"
    description = "Shows the guarantee of a team and its accelerator usage per zone."
    arguments: ClassVar[list[Argument]] = [argument("team", "Name of the team.")]
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the team, and returns the exit code."""
        client = self.client
        name = self.argument("team")
        teams = read_teams(client)
        if isinstance(teams, Err):
            return self.show_failure(teams.err_value)
        view = next((each for each in teams.ok_value if each.team.name == name), None)
        if view is None:
            message = f"there is no team named {name}"
            return self.show_failure(
                CallFailure(ExitCode.NOT_FOUND, message, "show team", "entry host")
            )
        zones = client.get("read zones", ZONES_PATH, list[ZoneSummary])
        if isinstance(zones, Err):
            return self.show_failure(zones.err_value)
        usages = [
            ZoneUse(zone.zone, use)
            for zone in zones.ok_value
            for use in zone.teams
            if use.team == name
        ]
        return self._show(view, usages)

    def _show(self, view: TeamView, usages: list[ZoneUse]) -> int:
        if self.wants_json:
            return self.show_json({"team": view, "zones": usages})
        self.show_table(TEAM_HEADERS, [view.row])
        if view.shortfall_warning:
            self.show_text(view.shortfall_warning)
        if not usages:
            self.show_text("No zone owner has published the usage of this team yet.")
            return 0
        rows = [
            (z.zone, z.use.guaranteed, z.use.in_use, z.use.borrowed, z.use.reclaimable)
            for z in usages
        ]
        return self.show_table(["Zone", "Guaranteed", "In use", "Borrowed", "Reclaimable"], rows)
