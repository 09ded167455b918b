"""The command ``jujubehall config exception remove``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import argument

from jujubehall.console.configuration_change import CHANGE_OPTIONS
from jujubehall.console.configuration_change import ChangeCommand
from jujubehall.console.registry import register
from jujubehall.operators.messages import RemoveExceptionBody

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class ConfigExceptionRemoveCommand(ChangeCommand):
    """Removes the override of a fleet default within a scope."""

    name = "config exception remove"
    description = "Removes an exception, so that the fleet default applies again."
    arguments: ClassVar[list[Argument]] = [
        argument("scope", "Scope of the exception."),
        argument("key", "Name of the fleet default."),
    ]
    options: ClassVar[list[Option]] = CHANGE_OPTIONS

    def handle(self) -> int:
        """Sends the change and returns the exit code."""
        exit_code = self.require_reason()
        if exit_code is not None:
            return exit_code
        scope = self.argument("scope")
        key = self.argument("key")
        path = "/v1/configuration/exceptions"
        result = self.change("DELETE", path, RemoveExceptionBody, scope=scope, key=key)
        return self.report(result, f"Removed the exception {key} for {scope}")
