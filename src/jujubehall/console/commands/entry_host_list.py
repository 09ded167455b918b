"""``jujubehall entry-host list``."""

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
HEADERS = ["Entry host", "Zone", "Address", "Draining", "Owns zones", "Request shards"]


@register
class EntryHostListCommand(SiteCommand):
    """Lists the entry hosts."""

    name = "entry-host list"
    description = "Lists the entry hosts and who owns what."
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the ownership record."""
        found = self.site.get("read ownership", OWNERSHIP_PATH, OwnershipView)
        if isinstance(found, Err):
            return self.fail(found.err_value)
        ownership: OwnershipView = found.ok_value
        if self.wants_json:
            return self.show_json(ownership)
        self.say(f"Ownership epoch {ownership.epoch}")
        rows = [
            (
                each.member.name,
                each.member.zone,
                each.member.http_address,
                each.member.draining,
                ", ".join(each.zones),
                each.request_shards,
            )
            for each in ownership.entry_hosts
        ]
        return self.show_table(HEADERS, rows)
