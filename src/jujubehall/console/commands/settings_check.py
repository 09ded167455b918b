"""The command ``jujubehall settings check``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec

from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import argument
from result import Err

from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.registry import register
from jujubehall.console.site_command import JSON_OPTION
from jujubehall.daemon.settings import load_settings

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class SettingsCheckCommand(Command):
    """Validates settings files of the daemon."""

    name = "settings check"
    description = "Validates settings files of the daemon and reports each error with its path."
    arguments: ClassVar[list[Argument]] = [argument("files", "JSON settings files.", multiple=True)]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def handle(self) -> int:
        """Validates the files, prints their errors and returns the exit code."""
        errors_by_file = {name: _validation_errors(Path(name)) for name in self.argument("files")}
        if self.option("json"):
            self.line(Formatter.escape(msgspec.json.encode(errors_by_file).decode()))
        else:
            for name, errors in errors_by_file.items():
                self._report(name, errors)
        return int(ExitCode.INVALID if any(errors_by_file.values()) else ExitCode.SUCCESS)

    def _report(self, name: str, errors: list[str]) -> None:
        if not errors:
            self.line(Formatter.escape(f"{name}: valid"))
        for error in errors:
            self.line_error(Formatter.escape(f"{name}: {error}"))


def _validation_errors(path: Path) -> list[str]:
    loaded = load_settings(path)
    return loaded.err_value if isinstance(loaded, Err) else []
