"""Reads the body of a response within a time limit."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone

from jujubehall.clock import to_seconds

if TYPE_CHECKING:
    from twisted.python.failure import Failure


class BodyReader(Protocol):
    """Collects a body and closes the connection when the time limit has passed.

    With ``is_timeout_per_read``, the limit applies to each part of the body instead of the whole.

    ``readBody`` of Twisted leaves the connection open, and the rest of a large body then goes on
    using the link.
    """

    def __init__(self, reactor: Any, timeout_ms: int, is_timeout_per_read: bool) -> None:
        self._timeout_ms = timeout_ms
        self._is_timeout_per_read = is_timeout_per_read
        self._parts: list[bytes] = []
        self._timeout: Any = reactor.callLater(to_seconds(timeout_ms), self._abandon)
        self.body: Deferred[bytes] = Deferred(lambda _: self._close())
        """Fires with the complete body, or fails. Cancelling it closes the connection."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collects a part of the body, which restarts the limit for a part."""
        self._parts.append(data)
        if self._is_timeout_per_read and self._timeout.active():
            self._timeout.reset(to_seconds(self._timeout_ms))

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]  # noqa: N802
        """Completes the body, or fails if the connection was lost before its end."""
        if self.body.called:
            return
        if self._timeout.active():
            self._timeout.cancel()
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._parts))
        else:
            self.body.errback(reason)

    def _abandon(self) -> None:
        received = sum(len(part) for part in self._parts)
        self.body.errback(
            TimeoutError(f"body incomplete after {self._timeout_ms} ms, {received} bytes read")
        )
        self._close()

    def _close(self) -> None:
        if self._timeout.active():
            self._timeout.cancel()
        connection: Any = self.transport
        if connection is not None:
            connection.loseConnection()
