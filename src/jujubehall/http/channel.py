"""One HTTP connection with limits, whose refusals are JSON like every other error."""

from __future__ import annotations

import math

from http import HTTPStatus
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel
from twisted.web.server import Request

from jujubehall.clock import to_seconds
from jujubehall.http.error_body import ErrorBody
from jujubehall.metrics import HTTP_REFUSALS

if TYPE_CHECKING:
    from jujubehall.http.limits import HttpLimits
    from jujubehall.http.site import LimitedSite

LINGER_MS = 2_000
RETRY_AFTER_FULL_MS = 1_000
READ_REQUEST = "read request"
READ_BODY = "read body"


class LimitedRequest(Request):
    """Holds the body in memory, because the hosts have no disks, and refuses one over the limit."""

    channel: Any
    content: Any

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Called by twisted once the headers are read; ``length`` is None if chunked."""
        self.content = BytesIO()
        self._received_bytes = 0
        if length is not None:
            self._check_size(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Called by twisted for each received part of the body."""
        self._received_bytes += len(data)
        if self._check_size(self._received_bytes):
            self.content.write(data)

    def _check_size(self, size_bytes: int) -> bool:
        limit_bytes = self.channel.limits.body_bytes
        if size_bytes <= limit_bytes:
            return True
        self.channel.refuse(413, f"the body is over {limit_bytes} bytes", READ_BODY)
        return False


class LimitedChannel(HTTPChannel):
    """Bounds what one connection takes: bytes of headers and body, and time to send a request.

    After a refusal it goes on reading and discarding for a moment, since closing at once would
    reset the connection before the caller has read why.
    """

    transport: Any

    def __init__(self, limits: HttpLimits, site: LimitedSite) -> None:
        super().__init__()
        self.limits = limits
        self.totalHeadersSize = limits.header_bytes
        self.MAX_LENGTH = limits.header_bytes
        self._connections = site
        self._is_refused = False
        self._receive_timer: Any = None
        self._linger_timer: Any = None
        self._received_since: float | None = None
        self._line_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for its next request."""
        return not self._handlingRequest and self._received_since is None

    @property
    def is_serving(self) -> bool:
        """Whether a complete request waits for its answer."""
        return bool(self._handlingRequest)

    @property
    def receiving_since(self) -> float | None:
        """When the first byte of an incomplete request came, in seconds of the reactor."""
        return self._received_since

    def connectionMade(self) -> None:  # noqa: N802
        """Called by twisted; asks the site whether there is room for one more connection."""
        super().connectionMade()
        if not self._connections.admit(self):
            limit = self.limits.connections
            self.refuse(503, f"all {limit} connections are in use", "accept", RETRY_AFTER_FULL_MS)

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Called by twisted."""
        self._stop_receive_timer()
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        self._connections.forget(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Called by twisted with received bytes."""
        if self._is_refused:
            return
        if self.is_idle:
            self._start_receive_timer()
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Called by twisted with each line of the head."""
        if self._is_refused:
            return
        if self.is_idle:
            self._start_receive_timer()
        self._line_bytes += len(line)
        if self._line_bytes > self.limits.header_bytes:
            self._refuse_head()
            return
        super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Called by twisted with parts of the body, or of the next request."""
        if not self._is_refused:
            super().rawDataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Called by twisted for a line over the limit."""
        self._refuse_head()

    def allContentReceived(self) -> None:  # noqa: N802
        """Called by twisted once a request is complete."""
        if self._is_refused:
            return
        self._stop_receive_timer()
        self._line_bytes = 0
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Called by twisted once the answer is written."""
        self._connections.used(self)
        super().requestDone(request)

    def refuse(self, status: int, message: str, step: str, retry_after_ms: int = 0) -> None:
        """Answers with an error, then closes the connection."""
        if self._is_refused:
            return
        self._is_refused = True
        self._stop_receive_timer()
        self.setTimeout(None)
        HTTP_REFUSALS.inc({"status": str(status)})
        error = ErrorBody(message, step, "caller", retry_after_ms)
        self.transport.write(_encode_refusal(status, error))
        self._networkProducer.unregisterProducer()
        if self._connections.may_linger:
            self.transport.loseWriteConnection()
            self._linger_timer = self.callLater(to_seconds(LINGER_MS), self.drop)
        else:
            self.transport.loseConnection()

    def drop(self) -> None:
        """Closes the connection at once."""
        self.transport.abortConnection()

    def _refuse_head(self) -> None:
        limit = self.limits.header_bytes
        self.refuse(431, f"the request line and headers are over {limit} bytes", READ_REQUEST)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.refuse(400, "malformed HTTP request", READ_REQUEST)

    def _send100Continue(self) -> None:  # noqa: N802
        if not self._is_refused:
            super()._send100Continue()

    def _start_receive_timer(self) -> None:
        self._received_since = self._connections.now
        timeout = to_seconds(self.limits.receive_timeout_ms)
        self._receive_timer = self.callLater(timeout, self._time_out)

    def _stop_receive_timer(self) -> None:
        self._received_since = None
        if self._receive_timer is not None and self._receive_timer.active():
            self._receive_timer.cancel()
        self._receive_timer = None

    def _time_out(self) -> None:
        limit_ms = self.limits.receive_timeout_ms
        self.refuse(408, f"the request was not complete after {limit_ms} ms", READ_REQUEST)


def _encode_refusal(status: int, error: ErrorBody) -> bytes:
    body = msgspec.json.encode(error)
    phrase = HTTPStatus(status).phrase
    head = (
        f"HTTP/1.1 {status} {phrase}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n"
    )
    if error.retry_after_ms:
        head += f"Retry-After: {retry_after_seconds(error.retry_after_ms)}\r\n"
    return head.encode() + b"\r\n" + body


def retry_after_seconds(retry_after_ms: int) -> int:
    """The value of a ``Retry-After`` header, which counts whole seconds, rounded up."""
    return max(1, math.ceil(to_seconds(retry_after_ms)))
