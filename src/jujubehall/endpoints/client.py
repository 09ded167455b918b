"""HTTP client that sends requests to endpoints and classifies the responses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.endpoints.messages import EndpointRefusal
from jujubehall.endpoints.messages import EndpointResponse
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient
from jujubehall.metrics import ENDPOINT_ATTEMPTS
from jujubehall.metrics import result_label

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.endpoints.messages import EndpointRequest
    from jujubehall.http.client import ClientResponse

STEP = "run request"


class EndpointClient:
    """Implements ``Endpoints`` over HTTP."""

    def __init__(self, reactor: Reactor, max_idle_connections_per_endpoint: int) -> None:
        self._http = HttpClient(reactor, "endpoint", max_idle_connections_per_endpoint)

    async def run(
        self, name: str, address: str, request: EndpointRequest, timeout_ms: int
    ) -> Result[Any, Failure]:
        """Runs ``request`` at an endpoint and returns its result.

        After ``NOT_SENT`` or ``UNAVAILABLE``, the endpoint has certainly not run the request; after
        ``NO_ANSWER``, it may have.
        """
        url = f"{address}/v1/work"
        sent = await self._http.call(STEP, "POST", url, request, timeout_ms=timeout_ms, peer=name)
        result = sent if isinstance(sent, Err) else classify_response(sent.ok_value, request, name)
        ENDPOINT_ATTEMPTS.inc({"result": result_label(result)})
        return result


def classify_response(
    response: ClientResponse, request: EndpointRequest, name: str
) -> Result[Any, Failure]:
    """Classifies an endpoint's response by whether the endpoint has run ``request``."""
    try:
        if response.status == 200:
            body = response.decode(EndpointResponse)
            if body.id == request.id:
                return Ok(body.result)
            return Err(
                Failure(
                    FailureKind.NO_ANSWER, STEP, name, f"response to another request: {body.id}"
                )
            )
        if response.status == 503:
            refusal = response.decode(EndpointRefusal)
            if refusal.id == request.id:
                reason = "leaving" if refusal.leaving else "busy"
                return Err(Failure(FailureKind.UNAVAILABLE, STEP, name, reason))
    except msgspec.DecodeError as error:
        return Err(Failure(FailureKind.NO_ANSWER, STEP, name, str(error)))
    return Err(Failure(FailureKind.NO_ANSWER, STEP, name, f"status {response.status}"))
