"""``jujubehall request send``."""

from __future__ import annotations

import uuid

from pathlib import Path
from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec

from cleo.helpers import option
from result import Err
from result import Ok
from result import Result

from jujubehall.console.call_failure import CallFailure
from jujubehall.console.configuration_change import parse_number
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.input_file import read_input
from jujubehall.console.json_value import parse_value
from jujubehall.console.registry import register
from jujubehall.console.request_sender import EXIT_CODE_OF_OUTCOME
from jujubehall.console.request_sender import send_until_run
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.core.requests.request import DEFAULT_DEADLINE_MS
from jujubehall.core.requests.request import Answer
from jujubehall.core.requests.request import Request

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

ANSWER_HEADERS = ["Request", "Outcome", "Result", "Reason", "Step", "Peer"]


@register
class RequestSendCommand(SiteCommand):
    """Sends requests to the endpoints."""

    name = "request send"
    description = "Sends one request given by options, or the requests of a JSON file."
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option("file", None, "A JSON list of requests.", flag=False),
        option("id", None, "The identifier; the same one on every attempt.", flag=False),
        option("team", None, "The team.", flag=False),
        option("kind", None, "The kind, for example slot-hold.", flag=False),
        option("payload", None, "The content, as JSON.", flag=False),
        option("idempotent", None, "Running it twice does no harm."),
        option(
            "deadline-ms",
            None,
            "How long the answer is of use, in milliseconds.",
            flag=False,
            default=str(DEFAULT_DEADLINE_MS),
        ),
        option(
            "patience-ms",
            None,
            'How long to try again after "not run", in milliseconds.',
            flag=False,
            default="0",
        ),
    ]

    def handle(self) -> int:
        """Sends each request in turn."""
        requests = self._read()
        if isinstance(requests, Err):
            return self.fail(requests.err_value)
        patience = parse_number("--patience-ms", self.option("patience-ms"))
        if isinstance(patience, Err):
            return self.fail(patience.err_value)
        answers: list[Answer] = []
        for request in requests.ok_value:
            answered = send_until_run(self.site, request, patience.ok_value)
            if isinstance(answered, Err):
                return self.fail(answered.err_value)
            answers.append(answered.ok_value)
        return self._show(answers)

    def _show(self, answers: list[Answer]) -> int:
        if self.wants_json:
            self.show_json(answers)
        else:
            rows = [(a.id, a.outcome.value, a.result, a.reason, a.step, a.peer) for a in answers]
            self.show_table(ANSWER_HEADERS, rows)
        return int(max((EXIT_CODE_OF_OUTCOME[a.outcome] for a in answers), default=0))

    def _read(self) -> Result[list[Request], CallFailure]:
        if self.option("file"):
            return read_input(Path(self.option("file")), list[Request])
        payload = self.option("payload")
        fields = {
            "id": self.option("id") or f"request-{uuid.uuid4().hex[:16]}",
            "team": self.option("team"),
            "kind": self.option("kind"),
            "payload": None if payload is None else parse_value(payload),
            "idempotent": bool(self.option("idempotent")),
            "deadline_ms": self.option("deadline-ms"),
        }
        try:
            return Ok([msgspec.convert(fields, Request, strict=False)])
        except msgspec.ValidationError as error:
            message = f"{error}; give --file, or --team and --kind"
            return Err(CallFailure(ExitCode.INVALID, message, "read arguments", "operator"))
