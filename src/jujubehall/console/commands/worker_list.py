"""The command ``jujubehall worker list``."""

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

WORKER_HEADERS = ["Worker", "Zone", "Rack", "Listed as", "State", "Accelerators", "Free", "Foreign"]


class WorkerView(msgspec.Struct, frozen=True):
    """A worker in the host list of the platform, with the summary published by its zone owner.

    ``summary`` is None until the zone owner has published one.
    """

    host: Host
    summary: WorkerSummary | None

    @property
    def row(self) -> tuple[object, ...]:
        """The table row under ``WORKER_HEADERS``."""
        host = self.host
        summary = self.summary
        listed = (host.name, host.zone, host.rack, host.state.value)
        if summary is None:
            return (*listed, None, None, None, None)
        return (*listed, summary.state, summary.accelerators, summary.free, summary.foreign)


@register
class WorkerListCommand(SiteCommand):
    """Lists the workers."""

    name = "worker list"
    description = "Lists the workers with their state and free accelerators."
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Reads and prints the workers, and returns the exit code."""
        client = self.client
        hosts = client.get("list hosts", "/v1/hosts", list[Host])
        if isinstance(hosts, Err):
            return self.show_failure(hosts.err_value)
        zones = client.get("read zones", ZONES_PATH, list[ZoneSummary])
        if isinstance(zones, Err):
            return self.show_failure(zones.err_value)
        summaries = {worker.worker: worker for zone in zones.ok_value for worker in zone.workers}
        views = [
            WorkerView(host, summaries.get(host.name))
            for host in hosts.ok_value
            if host.kind is HostKind.WORKER
        ]
        if self.wants_json:
            return self.show_json(views)
        return self.show_table(WORKER_HEADERS, [view.row for view in views])
