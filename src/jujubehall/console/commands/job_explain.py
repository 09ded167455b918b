"""The command ``jujubehall job explain``."""

from __future__ import annotations

import sys

from pathlib import Path
from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec

from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import argument

from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.job_history import job_history
from jujubehall.console.job_history import read_events
from jujubehall.console.registry import register
from jujubehall.console.site_command import JSON_OPTION

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class JobExplainCommand(Command):
    """Shows the history of a job from the logs of the entry hosts."""

    name = "job explain"
    description = "Shows the history of a job, with reasons, from collected logs."
    arguments: ClassVar[list[Argument]] = [
        argument("job", "Identifier of the job."),
        argument(
            "logs",
            "Log files of the entry hosts. Default: standard input.",
            optional=True,
            multiple=True,
        ),
    ]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def handle(self) -> int:
        """Prints the events sorted by time, one per line, and returns the exit code."""
        try:
            history = job_history(read_events(self._lines()), self.argument("job"))
        except OSError as error:
            self.line_error(Formatter.escape(f"{error.filename}: {error.strerror}"))
            return int(ExitCode.INVALID)
        if self.option("json"):
            self.line(Formatter.escape(msgspec.json.encode(history).decode()))
        elif not history:
            self.line_error(Formatter.escape(f"no log line mentions job {self.argument('job')}"))
        for line in [] if self.option("json") else history:
            self.line(Formatter.escape(f"{line.timestamp}  {line.entry_host}  {line.text}"))
        return int(ExitCode.SUCCESS if history else ExitCode.NOT_FOUND)

    def _lines(self) -> Iterable[str]:
        paths = self.argument("logs")
        if not paths:
            yield from sys.stdin
        for path in paths:
            yield from Path(path).read_text(encoding="utf-8", errors="replace").splitlines()
