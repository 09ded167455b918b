"""``jujubehall settings check``."""

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
    """Checks settings files of the daemon."""

    name = "settings check"
    description = "Checks settings files of the daemon and reports every fault with its path."
    arguments: ClassVar[list[Argument]] = [
        argument("files", "The JSON settings files.", multiple=True)
    ]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def handle(self) -> int:
        """Checks each file."""
        faults = {name: _faults(Path(name)) for name in self.argument("files")}
        if self.option("json"):
            self.line(Formatter.escape(msgspec.json.encode(faults).decode()))
        else:
            for name, found in faults.items():
                self._report(name, found)
        return int(ExitCode.INVALID if any(faults.values()) else ExitCode.SUCCESS)

    def _report(self, name: str, faults: list[str]) -> None:
        if not faults:
            self.line(Formatter.escape(f"{name}: correct"))
        for fault in faults:
            self.line_error(Formatter.escape(f"{name}: {fault}"))


def _faults(path: Path) -> list[str]:
    loaded = load_settings(path)
    return loaded.err_value if isinstance(loaded, Err) else []
