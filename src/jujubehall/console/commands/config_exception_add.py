"""The command ``jujubehall config exception add``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import argument

from jujubehall.console.configuration_change import CHANGE_OPTIONS
from jujubehall.console.configuration_change import ChangeCommand
from jujubehall.console.json_value import parse_json_or_string
from jujubehall.console.registry import register
from jujubehall.operators.messages import AddExceptionBody

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class ConfigExceptionAddCommand(ChangeCommand):
    """Overrides a fleet default within a scope."""

    name = "config exception add"
    description = "Overrides a fleet default within a scope; requires a reason."
    arguments: ClassVar[list[Argument]] = [
        argument("scope", "Scope of the exception, for example zone/khomas-a."),
        argument("key", "Name of the fleet default."),
        argument("value", "Value within the scope, as JSON."),
    ]
    options: ClassVar[list[Option]] = CHANGE_OPTIONS

    def handle(self) -> int:
        """Sends the change and returns the exit code."""
        exit_code = self.require_reason()
        if exit_code is not None:
            return exit_code
        scope = self.argument("scope")
        key = self.argument("key")
        value = parse_json_or_string(self.argument("value"))
        path = "/v1/configuration/exceptions"
        result = self.change("POST", path, AddExceptionBody, scope=scope, key=key, value=value)
        return self.report(result, f"Added the exception {key} for {scope}")
