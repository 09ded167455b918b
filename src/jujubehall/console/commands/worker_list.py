"""``jujubehall worker list``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec

from result import Err

from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.console.team_view import ZONES_PATH
from jujubehall.core.jobs.zone_summary import WorkerSummary
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.platform.host import Host
from jujubehall.platform.host import HostKind

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

HEADERS = ["Worker", "Zone", "Rack", "Listed as", "State", "Accelerators", "Free", "Foreign"]


class WorkerView(msgspec.Struct, frozen=True):
    """A worker of the platform's list, with what the owner of its zone publishes about it.

    ``summary`` is None until the owner has published.
    """

    host: Host
    summary: WorkerSummary | None

    @property
    def row(self) -> tuple[object, ...]:
        """The worker as a row under ``HEADERS``."""
        host = self.host
        known = self.summary
        listed = (host.name, host.zone, host.rack, host.state.value)
        if known is None:
            return (*listed, None, None, None, None)
        return (*listed, known.state, known.accelerators, known.free, known.foreign)


@register
class WorkerListCommand(SiteCommand):
    """Lists the workers."""

    name = "worker list"
    description = "Lists the workers with their state and free accelerators."
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the workers."""
        site = self.site
        hosts = site.get("list hosts", "/v1/hosts", list[Host])
        if isinstance(hosts, Err):
            return self.fail(hosts.err_value)
        zones = site.get("read zones", ZONES_PATH, list[ZoneSummary])
        if isinstance(zones, Err):
            return self.fail(zones.err_value)
        known = {worker.worker: worker for zone in zones.ok_value for worker in zone.workers}
        views = [
            WorkerView(host, known.get(host.name))
            for host in hosts.ok_value
            if host.kind is HostKind.WORKER
        ]
        if self.wants_json:
            return self.show_json(views)
        return self.show_table(HEADERS, [view.row for view in views])
