"""HTTP routes for the load balancer and for monitoring."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import render

from jujubehall.http.router import HttpRequest
from jujubehall.http.router import HttpResponse
from jujubehall.http.router import Router
from jujubehall.metrics import REGISTRY

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.daemon.entry_host import EntryHost

routes = Router()


class MonitoringInterface:
    """Handles the health, readiness and metrics routes.

    ``collect`` updates the metrics that are derived from state; it is called before each rendering.
    """

    def __init__(self, host: EntryHost, collect: Callable[[], None]) -> None:
        self._host = host
        self._collect = collect

    @routes.register("GET", "/healthz")
    async def health(self, call: HttpRequest) -> HttpResponse:
        """Returns 200 as long as the process handles requests (liveness check)."""
        return HttpResponse(200, {"status": "alive"})

    @routes.register("GET", "/readyz")
    async def ready(self, call: HttpRequest) -> HttpResponse:
        """Returns 200 if the load balancer should route requests here, else 503."""
        ready = self._host.is_ready
        return HttpResponse(200 if ready else 503, {"ready": ready})

    @routes.register("GET", "/metrics")
    async def metrics(self, call: HttpRequest) -> HttpResponse:
        """Renders the metrics in the Prometheus text format."""
        self._collect()
        content, headers = render(REGISTRY, [])
        return HttpResponse(200, content, headers)
