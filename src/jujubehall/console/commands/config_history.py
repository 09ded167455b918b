"""The command ``jujubehall config history``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import option
from result import Err

from jujubehall.console.audit_table import AUDIT_HEADERS
from jujubehall.console.audit_table import audit_rows
from jujubehall.console.configuration_change import parse_non_negative_int
from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.core.configuration.document import AuditEntry

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

DEFAULT_MAX_ENTRIES = "50"


@register
class ConfigHistoryCommand(SiteCommand):
    """Shows the audit trail of the configuration."""

    name = "config history"
    description = "Shows who changed what and why, newest change last."
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option(
            "limit",
            None,
            "Maximum number of changes to show.",
            flag=False,
            default=DEFAULT_MAX_ENTRIES,
        ),
    ]

    def handle(self) -> int:
        """Reads and prints the audit trail, and returns the exit code."""
        limit = parse_non_negative_int("--limit", self.option("limit"))
        if isinstance(limit, Err):
            return self.show_failure(limit.err_value)
        path = f"/v1/configuration/history?limit={limit.ok_value}"
        result = self.client.get("read history", path, list[AuditEntry])
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        entries = sorted(result.ok_value, key=lambda entry: entry.number)
        if self.wants_json:
            return self.show_json(entries)
        return self.show_table(AUDIT_HEADERS, audit_rows(entries))
