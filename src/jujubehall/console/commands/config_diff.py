"""The command ``jujubehall config diff``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import option
from result import Err
from result import Ok
from result import Result

from jujubehall.console.call_failure import CallFailure
from jujubehall.console.configuration_change import CONFIGURATION_PATH
from jujubehall.console.configuration_change import parse_non_negative_int
from jujubehall.console.configuration_difference import differences_from_builtin
from jujubehall.console.configuration_difference import differences_since
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.core.configuration.document import AuditEntry
from jujubehall.core.configuration.document import Configuration

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

    from jujubehall.console.configuration_difference import Difference

MAX_HISTORY_ENTRIES = 10_000


@register
class ConfigDiffCommand(SiteCommand):
    """Shows the differences from the built-in configuration or from an earlier one."""

    name = "config diff"
    description = "Shows the differences from the built-in configuration or from an earlier one."
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option("since", None, "Number of the earlier configuration to compare with.", flag=False),
    ]

    def handle(self) -> int:
        """Computes and prints the differences, and returns the exit code."""
        result = self._differences()
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        if self.wants_json:
            return self.show_json(result.ok_value)
        if not result.ok_value:
            self.show_text("No differences.")
            return 0
        rows = [(diff.path, diff.before, diff.after) for diff in result.ok_value]
        return self.show_table(["Path", "Before", "After"], rows)

    def _differences(self) -> Result[list[Difference], CallFailure]:
        client = self.client
        if self.option("since") is None:
            result = client.get("read configuration", CONFIGURATION_PATH, Configuration)
            return result.map(differences_from_builtin)
        since = parse_non_negative_int("--since", self.option("since"))
        if isinstance(since, Err):
            return since
        path = f"/v1/configuration/history?limit={MAX_HISTORY_ENTRIES}"
        history = client.get("read history", path, list[AuditEntry])
        if isinstance(history, Err):
            return history
        oldest = min((entry.number for entry in history.ok_value), default=1)
        if oldest > since.ok_value + 1:
            message = f"the audit trail starts at configuration number {oldest}"
            return Err(CallFailure(ExitCode.NOT_FOUND, message, "read history", "entry host"))
        return Ok(differences_since(history.ok_value, since.ok_value))
