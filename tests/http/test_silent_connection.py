"""A kept connection that goes silent without a reset, while new ones work."""

from __future__ import annotations

import socket
import threading

from typing import TYPE_CHECKING
from typing import Any

import pytest

from result import Err
from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor

from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Iterator

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_MS = 200
MOST_ITERATIONS = 2_000


class SilentPeer:
    """Answers once on its first connection, and always on later ones."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes all sockets."""
        self._listener.close()
        for connection in self.connections:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            most = 1 if len(self.connections) == 1 else None
            threading.Thread(target=self._serve, args=(connection, most), daemon=True).start()

    def _serve(self, connection: socket.socket, most: int | None) -> None:
        answered = 0
        while True:
            try:
                request = connection.recv(65_536)
            except OSError:
                return
            if not request:
                return
            if most is None or answered < most:
                connection.sendall(ANSWER)
                answered += 1


@pytest.fixture
def peer() -> Iterator[SilentPeer]:
    """A peer on a free port."""
    made = SilentPeer()
    yield made
    made.close()


def test_a_silent_connection_costs_one_call_and_is_not_used_again(peer: SilentPeer) -> None:
    """Only the time limit of the call shows it; the next call takes a new connection."""
    make_reactor: Any = EPollReactor
    reactor = make_reactor()
    client = HttpClient(reactor, "peer")

    def call() -> Any:
        results: list[Any] = []
        coroutine = client.call(
            "ask", "GET", f"http://127.0.0.1:{peer.port}/", timeout_ms=TIMEOUT_MS
        )
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        for _ in range(MOST_ITERATIONS):
            if results:
                break
            reactor.iterate(0.01)
        return results[0]

    assert isinstance(call(), Ok)
    silent = call()
    assert isinstance(silent, Err)
    assert silent.err_value.kind is FailureKind.NO_ANSWER
    assert isinstance(call(), Ok)
    assert len(peer.connections) == 2
    client.close()
    reactor.iterate(0.01)
