"""``jujubehall config show``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec

from result import Err

from jujubehall.console.configuration_change import CONFIGURATION_PATH
from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.configuration.document import Defaults

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option


@register
class ConfigShowCommand(SiteCommand):
    """Shows the fleet defaults and the exceptions in force."""

    name = "config show"
    description = "Shows the fleet defaults and the exceptions in force."
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the configuration."""
        found = self.site.get("read configuration", CONFIGURATION_PATH, Configuration)
        if isinstance(found, Err):
            return self.fail(found.err_value)
        configuration: Configuration = found.ok_value
        if self.wants_json:
            return self.show_json(configuration)
        self.say(f"Configuration number {configuration.number}")
        self._show_defaults(configuration.defaults)
        self._show_exceptions(configuration)
        return 0

    def _show_defaults(self, defaults: Defaults) -> None:
        shipped = msgspec.to_builtins(Defaults())
        in_force = msgspec.to_builtins(defaults)
        rows = [(key, value, shipped[key]) for key, value in in_force.items()]
        self.show_table(["Default", "Value", "As shipped"], rows)

    def _show_exceptions(self, configuration: Configuration) -> None:
        if not configuration.exceptions:
            self.say("No exceptions.")
            return
        rows = [(e.scope, e.key, e.value, e.reason, e.author) for e in configuration.exceptions]
        self.show_table(["Scope", "Key", "Value", "Reason", "Author"], rows)
