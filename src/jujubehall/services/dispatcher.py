"""Sends requests to endpoints, and retries them only where that is safe."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Ok
from result import Result

from jujubehall.core.requests.request import completed_answer
from jujubehall.core.requests.request import not_run_answer
from jujubehall.core.requests.request import unknown_answer
from jujubehall.core.requests.retry_budget import RetryBudget
from jujubehall.endpoints.messages import EndpointRequest
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
    """Runs requests on endpoints and reports their outcomes.

    An outcome is reported as not run only if no endpoint can have run the request.
    """

    def __init__(
        self, clock: Clock, endpoints: Endpoints, endpoint_table: EndpointTable, slots: SlotQueue
    ) -> None:
        self._clock = clock
        self._endpoints = endpoints
        self._endpoint_table = endpoint_table
        self._slots = slots
        self._retry_budget = RetryBudget()
        self.send_count = 0

    def admit(self, request: Request, deadline_at_ms: int) -> Answer | None:
        """Returns a refusal, before any claim is made, if no slot can be expected in time."""
        refusal = self._slots.expected_refusal(request.team, deadline_at_ms)
        return None if refusal is None else _refused_answer(request, refusal)

    async def dispatch(self, request: Request, deadline_at_ms: int) -> Answer:
        """Runs ``request``, retrying on other endpoints while that is safe and in time.

        A non-idempotent request is not retried after a failure that may have taken effect.
        """
        tried_endpoints: set[EndpointName] = set()
        last_failure: Failure | None = None
        while len(tried_endpoints) < MAX_ATTEMPTS and (
            not tried_endpoints or self._retry_budget.try_consume()
        ):
            endpoint = await self._slots.acquire(request, tried_endpoints, deadline_at_ms)
            if isinstance(endpoint, Refusal):
                return (
                    _refused_answer(request, endpoint)
                    if last_failure is None
                    else _failed_answer(request, last_failure)
                )
            # The deadline may have passed here if the process was suspended while it waited.
            if self._clock.now_ms >= deadline_at_ms:
                self._slots.release(endpoint, 0)
                return not_run_answer(request, "the request's deadline has passed", STEP)
            if not tried_endpoints:
                self._retry_budget.on_first_send()
            tried_endpoints.add(endpoint.name)
            run_result = await self._run(endpoint, request, deadline_at_ms)
            if isinstance(run_result, Ok):
                return completed_answer(request, run_result.ok_value)
            last_failure = run_result.err_value
            if last_failure.may_have_taken_effect and not request.idempotent:
                break
        assert last_failure is not None, "a request must be attempted at least once"
        return _failed_answer(request, last_failure)

    async def _run(
        self, endpoint: EndpointState, request: Request, deadline_at_ms: int
    ) -> Result[Any, Failure]:
        started_at_ms = self._clock.now_ms
        remaining_ms = deadline_at_ms - started_at_ms
        work = EndpointRequest(request.id, request.kind, request.payload, remaining_ms)
        self.send_count += 1
        run_result = await self._endpoints.run(endpoint.name, endpoint.address, work, remaining_ms)
        self._record_result(endpoint, run_result)
        self._slots.release(endpoint, self._clock.now_ms - started_at_ms)
        return run_result

    def _record_result(self, endpoint: EndpointState, run_result: Result[Any, Failure]) -> None:
        if isinstance(run_result, Ok):
            self._endpoint_table.on_success(endpoint)
            return
        failure = run_result.err_value
        if failure.kind is not FailureKind.UNAVAILABLE:
            self._endpoint_table.on_failure(endpoint, self._clock.now_ms)
        elif failure.detail == "leaving":
            self._endpoint_table.mark_leaving(endpoint.name, self._clock.now_ms)


def _refused_answer(request: Request, refusal: Refusal) -> Answer:
    return not_run_answer(request, refusal.reason, STEP, retry_after_ms=refusal.retry_after_ms)


def _failed_answer(request: Request, last_failure: Failure) -> Answer:
    if last_failure.may_have_taken_effect:
        return unknown_answer(request, last_failure.detail, last_failure.step, last_failure.peer)
    return not_run_answer(request, last_failure.detail, last_failure.step, last_failure.peer)
