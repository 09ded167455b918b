"""Sends requests to endpoints, with retries only where they are safe."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from jujubehall.core.requests.request import completed
from jujubehall.core.requests.request import not_run
from jujubehall.core.requests.request import unknown
from jujubehall.endpoints.messages import Work
from jujubehall.errors import FailureKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.clock import Clock
    from jujubehall.core.requests.endpoint_table import EndpointTable
    from jujubehall.core.requests.request import Answer
    from jujubehall.core.requests.request import Request
    from jujubehall.endpoints.interface import Endpoints
    from jujubehall.errors import Failure
    from jujubehall.identifiers import EndpointName

MAX_ATTEMPTS = 3
STEP = "run request"


class Dispatcher:
    """Runs a request at an endpoint and states the outcome truthfully."""

    def __init__(
        self,
        clock: Clock,
        endpoints: Endpoints,
        table: EndpointTable,
        allotment: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._endpoints = endpoints
        self._table = table
        self._allotment = allotment
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """The number of requests being dispatched."""
        return self._in_flight

    async def dispatch(self, request: Request, give_up_at_ms: int) -> Answer:
        """Runs ``request``, trying other endpoints while that is safe and in time."""
        self._in_flight += 1
        try:
            return await self._attempt(request, give_up_at_ms)
        finally:
            self._in_flight -= 1

    async def _attempt(self, request: Request, give_up_at_ms: int) -> Answer:
        tried: set[EndpointName] = set()
        last: Failure | None = None
        while len(tried) < MAX_ATTEMPTS:
            left_ms = give_up_at_ms - self._clock.now_ms
            endpoint = self._table.acquire(self._allotment(), tried) if left_ms > 0 else None
            if endpoint is None:
                break
            tried.add(endpoint.name)
            work = Work(request.id, request.kind, request.payload, left_ms)
            try:
                ran = await self._endpoints.run(endpoint.name, endpoint.address, work, left_ms)
            finally:
                self._table.release(endpoint)
            if isinstance(ran, Ok):
                return completed(request, ran.ok_value)
            last = ran.err_value
            if last.kind is FailureKind.UNAVAILABLE and last.detail == "leaving":
                self._table.mark_leaving(endpoint.name)
            if last.may_have_taken_effect and not request.idempotent:
                return unknown(request, last.detail, last.step, last.peer)
        return _give_up(request, last)


def _give_up(request: Request, last: Failure | None) -> Answer:
    if last is None:
        return not_run(request, "no endpoint has a free slot", STEP)
    if last.may_have_taken_effect:
        return unknown(request, last.detail, last.step, last.peer)
    return not_run(request, last.detail, last.step, last.peer)
