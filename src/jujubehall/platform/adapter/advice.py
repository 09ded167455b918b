"""Client of the platform's advice service, which decides which workers may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient
from jujubehall.identifiers import WorkerName
from jujubehall.platform.adapter import wire

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.identifiers import JobId

PEER = "advice"
CALL_TIMEOUT_MS = 10_000
"""The service needs time for each worker in a request and processes requests one at a time."""


class AdviceClient:
    """Implements ``SiteAdvice`` over HTTP."""

    def __init__(self, reactor: Reactor, address: str) -> None:
        self._http = HttpClient(reactor, PEER)
        self._url = f"http://{address}/advise"

    async def request_tickets(
        self, job: JobId, occurrence: int, step: int, workers: list[WorkerName]
    ) -> Result[tuple[dict[WorkerName, str], int], Failure]:
        """Requests a ticket for each of the workers that may run a step.

        Returns the tickets by worker, and their validity in milliseconds. Workers that may not run
        the step are left out.
        """
        body = wire.AdviceRequest(f"{job}.{occurrence}.{step}", list(workers))
        result = await self._http.call("ask", "POST", self._url, body, timeout_ms=CALL_TIMEOUT_MS)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status // 100 != 2:
            kind = FailureKind.UNAVAILABLE if response.status == 429 else FailureKind.NO_ANSWER
            return Err(Failure(kind, "ask", PEER, f"status {response.status}"))
        try:
            advice = response.decode(wire.AdviceResponse)
        except msgspec.DecodeError as error:
            return Err(Failure(FailureKind.INVALID, "ask", PEER, str(error)))
        return Ok(({WorkerName(name): ticket for name, ticket in advice.good}, advice.validity_ms))
