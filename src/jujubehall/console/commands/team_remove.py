"""The command ``jujubehall team remove``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import argument

from jujubehall.console.configuration_change import CHANGE_OPTIONS
from jujubehall.console.configuration_change import ChangeCommand
from jujubehall.console.registry import register
from jujubehall.operators.messages import RemoveTeamBody

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class TeamRemoveCommand(ChangeCommand):
    """Removes a team and its guarantee."""

    name = "team remove"
    description = "Removes a team and its guarantee."
    arguments: ClassVar[list[Argument]] = [argument("team", "Name of the team.")]
    options: ClassVar[list[Option]] = CHANGE_OPTIONS

    def handle(self) -> int:
        """Sends the change and returns the exit code."""
        exit_code = self.require_reason()
        if exit_code is not None:
            return exit_code
        team = self.argument("team")
        result = self.change("DELETE", "/v1/teams", RemoveTeamBody, team=team)
        return self.report(result, f"Removed team {team}")
