"""The command ``jujubehall config set``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import argument

from jujubehall.console.configuration_change import CHANGE_OPTIONS
from jujubehall.console.configuration_change import ChangeCommand
from jujubehall.console.json_value import parse_json_or_string
from jujubehall.console.registry import register
from jujubehall.operators.messages import SetDefaultBody

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class ConfigSetCommand(ChangeCommand):
    """Sets a fleet default."""

    name = "config set"
    description = "Sets a fleet default."
    arguments: ClassVar[list[Argument]] = [
        argument("key", "Name of the fleet default."),
        argument("value", "New value, as JSON."),
    ]
    options: ClassVar[list[Option]] = CHANGE_OPTIONS

    def handle(self) -> int:
        """Sends the change and returns the exit code."""
        exit_code = self.require_reason()
        if exit_code is not None:
            return exit_code
        key = self.argument("key")
        value = parse_json_or_string(self.argument("value"))
        path = "/v1/configuration/defaults"
        result = self.change("POST", path, SetDefaultBody, key=key, value=value)
        return self.report(result, f"Set {key} to {self.argument('value')}")
