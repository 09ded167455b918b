"""``jujubehall config set``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import argument

from jujubehall.console.configuration_change import CHANGE_OPTIONS
from jujubehall.console.configuration_change import ChangeCommand
from jujubehall.console.json_value import parse_value
from jujubehall.console.registry import register
from jujubehall.operators.messages import SetDefaultBody

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class ConfigSetCommand(ChangeCommand):
    """Sets one fleet default."""

    name = "config set"
    description = "Sets one fleet default."
    arguments: ClassVar[list[Argument]] = [
        argument("key", "The default."),
        argument("value", "Its value, as JSON."),
    ]
    options: ClassVar[list[Option]] = CHANGE_OPTIONS

    def handle(self) -> int:
        """Sends the change."""
        refused = self.refuse_without_reason()
        if refused is not None:
            return refused
        key = self.argument("key")
        value = parse_value(self.argument("value"))
        path = "/v1/configuration/defaults"
        changed = self.change("POST", path, SetDefaultBody, key=key, value=value)
        return self.report(changed, f"Set {key} to {self.argument('value')}")
