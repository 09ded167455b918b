"""The command ``jujubehall entry-host list``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from result import Err

from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.operators.messages import OwnershipView

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

OWNERSHIP_PATH = "/v1/ownership"
ENTRY_HOST_HEADERS = ["Entry host", "Zone", "Address", "Draining", "Owns zones", "Request shards"]


@register
class EntryHostListCommand(SiteCommand):
    """Lists the entry hosts."""

    name = "entry-host list"
    description = "Lists the entry hosts with the zones and request shards that they own."
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the ownership record, and returns the exit code."""
        result = self.client.get("read ownership", OWNERSHIP_PATH, OwnershipView)
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        ownership: OwnershipView = result.ok_value
        if self.wants_json:
            return self.show_json(ownership)
        self.show_text(f"Ownership epoch {ownership.epoch}")
        rows = [
            (
                host.member.name,
                host.member.zone,
                host.member.http_address,
                host.member.draining,
                ", ".join(host.zones),
                host.request_shards,
            )
            for host in ownership.entry_hosts
        ]
        return self.show_table(ENTRY_HOST_HEADERS, rows)
