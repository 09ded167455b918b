"""``jujubehall endpoint list``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from result import Err

from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.operators.messages import EndpointView

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option


@register
class EndpointListCommand(SiteCommand):
    """Lists the endpoints."""

    name = "endpoint list"
    description = "Lists the endpoints as the answering entry host sees them."
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the endpoints."""
        found = self.site.get("list endpoints", "/v1/endpoints", list[EndpointView])
        if isinstance(found, Err):
            return self.fail(found.err_value)
        if self.wants_json:
            return self.show_json(found.ok_value)
        rows = [(each.name, each.zone, each.state, each.in_flight) for each in found.ok_value]
        return self.show_table(["Endpoint", "Zone", "State", "In flight"], rows)
