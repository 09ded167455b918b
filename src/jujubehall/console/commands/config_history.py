"""``jujubehall config history``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import option
from result import Err

from jujubehall.console.audit_table import AUDIT_HEADERS
from jujubehall.console.audit_table import audit_rows
from jujubehall.console.configuration_change import parse_number
from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.core.configuration.document import AuditEntry

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

DEFAULT_LIMIT = "50"


@register
class ConfigHistoryCommand(SiteCommand):
    """Shows the audit trail of the configuration."""

    name = "config history"
    description = "Shows who changed what and why, the latest change last."
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option("limit", None, "How many changes to show.", flag=False, default=DEFAULT_LIMIT),
    ]

    def handle(self) -> int:
        """Reads and prints the audit trail."""
        limit = parse_number("--limit", self.option("limit"))
        if isinstance(limit, Err):
            return self.fail(limit.err_value)
        path = f"/v1/configuration/history?limit={limit.ok_value}"
        found = self.site.get("read history", path, list[AuditEntry])
        if isinstance(found, Err):
            return self.fail(found.err_value)
        entries = sorted(found.ok_value, key=lambda entry: entry.number)
        if self.wants_json:
            return self.show_json(entries)
        return self.show_table(AUDIT_HEADERS, audit_rows(entries))
