"""The command ``jujubehall team create``."""

from __future__ import annotations

import re

from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec

from cleo.helpers import argument
from cleo.helpers import option
from result import Err
from result import Ok
from result import Result

from jujubehall.console.call_failure import CallFailure
from jujubehall.console.configuration_change import CHANGE_OPTIONS
from jujubehall.console.configuration_change import ChangeCommand
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.registry import register
from jujubehall.core.configuration.document import Shape
from jujubehall.core.configuration.document import Team
from jujubehall.operators.messages import PutTeamBody

if TYPE_CHECKING:
    from typing import Any

    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

GUARANTEE_PATTERN = re.compile(r"(\d+)x(\d+)")


@register
class TeamCreateCommand(ChangeCommand):
    """Creates or replaces a team."""

    name = "team create"
    description = "Creates a team with its guarantee and quota, or replaces the team of that name."
    arguments: ClassVar[list[Argument]] = [argument("team", "Name of the team.")]
    options: ClassVar[list[Option]] = [
        *CHANGE_OPTIONS,
        option(
            "guarantee",
            None,
            "Guaranteed blocks of adjacent accelerators, for example 2x8 for two blocks of eight.",
            flag=False,
        ),
        option(
            "quota", None, "Maximum number of accelerators in use at the same time.", flag=False
        ),
    ]

    def handle(self) -> int:
        """Sends the change and returns the exit code."""
        exit_code = self.require_reason()
        if exit_code is not None:
            return exit_code
        team = parse_team(self.argument("team"), self.option("guarantee"), self.option("quota"))
        if isinstance(team, Err):
            return self.show_failure(team.err_value)
        result = self.change("POST", "/v1/teams", PutTeamBody, team=team.ok_value)
        return self.report(result, f"Created team {team.ok_value.name}")


def parse_team(name: str, guarantee: str | None, quota: str | None) -> Result[Team, CallFailure]:
    """Builds a team from the values of the command-line options."""
    fields: dict[str, Any] = {"name": name}
    if guarantee is not None:
        match = GUARANTEE_PATTERN.fullmatch(guarantee)
        if match is None:
            return _invalid(
                f"--guarantee: {guarantee!r} is not of the form BLOCKSxSIZE, such as 2x8"
            )
        blocks, accelerators = (int(group) for group in match.groups())
        fields["guarantee"] = Shape(blocks, accelerators)
    if quota is not None:
        if not quota.isdecimal():
            return _invalid(f"--quota: {quota!r} is not a non-negative integer")
        fields["accelerator_quota"] = int(quota)
    try:
        return Ok(msgspec.convert(msgspec.to_builtins(fields), Team))
    except msgspec.ValidationError as error:
        return _invalid(str(error))


def _invalid(message: str) -> Err[CallFailure]:
    return Err(CallFailure(ExitCode.INVALID, message, "read arguments", "operator"))
