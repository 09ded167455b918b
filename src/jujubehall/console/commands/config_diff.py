"""``jujubehall config diff``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import option
from result import Err
from result import Ok
from result import Result

from jujubehall.console.call_failure import CallFailure
from jujubehall.console.configuration_change import CONFIGURATION_PATH
from jujubehall.console.configuration_change import parse_number
from jujubehall.console.configuration_difference import differences_from_shipped
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

HISTORY_LIMIT = 10_000


@register
class ConfigDiffCommand(SiteCommand):
    """Shows what differs from the shipped configuration or from an earlier number."""

    name = "config diff"
    description = "Shows what differs from the shipped configuration or from an earlier number."
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option("since", None, "Compare with the configuration of this number.", flag=False),
    ]

    def handle(self) -> int:
        """Computes and prints the differences."""
        found = self._differences()
        if isinstance(found, Err):
            return self.fail(found.err_value)
        if self.wants_json:
            return self.show_json(found.ok_value)
        if not found.ok_value:
            self.say("No differences.")
            return 0
        rows = [(each.path, each.before, each.after) for each in found.ok_value]
        return self.show_table(["Path", "Before", "After"], rows)

    def _differences(self) -> Result[list[Difference], CallFailure]:
        site = self.site
        if self.option("since") is None:
            found = site.get("read configuration", CONFIGURATION_PATH, Configuration)
            return found.map(differences_from_shipped)
        since = parse_number("--since", self.option("since"))
        if isinstance(since, Err):
            return since
        path = f"/v1/configuration/history?limit={HISTORY_LIMIT}"
        history = site.get("read history", path, list[AuditEntry])
        if isinstance(history, Err):
            return history
        oldest = min((entry.number for entry in history.ok_value), default=1)
        if oldest > since.ok_value + 1:
            message = f"the audit trail begins with number {oldest}"
            return Err(CallFailure(ExitCode.NOT_FOUND, message, "read history", "entry host"))
        return Ok(differences_since(history.ok_value, since.ok_value))
