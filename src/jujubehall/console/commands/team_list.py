"""The command ``jujubehall team list``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from result import Err

from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.console.team_view import TEAM_HEADERS
from jujubehall.console.team_view import read_teams

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option


@register
class TeamListCommand(SiteCommand):
    """Lists the teams."""

    name = "team list"
    description = "Lists the teams with their guarantee, usage and reclaimable accelerators."
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the teams, and returns the exit code."""
        result = read_teams(self.client)
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        if self.wants_json:
            return self.show_json(result.ok_value)
        self.show_table(TEAM_HEADERS, [view.row for view in result.ok_value])
        for view in result.ok_value:
            if view.shortfall_warning:
                self.show_text(view.shortfall_warning)
        return 0
