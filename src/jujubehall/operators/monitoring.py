"""Routes for the balancer and for monitoring."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import render

from jujubehall.http.router import Call
from jujubehall.http.router import Reply
from jujubehall.http.router import Router
from jujubehall.metrics import REGISTRY

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.daemon.entry_host import EntryHost

routes = Router()


class MonitoringInterface:
    """Health, readiness and metrics.

    ``collect`` brings the metrics that are read from the state up to date before each rendering.
    """

    def __init__(self, host: EntryHost, collect: Callable[[], None]) -> None:
        self._host = host
        self._collect = collect

    @routes.register("GET", "/healthz")
    async def health(self, call: Call) -> Reply:
        """Answers while the process serves."""
        return Reply(200, {"status": "alive"})

    @routes.register("GET", "/readyz")
    async def ready(self, call: Call) -> Reply:
        """Tells the balancer whether to send callers here."""
        ready = self._host.is_ready
        return Reply(200 if ready else 503, {"ready": ready})

    @routes.register("GET", "/metrics")
    async def metrics(self, call: Call) -> Reply:
        """Renders the metrics in the Prometheus text format."""
        self._collect()
        content, headers = render(REGISTRY, [])
        return Reply(200, content, headers)
