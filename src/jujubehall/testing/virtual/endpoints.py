"""Simulated endpoints of a virtual site, which count the runs of each request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.endpoints import client
from jujubehall.endpoints.messages import EndpointRefusal
from jujubehall.endpoints.messages import EndpointResponse
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import ClientResponse
from jujubehall.testing.endpoint_stand_in import EndpointBehaviour

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.clock import Reactor
    from jujubehall.endpoints.messages import EndpointRequest
    from jujubehall.identifiers import RequestId
    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.network import Network

SLOTS_PER_ENDPOINT = 8
STEP = "run request"


class VirtualEndpoint:
    """State of one simulated endpoint.

    ``runs`` is the number of runs by request identifier, ``peak_running`` the peak number of
    parallel runs and ``busy_refusal_count`` the number of requests refused because all slots were
    taken. ``previous_body`` is the body of the latest response while ``behaviour.cross`` is set.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.behaviour = EndpointBehaviour()
        self.is_down = False
        self.running = 0
        self.peak_running = 0
        self.busy_refusal_count = 0
        self.run_time_override_ms: Callable[[EndpointRequest], int] | None = None
        """If set, returns the run time of a request in milliseconds instead of the behaviour's."""

        self.previous_body = b""
        self.runs: dict[RequestId, int] = {}


class VirtualEndpoints:
    """Implements ``jujubehall.endpoints.interface.Endpoints`` for one entry host."""

    def __init__(
        self,
        reactor: HostReactor,
        time: Reactor,
        network: Network,
        host: str,
        endpoints: dict[str, VirtualEndpoint],
    ) -> None:
        self._reactor = reactor
        self._time = time
        self._network = network
        self._host = host
        self._endpoints = endpoints

    async def run(
        self, name: str, address: str, request: EndpointRequest, timeout_ms: int
    ) -> Result[Any, Failure]:
        """Sends a request and returns its result or a failure.

        The endpoint completes the run even if the entry host is killed in the meantime.
        """
        endpoint = self._endpoints[name]
        if endpoint.is_down:
            return Err(Failure(FailureKind.NOT_SENT, STEP, name, "connection refused"))
        pending_response: Deferred[Result[Any, Failure]] = Deferred()
        pending_response.addTimeout(to_seconds(timeout_ms), self._reactor)  # type: ignore[arg-type]
        delay_s = self._network.latency_s(self._host, name)
        self._time.callLater(delay_s, self._receive, endpoint, request, pending_response)
        try:
            return await pending_response
        except Exception as error:
            return Err(Failure(FailureKind.NO_ANSWER, STEP, name, type(error).__name__))

    def _receive(
        self, endpoint: VirtualEndpoint, request: EndpointRequest, pending_response: Deferred[Any]
    ) -> None:
        if self._network.is_disconnected(self._host, endpoint.name) or endpoint.is_down:
            return
        behaviour = endpoint.behaviour
        if behaviour.leaving or endpoint.running >= SLOTS_PER_ENDPOINT:
            endpoint.busy_refusal_count += 0 if behaviour.leaving else 1
            refused = EndpointRefusal(request.id, behaviour.leaving, not behaviour.leaving)
            self._respond(endpoint, request, pending_response, 503, msgspec.json.encode(refused))
            return
        endpoint.runs[request.id] = endpoint.runs.get(request.id, 0) + 1
        if behaviour.fail:
            self._respond(endpoint, request, pending_response, 500, b'"failed"')
            return
        endpoint.running += 1
        endpoint.peak_running = max(endpoint.peak_running, endpoint.running)
        run_ms = (
            endpoint.run_time_override_ms(request)
            if endpoint.run_time_override_ms
            else behaviour.run_ms
        )
        self._time.callLater(
            to_seconds(run_ms), self._finish, endpoint, behaviour, request, pending_response
        )

    def _finish(
        self,
        endpoint: VirtualEndpoint,
        behaviour: EndpointBehaviour,
        request: EndpointRequest,
        pending_response: Deferred[Any],
    ) -> None:
        endpoint.running -= 1
        body = msgspec.json.encode(
            EndpointResponse(request.id, {"endpoint": endpoint.name, "id": request.id})
        )
        if behaviour.cross:
            # Each request gets the response body of the previous one: all bodies are well-formed,
            # and each belongs to another request.
            previous_body, endpoint.previous_body = endpoint.previous_body, body
            body = previous_body or b"{}"
        if behaviour.truncate:
            body = body[: len(body) // 2]
        self._respond(endpoint, request, pending_response, 200, body, behaviour.late_ms)

    def _respond(
        self,
        endpoint: VirtualEndpoint,
        request: EndpointRequest,
        pending_response: Deferred[Any],
        status: int,
        body: bytes,
        late_ms: int = 0,
    ) -> None:
        def deliver() -> None:
            if not pending_response.called and not self._network.is_disconnected(
                self._host, endpoint.name
            ):
                pending_response.callback(
                    client.classify_response(ClientResponse(status, body), request, endpoint.name)
                )

        latency_s = self._network.latency_s(endpoint.name, self._host)
        self._reactor.callLater(latency_s + to_seconds(late_ms), deliver)
