"""HTTP stand-in for an endpoint, with configurable faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.endpoints.messages import EndpointRefusal
from jujubehall.endpoints.messages import EndpointRequest
from jujubehall.endpoints.messages import EndpointResponse
from jujubehall.http.router import HttpRequest
from jujubehall.http.router import HttpResponse
from jujubehall.http.router import Router
from jujubehall.identifiers import RequestId

if TYPE_CHECKING:
    from jujubehall.clock import Reactor

SLOTS_PER_ENDPOINT = 8

routes = Router()


class EndpointBehaviour(msgspec.Struct, frozen=True):
    """Configures the run time and the faults of an endpoint stand-in.

    ``run_ms`` is the run time of each request. ``leaving`` refuses new requests. ``fail`` returns
    status 500 immediately. ``cross`` returns the identifier of another request. ``late_ms`` delays
    each response after the run. ``truncate`` sends only the first half of each response body.
    """

    run_ms: int = 5
    leaving: bool = False
    fail: bool = False
    cross: bool = False
    late_ms: int = 0
    truncate: bool = False


class EndpointStandIn:
    """Simulates request execution by waiting and counts the runs of each request identifier.

    It runs at most ``SLOTS_PER_ENDPOINT`` requests at once and refuses further ones as busy.
    """

    def __init__(self, reactor: Reactor, name: str, behaviour: EndpointBehaviour) -> None:
        self._reactor = reactor
        self._name = name
        self._behaviour = behaviour
        self._running = 0
        self._peak_running = 0
        self._runs: dict[RequestId, int] = {}

    @routes.register("POST", "/v1/work")
    async def work(self, call: HttpRequest) -> HttpResponse:
        """Runs one request; refuses it without running it if the endpoint is leaving or busy."""
        request = call.decode(EndpointRequest)
        behaviour = self._behaviour
        if behaviour.leaving:
            return HttpResponse(503, EndpointRefusal(request.id, leaving=True))
        if self._running >= SLOTS_PER_ENDPOINT:
            return HttpResponse(503, EndpointRefusal(request.id, busy=True))
        self._runs[request.id] = self._runs.get(request.id, 0) + 1
        if behaviour.fail:
            return HttpResponse(500, "failed")
        await self._run(behaviour.run_ms)
        if behaviour.late_ms:
            await self._sleep(behaviour.late_ms)
        return self._make_response(request, behaviour)

    @routes.register("PUT", "/test/behaviour")
    async def set_behaviour(self, call: HttpRequest) -> HttpResponse:
        """Replaces the configured behaviour."""
        self._behaviour = call.decode(EndpointBehaviour)
        return HttpResponse(200)

    @routes.register("GET", "/test/runs")
    async def runs(self, call: HttpRequest) -> HttpResponse:
        """Returns the number of runs by request identifier and the peak number of parallel runs."""
        return HttpResponse(200, {"runs": self._runs, "most_running": self._peak_running})

    async def _run(self, duration_ms: int) -> None:
        self._running += 1
        self._peak_running = max(self._peak_running, self._running)
        try:
            await self._sleep(duration_ms)
        finally:
            self._running -= 1

    def _make_response(
        self, request: EndpointRequest, behaviour: EndpointBehaviour
    ) -> HttpResponse:
        response_id = RequestId(f"{request.id}-crossed") if behaviour.cross else request.id
        response = EndpointResponse(response_id, {"endpoint": self._name, "kind": request.kind})
        if behaviour.truncate:
            encoded = msgspec.json.encode(response)
            return HttpResponse(200, encoded[: len(encoded) // 2])
        return HttpResponse(200, response)

    def _sleep(self, duration_ms: int) -> Deferred[None]:
        timer: Deferred[None] = Deferred()
        self._reactor.callLater(to_seconds(duration_ms), timer.callback, None)
        return timer
