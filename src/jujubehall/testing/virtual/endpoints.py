"""The endpoints of a virtual site, which count every run."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.endpoints import client
from jujubehall.endpoints.messages import WorkDone
from jujubehall.endpoints.messages import WorkRefused
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import Response
from jujubehall.testing.endpoint_stand_in import EndpointBehaviour

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.clock import Reactor
    from jujubehall.endpoints.messages import Work
    from jujubehall.identifiers import RequestId
    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.network import Network

SLOTS = 8
STEP = "run request"


class VirtualEndpoint:
    """One endpoint: its behaviour, what it runs, and how often it has run each identifier."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.behaviour = EndpointBehaviour()
        self.down = False
        self.running = 0
        self.most_running = 0
        self.refused_busy = 0
        self.run_ms_of: Callable[[Work], int] | None = None
        """Overrides the behaviour's time of each request."""

        self.held_back = b""
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
        self, name: str, address: str, work: Work, timeout_ms: int
    ) -> Result[Any, Failure]:
        """Runs a request; the endpoint goes on also if the entry host dies meanwhile."""
        endpoint = self._endpoints[name]
        if endpoint.down:
            return Err(Failure(FailureKind.NOT_SENT, STEP, name, "connection refused"))
        answered: Deferred[Result[Any, Failure]] = Deferred()
        answered.addTimeout(to_seconds(timeout_ms), self._reactor)  # type: ignore[arg-type]
        delay_s = self._network.latency_s(self._host, name)
        self._time.callLater(delay_s, self._arrive, endpoint, work, answered)
        try:
            return await answered
        except Exception as error:
            return Err(Failure(FailureKind.NO_ANSWER, STEP, name, type(error).__name__))

    def _arrive(self, endpoint: VirtualEndpoint, work: Work, answered: Deferred[Any]) -> None:
        if self._network.is_cut(self._host, endpoint.name) or endpoint.down:
            return
        behaviour = endpoint.behaviour
        if behaviour.leaving or endpoint.running >= SLOTS:
            endpoint.refused_busy += 0 if behaviour.leaving else 1
            refused = WorkRefused(work.id, behaviour.leaving, not behaviour.leaving)
            self._answer(endpoint, work, answered, 503, msgspec.json.encode(refused))
            return
        endpoint.runs[work.id] = endpoint.runs.get(work.id, 0) + 1
        if behaviour.fail:
            self._answer(endpoint, work, answered, 500, b'"failed"')
            return
        endpoint.running += 1
        endpoint.most_running = max(endpoint.most_running, endpoint.running)
        run_ms = endpoint.run_ms_of(work) if endpoint.run_ms_of else behaviour.run_ms
        self._time.callLater(to_seconds(run_ms), self._finish, endpoint, behaviour, work, answered)

    def _finish(
        self,
        endpoint: VirtualEndpoint,
        behaviour: EndpointBehaviour,
        work: Work,
        answered: Deferred[Any],
    ) -> None:
        endpoint.running -= 1
        body = msgspec.json.encode(WorkDone(work.id, {"endpoint": endpoint.name, "id": work.id}))
        if behaviour.cross:
            # Each answer goes to the caller before: all are whole, and none is at its place.
            crossed, endpoint.held_back = endpoint.held_back, body
            body = crossed or b"{}"
        if behaviour.truncate:
            body = body[: len(body) // 2]
        self._answer(endpoint, work, answered, 200, body, behaviour.late_ms)

    def _answer(
        self,
        endpoint: VirtualEndpoint,
        work: Work,
        answered: Deferred[Any],
        status: int,
        body: bytes,
        late_ms: int = 0,
    ) -> None:
        def arrive() -> None:
            if not answered.called and not self._network.is_cut(self._host, endpoint.name):
                answered.callback(client.interpret(Response(status, body), work, endpoint.name))

        latency_s = self._network.latency_s(endpoint.name, self._host)
        self._reactor.callLater(latency_s + to_seconds(late_ms), arrive)
