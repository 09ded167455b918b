"""The command ``jujubehall config show``."""

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
    """Shows the current fleet defaults and exceptions."""

    name = "config show"
    description = "Shows the current fleet defaults and exceptions."
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the configuration, and returns the exit code."""
        result = self.client.get("read configuration", CONFIGURATION_PATH, Configuration)
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        configuration: Configuration = result.ok_value
        if self.wants_json:
            return self.show_json(configuration)
        self.show_text(f"Configuration number {configuration.number}")
        self._show_defaults(configuration.defaults)
        self._show_exceptions(configuration)
        return 0

    def _show_defaults(self, defaults: Defaults) -> None:
        builtin = msgspec.to_builtins(Defaults())
        current = msgspec.to_builtins(defaults)
        rows = [(key, value, builtin[key]) for key, value in current.items()]
        self.show_table(["Default", "Value", "Built-in value"], rows)

    def _show_exceptions(self, configuration: Configuration) -> None:
        if not configuration.exceptions:
            self.show_text("No exceptions.")
            return
        rows = [(e.scope, e.key, e.value, e.reason, e.author) for e in configuration.exceptions]
        self.show_table(["Scope", "Key", "Value", "Reason", "Author"], rows)
