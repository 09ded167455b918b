"""The platform's service that says which workers may run a step."""

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
"""The service decides for a while for each worker named, and takes questions in turn."""


class AdviceClient:
    """Implements ``SiteAdvice``."""

    def __init__(self, reactor: Reactor, address: str) -> None:
        self._http = HttpClient(reactor, PEER)
        self._url = f"http://{address}/advise"

    async def ask(
        self, job: JobId, occurrence: int, step: int, workers: list[WorkerName]
    ) -> Result[tuple[dict[WorkerName, str], int], Failure]:
        """Returns the tickets of the workers that may run the step, and how long they hold."""
        body = wire.AdviceQuestion(f"{job}.{occurrence}.{step}", list(workers))
        answer = await self._http.call("ask", "POST", self._url, body, timeout_ms=CALL_TIMEOUT_MS)
        if isinstance(answer, Err):
            return answer
        response = answer.ok_value
        if response.status // 100 != 2:
            kind = FailureKind.UNAVAILABLE if response.status == 429 else FailureKind.NO_ANSWER
            return Err(Failure(kind, "ask", PEER, f"status {response.status}"))
        try:
            given = response.decode(wire.AdviceGiven)
        except msgspec.DecodeError as error:
            return Err(Failure(FailureKind.INVALID, "ask", PEER, str(error)))
        return Ok(({WorkerName(name): ticket for name, ticket in given.good}, given.validity_ms))
