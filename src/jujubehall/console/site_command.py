"""Base class of the commands that call a site: common options, output and error reporting."""

from __future__ import annotations

import os

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import option
from cleo.io.outputs.output import Type
from cleo.ui.table import Table

from jujubehall.console.site_client import SiteClient

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cleo.ui.table import Rows

    from jujubehall.console.call_failure import CallFailure

ENTRY_HOSTS_ENV_VAR = "JUJUBEHALL_ENTRY_HOSTS"

JSON_OPTION = option("json", None, "Print JSON instead of tables.")
SITE_OPTIONS = [
    option(
        "entry-host",
        None,
        "Base URL of an entry host; may be repeated. Default: the comma-separated addresses in "
        f"{ENTRY_HOSTS_ENV_VAR}.",
        flag=False,
        multiple=True,
    ),
    JSON_OPTION,
]


class SiteCommand(Command):
    """Base class of the commands that call entry hosts."""

    @property
    def client(self) -> SiteClient:
        """A new client of the entry hosts given by --entry-host or the environment."""
        addresses = self.option("entry-host") or os.environ.get(ENTRY_HOSTS_ENV_VAR, "").split(",")
        return SiteClient([address.strip() for address in addresses if address.strip()])

    @property
    def wants_json(self) -> bool:
        """Whether the output is JSON."""
        return bool(self.option("json"))

    def show_json(self, data: object) -> int:
        """Prints ``data`` as JSON on one line and returns exit code 0."""
        self.io.write_line(msgspec.json.encode(data).decode(), type=Type.RAW)
        return 0

    def show_table(self, headers: list[str], rows: Iterable[Iterable[object]]) -> int:
        """Prints a table and returns exit code 0."""
        cells: Rows = [[_format_cell(value) for value in row] for row in rows]
        Table(self.io, "compact").set_headers(list(headers)).set_rows(cells).render()
        return 0

    def show_text(self, text: str) -> None:
        """Prints a line of text, unless the output is JSON."""
        if not self.wants_json:
            self.line(Formatter.escape(text))

    def show_failure(self, failure: CallFailure) -> int:
        """Prints a failure with its advice to standard error and returns its exit code."""
        location = f" (step: {failure.step}, peer: {failure.peer})" if failure.peer else ""
        self.line_error(f"<error>{Formatter.escape(failure.message)}</error>{location}")
        self.line_error(failure.advice)
        return int(failure.exit_code)


def _format_cell(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, str | int | float):
        return Formatter.escape(str(value))
    return Formatter.escape(msgspec.json.encode(value).decode())
