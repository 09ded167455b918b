"""Sends requests to endpoints and states what each answer proves."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.endpoints.messages import WorkDone
from jujubehall.endpoints.messages import WorkRefused
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient
from jujubehall.metrics import ENDPOINT_ATTEMPTS
from jujubehall.metrics import result_label

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.endpoints.messages import Work
    from jujubehall.http.client import Response

STEP = "run request"


class EndpointClient:
    """Sends one request to one endpoint."""

    def __init__(self, reactor: Reactor, connections_per_endpoint: int) -> None:
        self._http = HttpClient(reactor, "endpoint", connections_per_endpoint)

    async def run(
        self, name: str, address: str, work: Work, timeout_ms: int
    ) -> Result[Any, Failure]:
        """Runs ``work`` and returns its result.

        ``NOT_SENT`` and ``UNAVAILABLE`` prove that the endpoint did not run the request;
        ``NO_ANSWER`` proves nothing.
        """
        url = f"{address}/v1/work"
        answer = await self._http.call(STEP, "POST", url, work, timeout_ms=timeout_ms, peer=name)
        ran = answer if isinstance(answer, Err) else interpret(answer.ok_value, work, name)
        ENDPOINT_ATTEMPTS.inc({"result": result_label(ran)})
        return ran


def interpret(response: Response, work: Work, name: str) -> Result[Any, Failure]:
    """States what an endpoint's answer proves about ``work``."""
    try:
        if response.status == 200:
            done = response.decode(WorkDone)
            if done.id == work.id:
                return Ok(done.result)
            return Err(Failure(FailureKind.NO_ANSWER, STEP, name, f"answer to {done.id}"))
        if response.status == 503:
            refused = response.decode(WorkRefused)
            if refused.id == work.id:
                reason = "leaving" if refused.leaving else "busy"
                return Err(Failure(FailureKind.UNAVAILABLE, STEP, name, reason))
    except msgspec.DecodeError as error:
        return Err(Failure(FailureKind.NO_ANSWER, STEP, name, str(error)))
    return Err(Failure(FailureKind.NO_ANSWER, STEP, name, f"status {response.status}"))
