"""The command ``jujubehall endpoint list``."""

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
    description = "Lists the endpoints as seen by the entry host that responds."
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the endpoints, and returns the exit code."""
        result = self.client.get("list endpoints", "/v1/endpoints", list[EndpointView])
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        if self.wants_json:
            return self.show_json(result.ok_value)
        rows = [(view.name, view.zone, view.state, view.in_flight) for view in result.ok_value]
        return self.show_table(["Endpoint", "Zone", "State", "In flight"], rows)
