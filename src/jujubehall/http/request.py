"""HTTP requests whose body is held in memory and whose size is limited."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

from twisted.web.http_headers import Headers
from twisted.web.server import Request

if TYPE_CHECKING:
    from jujubehall.http.request_handling import HandledRequest
    from jujubehall.http.request_handling import HandledRequests

MAX_QUERY_FIELDS = 64
READ_REQUEST_STEP = "read request"
READ_BODY_STEP = "read body"


class LimitedRequest(Request):
    """Buffers the request body in memory and refuses a body over the size limit.

    Twisted would write a large body to a temporary file, but the hosts have no disks. It would also
    parse cookies and forms, which no interface uses.
    """

    channel: Any
    content: Any
    _handled: HandledRequest | None = None
    _received_bytes = 0
    has_handler = False
    """Whether a handler was started, which may outlast the connection."""

    @property
    def received_bytes(self) -> int:
        """Size of the part of the body that has been received."""
        return self._received_bytes

    def begin_handling(self, requests: HandledRequests) -> bool:
        """Reserves the memory to handle the request; returns False if there is none."""
        self._requests = requests
        self._handled = requests.begin(self._received_bytes)
        return self._handled is not None

    def end_handling(self) -> None:
        """Releases the reserved memory."""
        if self._handled is not None:
            self._requests.end(self._handled)

    def finish(self) -> None:
        """Completes the response."""
        super().finish()
        if not self.has_handler:
            self.end_handling()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Handles the loss of the connection before the response; called by Twisted."""
        super().connectionLost(reason)
        if not self.has_handler:
            self.end_handling()

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Handles the end of the headers; ``length`` is None for a chunked body.

        Called by Twisted.
        """
        self.content = BytesIO()
        if length is not None:
            self._check_size(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Appends received body bytes to ``content``; called by Twisted."""
        if self.channel.is_refused:
            return
        self._received_bytes += len(data)
        if self._check_size(self._received_bytes):
            self.content.write(data)

    def parseCookies(self) -> None:  # noqa: N802
        """Does nothing: no interface uses cookies. Called by Twisted."""

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Dispatches a complete request; called by Twisted."""
        self.content.seek(0)
        self.method, self.uri, self.clientproto = command, path, version
        self.path, _, query = path.partition(b"?")
        try:
            self.args = parse_qs(query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
        except ValueError:
            self.channel.refuse(
                400, f"the query has more than {MAX_QUERY_FIELDS} fields", READ_REQUEST_STEP
            )
            return
        self.process()

    def discard_content(self) -> None:
        """Releases the memory of the headers and the body of a refused request."""
        self.requestHeaders = Headers()
        self.content = BytesIO()
        self._received_bytes = 0

    def _check_size(self, size_bytes: int) -> bool:
        limit_bytes = self.channel.limits.body_bytes
        if size_bytes <= limit_bytes:
            return True
        self.channel.refuse(413, f"the body is over {limit_bytes} bytes", READ_BODY_STEP)
        return False
