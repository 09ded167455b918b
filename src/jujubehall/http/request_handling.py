"""Requests that are being handled, with the memory that they need until their handler ends.

A handler goes on after its client has closed the connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.server import NOT_DONE_YET

from jujubehall.core.connections.closing_order import Phase

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from jujubehall.http.connection_memory import ConnectionMemory

REQUEST_BYTES = 16 * 1024
"""Memory of a request while it is handled, beside that of its body."""

BODY_FACTOR = 8
"""Memory of a decoded body in relation to its bytes on the wire."""


class HandledRequest:
    """Memory reserved for a request that is being handled; never closed to make room."""

    phase = Phase.HANDLING
    phase_since_ms = 0

    def __init__(self, body_bytes: int) -> None:
        self._used_bytes = REQUEST_BYTES + BODY_FACTOR * body_bytes

    def measure_bytes(self) -> int:
        """Returns the reserved memory."""
        return self._used_bytes

    def shed(self) -> None:
        """Does nothing: the request may already have taken effect."""


class HandledRequests:
    """The requests that a process handles, at most ``limit`` at a time."""

    def __init__(self, memory: ConnectionMemory, limit: int) -> None:
        self._memory = memory
        self._limit = limit
        self._requests: set[HandledRequest] = set()

    def begin(self, body_bytes: int) -> HandledRequest | None:
        """Reserves what a complete request needs; returns None if it must be refused."""
        if len(self._requests) >= self._limit:
            return None
        request = HandledRequest(body_bytes)
        if not self._memory.reserve(request, request.measure_bytes()):
            return None
        self._requests.add(request)
        return request

    def end(self, request: HandledRequest) -> None:
        """Releases what a request has reserved; repeated calls have no effect."""
        if request in self._requests:
            self._requests.remove(request)
            self._memory.remove(request)


def start_handler(request: Any, handler: Coroutine[Deferred[Any], Any, None]) -> int:
    """Runs the handler of a request; returns the result of ``Resource.render``."""
    request.has_handler = True
    Deferred.fromCoroutine(handler).addBoth(_end_handling, request)
    return NOT_DONE_YET


def _end_handling(result: object, request: Any) -> object:
    request.end_handling()
    return result
