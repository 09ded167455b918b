"""Sends requests to endpoints, with retries only where they are safe."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Ok
from result import Result

from jujubehall.core.requests.request import completed
from jujubehall.core.requests.request import not_run
from jujubehall.core.requests.request import unknown
from jujubehall.core.requests.retry_budget import RetryBudget
from jujubehall.endpoints.messages import Work
from jujubehall.errors import FailureKind
from jujubehall.services.slot_queue import Refusal

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.requests.endpoint_table import EndpointState
    from jujubehall.core.requests.endpoint_table import EndpointTable
    from jujubehall.core.requests.request import Answer
    from jujubehall.core.requests.request import Request
    from jujubehall.endpoints.interface import Endpoints
    from jujubehall.errors import Failure
    from jujubehall.identifiers import EndpointName
    from jujubehall.services.slot_queue import SlotQueue

MAX_ATTEMPTS = 3
STEP = "run request"


class Dispatcher:
    """Runs a request at an endpoint and states the outcome truthfully."""

    def __init__(
        self, clock: Clock, endpoints: Endpoints, table: EndpointTable, slots: SlotQueue
    ) -> None:
        self._clock = clock
        self._endpoints = endpoints
        self._table = table
        self._slots = slots
        self._budget = RetryBudget()
        self.sends = 0

    def admit(self, request: Request, give_up_at_ms: int) -> Answer | None:
        """Refuses at once, before any claim, what could not get a slot in time."""
        refusal = self._slots.refusal(request.team, give_up_at_ms)
        return None if refusal is None else _refused(request, refusal)

    async def dispatch(self, request: Request, give_up_at_ms: int) -> Answer:
        """Runs ``request``, trying other endpoints while that is safe and in time."""
        tried: set[EndpointName] = set()
        last: Failure | None = None
        while len(tried) < MAX_ATTEMPTS and (not tried or self._budget.take()):
            endpoint = await self._slots.acquire(request, tried, give_up_at_ms)
            if isinstance(endpoint, Refusal):
                return _refused(request, endpoint) if last is None else _give_up(request, last)
            # A process that was frozen while it waited finds its deadline passed here.
            if self._clock.now_ms >= give_up_at_ms:
                self._slots.release(endpoint, 0)
                return not_run(request, "its deadline has passed", STEP)
            if not tried:
                self._budget.on_first_send()
            tried.add(endpoint.name)
            ran = await self._run(endpoint, request, give_up_at_ms)
            if isinstance(ran, Ok):
                return completed(request, ran.ok_value)
            last = ran.err_value
            if last.may_have_taken_effect and not request.idempotent:
                break
        assert last is not None, "a request is tried at least once"
        return _give_up(request, last)

    async def _run(
        self, endpoint: EndpointState, request: Request, give_up_at_ms: int
    ) -> Result[Any, Failure]:
        began_at_ms = self._clock.now_ms
        left_ms = give_up_at_ms - began_at_ms
        work = Work(request.id, request.kind, request.payload, left_ms)
        self.sends += 1
        ran = await self._endpoints.run(endpoint.name, endpoint.address, work, left_ms)
        self._learn(endpoint, ran)
        self._slots.release(endpoint, self._clock.now_ms - began_at_ms)
        return ran

    def _learn(self, endpoint: EndpointState, ran: Result[Any, Failure]) -> None:
        if isinstance(ran, Ok):
            self._table.on_success(endpoint)
            return
        failure = ran.err_value
        if failure.kind is not FailureKind.UNAVAILABLE:
            self._table.on_failure(endpoint, self._clock.now_ms)
        elif failure.detail == "leaving":
            self._table.mark_leaving(endpoint.name, self._clock.now_ms)


def _refused(request: Request, refusal: Refusal) -> Answer:
    return not_run(request, refusal.reason, STEP, retry_after_ms=refusal.retry_after_ms)


def _give_up(request: Request, last: Failure) -> Answer:
    if last.may_have_taken_effect:
        return unknown(request, last.detail, last.step, last.peer)
    return not_run(request, last.detail, last.step, last.peer)
