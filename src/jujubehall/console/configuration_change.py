"""Shared code of the commands that change the configuration."""

from __future__ import annotations

import getpass
import os
import uuid

from typing import TYPE_CHECKING
from typing import Any

from cleo.helpers import option
from result import Err
from result import Ok
from result import Result

from jujubehall.console.call_failure import CallFailure
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.core.configuration.document import Configuration

if TYPE_CHECKING:
    from jujubehall.console.site_client import SiteClient
    from jujubehall.operators.messages import ChangeBody

AUTHOR_ENV_VAR = "JUJUBEHALL_AUTHOR"
CONFIGURATION_PATH = "/v1/configuration"

CHANGE_OPTIONS = [
    *SITE_OPTIONS,
    option("reason", None, "Reason, recorded in the audit trail. Required.", flag=False),
    option(
        "author",
        None,
        f"Author of the change; default: {AUTHOR_ENV_VAR}, or else the login name.",
        flag=False,
    ),
    option(
        "expected-number",
        None,
        "Configuration number that the change is based on; the change is rejected if the "
        "configuration has changed since. Default: the current number.",
        flag=False,
    ),
]


class ChangeCommand(SiteCommand):
    """Base class of the commands that change the configuration."""

    def change(
        self, method: str, path: str, body_type: type[ChangeBody], **fields: Any
    ) -> Result[Configuration, CallFailure]:
        """Sends a change with the expected configuration number and a new token.

        If the response is lost or reports a conflict, looks up the token in the audit trail to find
        out whether the change took effect. Returns the new configuration.
        """
        client = self.client
        expected = self._expected_number(client)
        if isinstance(expected, Err):
            return expected
        body = body_type(
            expected_number=expected.ok_value,
            author=self._author,
            reason=self.option("reason"),
            token=uuid.uuid4().hex,
            **fields,
        )
        result = client.call("change configuration", method, path, Configuration, body)
        if isinstance(result, Err):
            return _resolve_uncertain_change(client, body.token, result.err_value)
        return result

    def require_reason(self) -> int | None:
        """Reports an error and returns its exit code if --reason is missing, or else None."""
        if self.option("reason"):
            return None
        self.line_error("<error>--reason is required; it is recorded in the audit trail.</error>")
        return int(ExitCode.INVALID)

    def report(self, result: Result[Configuration, CallFailure], summary: str) -> int:
        """Prints the result of a change and returns the exit code."""
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        if self.wants_json:
            return self.show_json(result.ok_value)
        self.show_text(f"{summary}; the configuration is now number {result.ok_value.number}.")
        return 0

    @property
    def _author(self) -> str:
        author = self.option("author") or os.environ.get(AUTHOR_ENV_VAR) or getpass.getuser()
        return str(author)

    def _expected_number(self, client: SiteClient) -> Result[int, CallFailure]:
        given = self.option("expected-number")
        if given is not None:
            return parse_non_negative_int("--expected-number", given)
        result = client.get("read configuration", CONFIGURATION_PATH, Configuration)
        return result.map(lambda configuration: configuration.number)


def parse_non_negative_int(option_name: str, text: str) -> Result[int, CallFailure]:
    """Parses the value of an option as a decimal integer of 0 or more."""
    if text.isdecimal():
        return Ok(int(text))
    message = f"{option_name}: {text!r} is not a non-negative integer"
    return Err(CallFailure(ExitCode.INVALID, message, "read arguments", "operator"))


def _resolve_uncertain_change(
    client: SiteClient, token: str, failure: CallFailure
) -> Result[Configuration, CallFailure]:
    """Looks up the token of a failed change in the audit trail to find out if it took effect.

    The result is uncertain if the response was lost, or if a repetition of the change conflicts
    with its own first attempt. Returns the configuration if the token is found, else ``failure``.
    """
    if failure.exit_code not in (ExitCode.CONFLICT, ExitCode.UNKNOWN):
        return Err(failure)
    result = client.get("verify change", CONFIGURATION_PATH, Configuration)
    if isinstance(result, Ok) and any(entry.token == token for entry in result.ok_value.audit):
        return result
    return Err(failure)
