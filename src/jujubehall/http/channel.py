"""HTTP server connections with size and time limits; requests are refused with a JSON error."""

from __future__ import annotations

import math

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import to_seconds
from jujubehall.core.connections.capacity import CONNECTION_BYTES
from jujubehall.core.connections.capacity import SOCKET_BUFFER_BYTES
from jujubehall.core.connections.closing_order import Phase
from jujubehall.http.error_body import ErrorBody
from jujubehall.http.request import READ_REQUEST_STEP
from jujubehall.metrics import HTTP_REFUSALS

if TYPE_CHECKING:
    from jujubehall.http.limits import HttpLimits
    from jujubehall.http.server import LimitedSite

LINGER_TIMEOUT_MS = 2_000
CONNECTION_LIMIT_RETRY_AFTER_MS = 1_000
MEMORY_RETRY_AFTER_MS = 1_000

INPUT_PIECE_BYTES = 4 * 1024
MAX_WAITING_INPUT_BYTES = 16 * 1024
"""Received bytes that may wait for their turn; beyond, the connection is not read from."""

TRANSPORT_BUFFER_BYTES = 16 * 1024
"""Bytes read from a socket at a time, and unsent bytes beyond which no request is processed."""

HEAD_FACTOR = 4
"""Memory of a request's headers in relation to their bytes on the wire."""

HEADER_BYTES = 320
"""Memory of a header beside its name and value."""

TRAILER_FACTOR = 32
"""Memory of the headers behind a chunked body in relation to their bytes on the wire."""

UNSENT_PART_BYTES = 64
"""Memory of each part of an unsent response beside its bytes."""


class LimitedChannel(HTTPChannel):
    """HTTP connection with limits on header size, body size and the time to receive a request.

    After refusing a request, the channel keeps reading and discarding input for up to
    ``LINGER_TIMEOUT_MS``: closing the socket at once would reset the connection before the client
    has read the error response.
    """

    transport: Any
    _networkProducer: Any  # noqa: N815

    def __init__(self, limits: HttpLimits, site: LimitedSite) -> None:
        super().__init__()
        self.limits = limits
        self.totalHeadersSize = limits.header_bytes
        self.maxHeaders = limits.headers
        self.MAX_LENGTH = limits.header_bytes
        self._site = site
        self._is_refused = False
        self._is_closed = False
        self._input = bytearray()
        self._is_processing = False
        self._is_complete = False
        self._is_input_paused = False
        self._has_unparsed_lines = False
        self._header_count = 0
        self._send_timer: Any = None
        self._sending_since = 0.0
        self._unsent_at_timer = 0
        self._receive_timer: Any = None
        self._linger_timer: Any = None
        self._receiving_since: float | None = None
        self._head_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether the connection is waiting for its next request."""
        return not self._handlingRequest and self._receiving_since is None and not self.has_input

    @property
    def is_refused(self) -> bool:
        """Whether an error response has been sent in place of reading a request."""
        return self._is_refused

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        if self._handlingRequest or self._is_complete:
            return Phase.HANDLING
        if self._is_refused or self._receiving_since is None:
            return Phase.SENDING if unsent_bytes(self.transport) else Phase.IDLE
        return Phase.RECEIVING

    @property
    def phase_since_ms(self) -> int:
        """Reactor time in milliseconds at which the request or the last response began."""
        since_s = self._sending_since if self._receiving_since is None else self._receiving_since
        return int(since_s * MS_PER_SECOND)

    @property
    def has_input(self) -> bool:
        """Whether received bytes may be processed now.

        They wait while a request is being handled, and while the client does not read its
        responses.
        """
        may_process = not (
            self._handlingRequest
            or self._waitingForTransport
            or self._is_refused
            or self._is_closed
        )
        return may_process and (bool(self._input) or self._has_unparsed_lines)

    @property
    def is_serving(self) -> bool:
        """Whether a request is being handled, or one may wait for its turn to be parsed."""
        return bool(self._handlingRequest) or self.has_input

    @property
    def receiving_since(self) -> float | None:
        """Reactor time in seconds at which an incomplete request began to arrive, else None."""
        return self._receiving_since

    def connectionMade(self) -> None:  # noqa: N802
        """Refuses the connection if the site is at its connection limit; called by Twisted."""
        self.transport.bufferSize = TRANSPORT_BUFFER_BYTES
        super().connectionMade()
        is_admitted = self._site.admit(self)
        self._report_memory()
        if not is_admitted:
            limit = self.limits.connections
            self.refuse(
                503,
                f"all {limit} connections are in use",
                "accept",
                CONNECTION_LIMIT_RETRY_AFTER_MS,
            )

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Cancels the timers and removes the connection from the site; called by Twisted."""
        self._is_closed = True
        self._input.clear()
        self._stop_receive_timer()
        self._stop_send_timer()
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        self._site.remove(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes in received bytes and starts the receive timer; called by Twisted."""
        if self._is_refused or self._is_closed:
            return
        self._begin_receiving()
        self._input += data
        self._site.capacity.input.offer(self)
        if len(self._input) > MAX_WAITING_INPUT_BYTES:
            self._is_input_paused = True
            self._networkProducer.pauseProducing()
        if self._input:
            self._report_memory()

    def process_piece(self) -> None:
        """Parses the next piece of the received bytes."""
        piece = bytes(self._input[:INPUT_PIECE_BYTES])
        del self._input[:INPUT_PIECE_BYTES]
        self._has_unparsed_lines = False
        if piece:
            self._begin_receiving()
        self._is_processing = True
        try:
            super().dataReceived(piece)
        finally:
            self._is_processing = False
        self._resume_input()
        self._report_memory()

    def setLineMode(self, extra: bytes = b"") -> None:  # noqa: N802
        """Returns to parsing lines, first of ``extra``; called by Twisted after a response."""
        self.line_mode = 1
        if extra:
            self._input[:0] = extra

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops parsing requests until responses have been sent; called by the transport."""
        super().pauseProducing()
        self.paused = True
        self._has_unparsed_lines = True
        self._start_send_timer()

    def resumeProducing(self) -> None:  # noqa: N802
        """Parses requests again, after responses have been sent; called by the transport."""
        super().resumeProducing()
        self.paused = False
        self._stop_send_timer()
        self._site.capacity.input.offer(self)

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection once its responses have been sent, within the send timeout."""
        super().loseConnection()
        self._start_send_timer()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handles a line of the request head and checks the head size; called by Twisted."""
        if self._is_refused:
            return
        self._begin_receiving()
        is_request_line = not self._head_bytes
        self._head_bytes += len(line) + len(self.delimiter)
        if self._head_bytes > self.limits.header_bytes:
            self._refuse_head()
        elif is_request_line and len(line) > self.limits.request_line_bytes:
            limit = self.limits.request_line_bytes
            self.refuse(414, f"the request line is over {limit} bytes", READ_REQUEST_STEP)
        else:
            super().lineReceived(line)

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        """Handles a header and checks the length of its name; called by Twisted."""
        if self._is_refused:
            return False
        # Twisted keeps the names of headers for the life of the process.
        if line.find(b":") > self.limits.header_name_bytes:
            limit = self.limits.header_name_bytes
            self.refuse(431, f"the name of a header is over {limit} bytes", READ_REQUEST_STEP)
            return False
        self._header_count += 1
        if self._header_count > self.limits.headers:
            limit = self.limits.headers
            self.refuse(431, f"there are more than {limit} headers", READ_REQUEST_STEP)
            return False
        return bool(super().headerReceived(line))

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Handles the end of the headers; called by Twisted."""
        if self._is_refused:
            return
        decoder: Any = self._transferDecoder
        if self.length is None and decoder is not None:
            decoder._maxTrailerHeadersSize = self.limits.trailer_bytes
        super().allHeadersReceived()

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
        self._is_complete = True
        if not self.requests[-1].begin_handling(self._site.capacity.requests):
            self.shed()
            return
        self._stop_receive_timer()
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Marks the connection as recently used after a response; called by Twisted."""
        self._site.mark_used(self)
        self._is_complete = False
        self._head_bytes = 0
        self._header_count = 0
        self._sending_since = self._site.now_s
        super().requestDone(request)
        self._report_memory()
        if self.has_input and not self._is_processing:
            self._site.capacity.input.offer(self)

    def measure_bytes(self) -> int:
        """Returns the memory that the connection uses now, with its buffers in the kernel."""
        used_bytes = CONNECTION_BYTES + len(self._input)
        used_bytes += HEAD_FACTOR * self._head_bytes + HEADER_BYTES * self._header_count
        used_bytes += sum(request.received_bytes for request in self.requests)
        if getattr(self._transferDecoder, "state", "") == "TRAILER":
            used_bytes += TRAILER_FACTOR * self.limits.trailer_bytes
        if unsent_bytes(self.transport):
            used_bytes += SOCKET_BUFFER_BYTES + unsent_bytes(self.transport)
            used_bytes += UNSENT_PART_BYTES * len(getattr(self.transport, "_tempDataBuffer", ()))
        return int(used_bytes)

    def shed(self) -> None:
        """Refuses the incomplete request, or closes the connection if there is none."""
        if self._receiving_since is None or self._is_refused:
            self.abort()
            return
        message = "too many requests are being received and handled"
        self.refuse(503, message, READ_REQUEST_STEP, MEMORY_RETRY_AFTER_MS)

    def refuse(self, status: int, message: str, step: str, retry_after_ms: int = 0) -> None:
        """Sends an error response and closes the connection.

        ``retry_after_ms`` sets the ``Retry-After`` header; 0 leaves it out.
        """
        if self._is_refused:
            return
        self._is_refused = True
        self._sending_since = self._site.now_s
        self._stop_receive_timer()
        self.setTimeout(None)
        HTTP_REFUSALS.inc({"status": str(status)})
        error = ErrorBody(message, step, "caller", retry_after_ms)
        self.transport.write(_encode_refusal(status, error))
        self._discard_request()
        self._networkProducer.unregisterProducer()
        self._networkProducer.resumeProducing()
        if self._site.may_linger:
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()
        self._linger_timer = self.callLater(to_seconds(LINGER_TIMEOUT_MS), self.abort)

    def abort(self) -> None:
        """Closes the connection immediately; unsent data is discarded."""
        self.transport.abortConnection()

    def _discard_request(self) -> None:
        """Releases the memory of the request that has been refused."""
        self._input.clear()
        self._is_complete = False
        self._head_bytes = 0
        self._header_count = 0
        for request in self.requests:
            request.discard_content()

    def _report_memory(self) -> None:
        if not self._is_closed:
            self._site.capacity.memory.update(self, self.measure_bytes())

    def _resume_input(self) -> None:
        if self._is_input_paused and len(self._input) <= MAX_WAITING_INPUT_BYTES:
            self._is_input_paused = False
            if not self._waitingForTransport and not self._is_closed:
                self._networkProducer.resumeProducing()

    def _start_send_timer(self) -> None:
        self._stop_send_timer()
        if self._is_closed:
            return
        self._unsent_at_timer = unsent_bytes(self.transport)
        timeout = to_seconds(self.limits.send_timeout_ms)
        self._send_timer = self.callLater(timeout, self._on_send_timeout)

    def _stop_send_timer(self) -> None:
        if self._send_timer is not None and self._send_timer.active():
            self._send_timer.cancel()
        self._send_timer = None

    def _on_send_timeout(self) -> None:
        if unsent_bytes(self.transport) < self._unsent_at_timer:
            self._start_send_timer()
        else:
            self.abort()

    def _refuse_head(self) -> None:
        limit = self.limits.header_bytes
        self.refuse(431, f"the request line and headers are over {limit} bytes", READ_REQUEST_STEP)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.refuse(400, "malformed HTTP request", READ_REQUEST_STEP)

    def _send100Continue(self) -> None:  # noqa: N802
        if not self._is_refused:
            super()._send100Continue()

    def _begin_receiving(self) -> None:
        if self._handlingRequest or self._receiving_since is not None:
            return
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


def unsent_bytes(transport: Any) -> int:
    """Returns how many bytes written to a Twisted transport the kernel has not taken yet."""
    buffered = len(getattr(transport, "dataBuffer", b"")) - getattr(transport, "offset", 0)
    return int(buffered + getattr(transport, "_tempDataLen", 0))


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
