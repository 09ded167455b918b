"""Many connections that send what they are given and stay open."""

from __future__ import annotations

import select
import socket
import time

from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Self

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from tests.crowds.misbehaviour import Misbehaviour

CLIENT_BUFFER_BYTES = 16 * 1024
POLL_INTERVAL_S = 0.05
STALL_POLLS = 30
SETTLE_POLLS = 20
CONNECTION_BATCH = 40
"""Connections opened at a time: fewer than fit into the queue of a listening socket."""

BATCH_INTERVAL_S = 0.02
MAX_DURATION_S = 60.0


class CrowdConnection:
    """One connection of a crowd; sends the content of its kind as far as the peer accepts it.

    Nothing is read, except to notice that the peer has closed.
    """

    def __init__(self, address: tuple[str, int], kind: Misbehaviour) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
        self._socket.setblocking(False)
        with suppress(BlockingIOError):
            self._socket.connect(address)
        self._content = memoryview(kind.content)
        self._reads = kind.reads
        self._leaves = kind.leaves
        self._is_connected = False
        self.is_closed = False

    def fileno(self) -> int:
        return self._socket.fileno()

    @property
    def is_done(self) -> bool:
        return self.is_closed or (self._is_connected and not self._content)

    def send(self, limit: int) -> bool:
        """Sends at most ``limit`` bytes; returns whether anything has changed."""
        if not self._is_connected:
            self._is_connected = True
            return True
        try:
            sent = self._socket.send(self._content[:limit])
        except BlockingIOError:
            return False
        except OSError:
            self.is_closed = True
            return True
        self._content = self._content[sent:]
        if self._leaves and not self._content:
            self._socket.close()
            self.is_closed = True
        return sent > 0

    def read(self) -> None:
        if self._reads:
            with suppress(OSError):
                self._socket.recv(CLIENT_BUFFER_BYTES)

    def close(self) -> None:
        self._socket.close()


class Crowd:
    """Opens the connections of one kind of misbehaving clients, which send in turn.

    Each connection sends until the content is sent or the peer closes it or stops reading, and is
    held open until the end of the context. ``sample`` is called all the while.
    """

    def __init__(
        self,
        address: tuple[str, int],
        kind: Misbehaviour,
        sample: Callable[[], None],
    ) -> None:
        self._address = address
        self._kind = kind
        self._sample = sample
        self._connections: list[CrowdConnection] = []

    def press(self) -> None:
        """Sends until no connection makes progress any more."""
        end_s = time.monotonic() + MAX_DURATION_S
        stalled = 0
        while stalled < STALL_POLLS and time.monotonic() < end_s:
            self._open_batch()
            unfinished = [each for each in self._connections if not each.is_done]
            if not unfinished and len(self._connections) == self._kind.clients:
                break
            stalled = 0 if self._send_in_turn(unfinished) else stalled + 1
            self._sample()
        # The kernel retries connections that didn't fit into the queue of the listening socket.
        for _ in range(SETTLE_POLLS):
            time.sleep(POLL_INTERVAL_S)
            self._sample()

    def _open_batch(self) -> None:
        missing = self._kind.clients - len(self._connections)
        if missing:
            self._connections += [
                CrowdConnection(self._address, self._kind)
                for _ in range(min(missing, CONNECTION_BATCH))
            ]
            time.sleep(BATCH_INTERVAL_S)

    def _send_in_turn(self, connections: list[CrowdConnection]) -> bool:
        """Lets each connection send once; returns whether any has made progress."""
        poller = select.poll()
        by_descriptor = {each.fileno(): each for each in connections}
        for descriptor in by_descriptor:
            poller.register(descriptor, select.POLLOUT | select.POLLIN)
        has_progress = False
        for descriptor, events in poller.poll(POLL_INTERVAL_S * 1_000):
            connection = by_descriptor[descriptor]
            if events & select.POLLIN:
                connection.read()
            if events & ~select.POLLIN:
                has_progress = connection.send(self._kind.piece_bytes) or has_progress
        if not has_progress:
            time.sleep(POLL_INTERVAL_S)
        return has_progress

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for connection in self._connections:
            connection.close()
