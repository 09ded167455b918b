"""What the commands that talk to a site share: options, output and errors."""

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

ENTRY_HOSTS_VARIABLE = "JUJUBEHALL_ENTRY_HOSTS"

JSON_OPTION = option("json", None, "Print JSON for programs in place of tables.")
SITE_OPTIONS = [
    option(
        "entry-host",
        None,
        "Base URL of an entry host; may be repeated. Without it, the addresses in "
        f"{ENTRY_HOSTS_VARIABLE} are tried, separated by commas.",
        flag=False,
        multiple=True,
    ),
    JSON_OPTION,
]


class SiteCommand(Command):
    """A command that calls entry hosts."""

    @property
    def site(self) -> SiteClient:
        """A client of the entry hosts that the options or the environment name."""
        named = self.option("entry-host") or os.environ.get(ENTRY_HOSTS_VARIABLE, "").split(",")
        return SiteClient([address.strip() for address in named if address.strip()])

    @property
    def wants_json(self) -> bool:
        """Whether the output is for a program."""
        return bool(self.option("json"))

    def show_json(self, data: object) -> int:
        """Prints ``data`` as JSON on one line."""
        self.io.write_line(msgspec.json.encode(data).decode(), type=Type.RAW)
        return 0

    def show_table(self, headers: list[str], rows: Iterable[Iterable[object]]) -> int:
        """Prints a table."""
        cells: Rows = [[_cell(value) for value in row] for row in rows]
        Table(self.io, "compact").set_headers(list(headers)).set_rows(cells).render()
        return 0

    def say(self, text: str) -> None:
        """Prints a line for people; programs don't see it."""
        if not self.wants_json:
            self.line(Formatter.escape(text))

    def fail(self, failure: CallFailure) -> int:
        """Reports a failure on standard error and returns its exit code."""
        where = f" (step: {failure.step}, peer: {failure.peer})" if failure.peer else ""
        self.line_error(f"<error>{Formatter.escape(failure.message)}</error>{where}")
        self.line_error(failure.advice)
        return int(failure.exit_code)


def _cell(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, str | int | float):
        return Formatter.escape(str(value))
    return Formatter.escape(msgspec.json.encode(value).decode())
