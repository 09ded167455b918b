"""The command ``jujubehall request send``."""

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
from jujubehall.console.configuration_change import parse_non_negative_int
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.input_file import read_input
from jujubehall.console.json_value import parse_json_or_string
from jujubehall.console.registry import register
from jujubehall.console.request_sender import EXIT_CODE_BY_OUTCOME
from jujubehall.console.request_sender import send_with_retries
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
    """Sends requests to the endpoints of the site."""

    name = "request send"
    description = "Sends a request given by options, or the requests in a JSON file."
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option("file", None, "JSON file with a list of requests.", flag=False),
        option(
            "id", None, "Identifier of the request; use the same one for each retry.", flag=False
        ),
        option("team", None, "Team that sends the request.", flag=False),
        option("kind", None, "Kind of request, for example slot-hold.", flag=False),
        option("payload", None, "Payload of the request, as JSON.", flag=False),
        option("idempotent", None, "The request is idempotent: it may safely run more than once."),
        option(
            "deadline-ms",
            None,
            "Time after which the answer is no longer useful, in milliseconds.",
            flag=False,
            default=str(DEFAULT_DEADLINE_MS),
        ),
        option(
            "patience-ms",
            None,
            'Maximum time to retry a request with the outcome "not-run", in milliseconds.',
            flag=False,
            default="0",
        ),
    ]

    def handle(self) -> int:
        """Sends the requests one after the other, prints the answers and returns the exit code."""
        requests = self._read_requests()
        if isinstance(requests, Err):
            return self.show_failure(requests.err_value)
        retry_timeout = parse_non_negative_int("--patience-ms", self.option("patience-ms"))
        if isinstance(retry_timeout, Err):
            return self.show_failure(retry_timeout.err_value)
        answers: list[Answer] = []
        for request in requests.ok_value:
            result = send_with_retries(self.client, request, retry_timeout.ok_value)
            if isinstance(result, Err):
                return self.show_failure(result.err_value)
            answers.append(result.ok_value)
        return self._show(answers)

    def _show(self, answers: list[Answer]) -> int:
        if self.wants_json:
            self.show_json(answers)
        else:
            rows = [(a.id, a.outcome.value, a.result, a.reason, a.step, a.peer) for a in answers]
            self.show_table(ANSWER_HEADERS, rows)
        return int(max((EXIT_CODE_BY_OUTCOME[a.outcome] for a in answers), default=0))

    def _read_requests(self) -> Result[list[Request], CallFailure]:
        if self.option("file"):
            return read_input(Path(self.option("file")), list[Request])
        payload = self.option("payload")
        fields = {
            "id": self.option("id") or f"request-{uuid.uuid4().hex[:16]}",
            "team": self.option("team"),
            "kind": self.option("kind"),
            "payload": None if payload is None else parse_json_or_string(payload),
            "idempotent": bool(self.option("idempotent")),
            "deadline_ms": self.option("deadline-ms"),
        }
        try:
            return Ok([msgspec.convert(fields, Request, strict=False)])
        except msgspec.ValidationError as error:
            message = f"{error}; pass --file, or --team and --kind"
            return Err(CallFailure(ExitCode.INVALID, message, "read arguments", "operator"))
