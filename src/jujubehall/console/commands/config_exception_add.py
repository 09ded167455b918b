"""``jujubehall config exception add``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import argument

from jujubehall.console.configuration_change import CHANGE_OPTIONS
from jujubehall.console.configuration_change import ChangeCommand
from jujubehall.console.json_value import parse_value
from jujubehall.console.registry import register
from jujubehall.operators.messages import AddExceptionBody

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class ConfigExceptionAddCommand(ChangeCommand):
    """Overrides one default within a scope."""

    name = "config exception add"
    description = "Overrides one default within a scope, for a written reason."
    arguments: ClassVar[list[Argument]] = [
        argument("scope", "Where it holds, for example zone/khomas-a."),
        argument("key", "The default."),
        argument("value", "Its value in the scope, as JSON."),
    ]
    options: ClassVar[list[Option]] = CHANGE_OPTIONS

    def handle(self) -> int:
        """Sends the change."""
        refused = self.refuse_without_reason()
        if refused is not None:
            return refused
        scope = self.argument("scope")
        key = self.argument("key")
        value = parse_value(self.argument("value"))
        path = "/v1/configuration/exceptions"
        changed = self.change("POST", path, AddExceptionBody, scope=scope, key=key, value=value)
        return self.report(changed, f"Added the exception {key} for {scope}")
