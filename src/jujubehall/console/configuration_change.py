"""Changes the configuration from the command line and settles lost answers."""

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

AUTHOR_VARIABLE = "JUJUBEHALL_AUTHOR"
CONFIGURATION_PATH = "/v1/configuration"

CHANGE_OPTIONS = [
    *SITE_OPTIONS,
    option("reason", None, "Why; kept in the audit trail. Mandatory.", flag=False),
    option(
        "author",
        None,
        f"Who changes it; {AUTHOR_VARIABLE} or the user's name if not given.",
        flag=False,
    ),
    option(
        "expected-number",
        None,
        "The number of the configuration that you read; the change is refused if it has moved on. "
        "Without it, the present configuration is read first.",
        flag=False,
    ),
]


class ChangeCommand(SiteCommand):
    """A command that changes the configuration."""

    def change(
        self, method: str, path: str, body_type: type[ChangeBody], **fields: Any
    ) -> Result[Configuration, CallFailure]:
        """Sends a change of the configuration that the operator read."""
        site = self.site
        expected = self._expected_number(site)
        if isinstance(expected, Err):
            return expected
        body = body_type(
            expected_number=expected.ok_value,
            author=self._author,
            reason=self.option("reason"),
            token=uuid.uuid4().hex,
            **fields,
        )
        changed = site.call("change configuration", method, path, Configuration, body)
        if isinstance(changed, Err):
            return _settle(site, body.token, changed.err_value)
        return changed

    def refuse_without_reason(self) -> int | None:
        """Reports a missing reason; returns None if there is one."""
        if self.option("reason"):
            return None
        self.line_error("<error>--reason is mandatory: say why, for the audit trail.</error>")
        return int(ExitCode.INVALID)

    def report(self, changed: Result[Configuration, CallFailure], done: str) -> int:
        """Shows the outcome of a change."""
        if isinstance(changed, Err):
            return self.fail(changed.err_value)
        if self.wants_json:
            return self.show_json(changed.ok_value)
        self.say(f"{done}; the configuration is now number {changed.ok_value.number}.")
        return 0

    @property
    def _author(self) -> str:
        author = self.option("author") or os.environ.get(AUTHOR_VARIABLE) or getpass.getuser()
        return str(author)

    def _expected_number(self, site: SiteClient) -> Result[int, CallFailure]:
        given = self.option("expected-number")
        if given is not None:
            return parse_number("--expected-number", given)
        found = site.get("read configuration", CONFIGURATION_PATH, Configuration)
        return found.map(lambda configuration: configuration.number)


def parse_number(name: str, text: str) -> Result[int, CallFailure]:
    """Reads a whole number that is not negative."""
    if text.isdecimal():
        return Ok(int(text))
    message = f"{name}: {text!r} is not a whole number"
    return Err(CallFailure(ExitCode.INVALID, message, "read arguments", "operator"))


def _settle(
    site: SiteClient, token: str, failure: CallFailure
) -> Result[Configuration, CallFailure]:
    """Finds out whether a change whose answer was lost or that met itself took effect."""
    if failure.exit_code not in (ExitCode.CONFLICT, ExitCode.UNKNOWN):
        return Err(failure)
    found = site.get("settle change", CONFIGURATION_PATH, Configuration)
    if isinstance(found, Ok) and any(entry.token == token for entry in found.ok_value.audit):
        return found
    return Err(failure)
