"""HTTP server connections with size and time limits; requests are refused with a JSON error."""

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
    from jujubehall.http.server import LimitedSite

LINGER_TIMEOUT_MS = 2_000
CONNECTION_LIMIT_RETRY_AFTER_MS = 1_000
READ_REQUEST_STEP = "read request"
READ_BODY_STEP = "read body"


class LimitedRequest(Request):
    """Buffers the request body in memory and refuses a body over the size limit.

    Twisted would write a large body to a temporary file, but the hosts have no disks.
    """

    channel: Any
    content: Any

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Handles the end of the headers; ``length`` is None for a chunked body.

        Called by Twisted.
        """
        self.content = BytesIO()
        self._received_bytes = 0
        if length is not None:
            self._check_size(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Appends received body bytes to ``content``; called by Twisted."""
        self._received_bytes += len(data)
        if self._check_size(self._received_bytes):
            self.content.write(data)

    def _check_size(self, size_bytes: int) -> bool:
        limit_bytes = self.channel.limits.body_bytes
        if size_bytes <= limit_bytes:
            return True
        self.channel.refuse(413, f"the body is over {limit_bytes} bytes", READ_BODY_STEP)
        return False


class LimitedChannel(HTTPChannel):
    """HTTP connection with limits on header size, body size and the time to receive a request.

    After refusing a request, the channel keeps reading and discarding input for up to
    ``LINGER_TIMEOUT_MS``: closing the socket at once would reset the connection before the client
    has read the error response.
    """

    transport: Any

    def __init__(self, limits: HttpLimits, site: LimitedSite) -> None:
        super().__init__()
        self.limits = limits
        self.totalHeadersSize = limits.header_bytes
        self.MAX_LENGTH = limits.header_bytes
        self._site = site
        self._is_refused = False
        self._receive_timer: Any = None
        self._linger_timer: Any = None
        self._receiving_since: float | None = None
        self._head_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether the connection is waiting for its next request."""
        return not self._handlingRequest and self._receiving_since is None

    @property
    def is_serving(self) -> bool:
        """Whether a complete request is being handled and its response is not yet finished."""
        return bool(self._handlingRequest)

    @property
    def receiving_since(self) -> float | None:
        """Reactor time in seconds at which an incomplete request began to arrive, else None."""
        return self._receiving_since

    def connectionMade(self) -> None:  # noqa: N802
        """Refuses the connection if the site is at its connection limit; called by Twisted."""
        super().connectionMade()
        if not self._site.admit(self):
            limit = self.limits.connections
            self.refuse(
                503,
                f"all {limit} connections are in use",
                "accept",
                CONNECTION_LIMIT_RETRY_AFTER_MS,
            )

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Cancels the timers and removes the connection from the site; called by Twisted."""
        self._stop_receive_timer()
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        self._site.remove(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Starts the receive timer at the first bytes of a request; called by Twisted."""
        if self._is_refused:
            return
        if self.is_idle:
            self._start_receive_timer()
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handles a line of the request head and checks the head size; called by Twisted."""
        if self._is_refused:
            return
        if self.is_idle:
            self._start_receive_timer()
        self._head_bytes += len(line)
        if self._head_bytes > self.limits.header_bytes:
            self._refuse_head()
            return
        super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles bytes of the body, or of the next pipelined request; called by Twisted."""
        if not self._is_refused:
            super().rawDataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuses a request with a line longer than ``MAX_LENGTH``; called by Twisted."""
        self._refuse_head()

    def allContentReceived(self) -> None:  # noqa: N802
        """Stops the receive timer once a request is complete; called by Twisted."""
        if self._is_refused:
            return
        self._stop_receive_timer()
        self._head_bytes = 0
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Marks the connection as recently used after a response; called by Twisted."""
        self._site.mark_used(self)
        super().requestDone(request)

    def refuse(self, status: int, message: str, step: str, retry_after_ms: int = 0) -> None:
        """Sends an error response and closes the connection.

        ``retry_after_ms`` sets the ``Retry-After`` header; 0 leaves it out.
        """
        if self._is_refused:
            return
        self._is_refused = True
        self._stop_receive_timer()
        self.setTimeout(None)
        HTTP_REFUSALS.inc({"status": str(status)})
        error = ErrorBody(message, step, "caller", retry_after_ms)
        self.transport.write(_encode_refusal(status, error))
        self._networkProducer.unregisterProducer()
        if self._site.may_linger:
            self.transport.loseWriteConnection()
            self._linger_timer = self.callLater(to_seconds(LINGER_TIMEOUT_MS), self.abort)
        else:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Closes the connection immediately; unsent data is discarded."""
        self.transport.abortConnection()

    def _refuse_head(self) -> None:
        limit = self.limits.header_bytes
        self.refuse(431, f"the request line and headers are over {limit} bytes", READ_REQUEST_STEP)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.refuse(400, "malformed HTTP request", READ_REQUEST_STEP)

    def _send100Continue(self) -> None:  # noqa: N802
        if not self._is_refused:
            super()._send100Continue()

    def _start_receive_timer(self) -> None:
        self._receiving_since = self._site.now_s
        timeout = to_seconds(self.limits.receive_timeout_ms)
        self._receive_timer = self.callLater(timeout, self._on_receive_timeout)

    def _stop_receive_timer(self) -> None:
        self._receiving_since = None
        if self._receive_timer is not None and self._receive_timer.active():
            self._receive_timer.cancel()
        self._receive_timer = None

    def _on_receive_timeout(self) -> None:
        limit_ms = self.limits.receive_timeout_ms
        self.refuse(408, f"the request was not complete after {limit_ms} ms", READ_REQUEST_STEP)


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
    """Converts to whole seconds for a ``Retry-After`` header, rounded up, at least 1."""
    return max(1, math.ceil(to_seconds(retry_after_ms)))
