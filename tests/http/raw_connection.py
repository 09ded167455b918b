from __future__ import annotations

import json
import select
import socket

from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Self
from urllib.parse import urlsplit

if TYPE_CHECKING:
    from types import TracebackType

TIMEOUT_S = 10.0
BYTE_INTERVAL_S = 0.02


class RawResponse(NamedTuple):
    status: int
    headers: dict[str, str]
    body: Any


class RawConnection:
    """A TCP connection that sends exactly the bytes it is given."""

    def __init__(self, address: str) -> None:
        parts = urlsplit(address)
        self._socket = socket.create_connection((parts.hostname, parts.port), TIMEOUT_S)
        self._received = b""

    def send(self, content: bytes) -> None:
        # The server may refuse the request and close before everything is sent.
        with suppress(ConnectionError):
            self._socket.sendall(content)

    def send_byte_by_byte_until_response(self, content: bytes) -> None:
        """Sends one byte every ``BYTE_INTERVAL_S`` seconds until the server responds."""
        for byte in content:
            self.send(bytes([byte]))
            if select.select([self._socket], [], [], BYTE_INTERVAL_S)[0]:
                return

    def read_response(self) -> RawResponse:
        while b"\r\n\r\n" not in self._received:
            self._receive()
        head, _, rest = self._received.partition(b"\r\n\r\n")
        status_line, *lines = head.decode().split("\r\n")
        headers = {
            name.lower(): text.strip() for name, _, text in (line.partition(":") for line in lines)
        }
        length = int(headers["content-length"])
        self._received = rest
        while len(self._received) < length:
            self._receive()
        body, self._received = self._received[:length], self._received[length:]
        return RawResponse(int(status_line.split()[1]), headers, json.loads(body))

    def is_closed_by_peer(self) -> bool:
        """Waits for the server to close; returns False if it sends more data instead."""
        try:
            return self._socket.recv(1) == b""
        except ConnectionResetError:
            return True

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._socket.close()

    def _receive(self) -> None:
        received = self._socket.recv(65_536)
        if not received:
            raise ConnectionError(f"connection closed after receiving {self._received!r}")
        self._received += received
