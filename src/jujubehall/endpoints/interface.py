"""Interface to the endpoints, implemented by the HTTP client and by test fakes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from result import Result

    from jujubehall.endpoints.messages import EndpointRequest
    from jujubehall.errors import Failure


class Endpoints(Protocol):
    """Runs requests at endpoints; ``EndpointClient`` documents the kinds of failure."""

    async def run(
        self, name: str, address: str, request: EndpointRequest, timeout_ms: int
    ) -> Result[Any, Failure]: ...
