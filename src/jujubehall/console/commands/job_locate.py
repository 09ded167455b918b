"""The command ``jujubehall job locate``."""

from __future__ import annotations

import sys

from pathlib import Path
from typing import TYPE_CHECKING
from typing import ClassVar

import httpx
import msgspec

from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import argument
from cleo.helpers import option

from jujubehall.clock import to_seconds
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.placement_text import placement_lines
from jujubehall.console.registry import register
from jujubehall.console.site_command import JSON_OPTION
from jujubehall.core.fleet.placement_preview import JobPreview

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

TIMEOUT_MS = 5_000
SAMPLE_JOB_ID = "0" * 16
STDIN = "-"


@register
class JobLocateCommand(Command):
    """Shows where a job would be placed now, and why, without submitting it."""

    name = "job locate"
    description = "Shows where a job would be placed now, and why, without submitting it."
    arguments: ClassVar[list[Argument]] = [
        argument(
            "address", "Base URL of an entry host's metrics, for example http://10.1.0.19:9464."
        ),
        argument("queue", "Host and path prefix of the queue, for example jobs.example/renders/."),
        argument("file", "File with the body of the submission, or - for standard input."),
    ]
    options: ClassVar[list[Option]] = [
        option("key", None, "API key of the team that would submit the job.", flag=False),
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Asks the entry host, prints its answer and returns the exit code."""
        queue_host, _, prefix = self.argument("queue").partition("/")
        name = self.argument("file")
        try:
            body = sys.stdin.buffer.read() if name == STDIN else Path(name).read_bytes()
        except OSError as error:
            return self._fail(f"{error.filename}: {error.strerror}", ExitCode.INVALID)
        headers = {"Host": queue_host, "Content-Type": "application/json"}
        if self.option("key"):
            headers["Authorization"] = f"Token {self.option('key')}"
        url = f"{self.argument('address').rstrip('/')}/locate/{prefix.rstrip('/')}/{SAMPLE_JOB_ID}"
        try:
            response = httpx.post(
                url,
                content=body,
                headers=headers,
                timeout=to_seconds(TIMEOUT_MS),
                trust_env=False,
            )
        except httpx.HTTPError as error:
            return self._fail(f"{url}: {error}", ExitCode.UNREACHABLE)
        if not response.is_success:
            return self._show_refusal(response)
        if self.option("json"):
            self.line(Formatter.escape(response.text))
            return int(ExitCode.SUCCESS)
        preview = msgspec.json.decode(response.content, type=JobPreview)
        for line in placement_lines(preview):
            self.line(Formatter.escape(line))
        return int(ExitCode.SUCCESS)

    def _show_refusal(self, response: httpx.Response) -> int:
        retry_after = response.headers.get("Retry-After")
        when = f", to be sent again in {retry_after} s" if retry_after else ""
        exit_code = ExitCode.NOT_RUN if retry_after else ExitCode.INVALID
        return self._fail(
            f"would be refused with status {response.status_code}{when}: {response.text}", exit_code
        )

    def _fail(self, message: str, exit_code: ExitCode) -> int:
        self.line_error(Formatter.escape(message))
        return int(exit_code)
