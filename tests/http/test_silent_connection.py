"""The peer stops responding on a persistent connection without a reset, but accepts new ones."""

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
    from collections.abc import Callable
    from collections.abc import Iterator

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_MS = 200
MAX_REACTOR_ITERATIONS = 2_000


class ManualTimeReactor(EPollReactor):
    """Does real I/O, while its time advances only when the test says so.

    Timeouts then don't depend on how fast this machine is.
    """

    now_s = 0.0

    def seconds(self) -> float:
        """Returns the time in seconds."""
        return self.now_s


class SilentPeer:
    """HTTP server that responds to one request on its first connection, to all on later ones."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.connections: list[socket.socket] = []
        self.requests_received = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes the listener and all connections."""
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
            max_responses = 1 if len(self.connections) == 1 else None
            threading.Thread(
                target=self._serve, args=(connection, max_responses), daemon=True
            ).start()

    def _serve(self, connection: socket.socket, max_responses: int | None) -> None:
        responses_sent = 0
        while True:
            try:
                request = connection.recv(65_536)
            except OSError:
                return
            if not request:
                return
            self.requests_received += 1
            if max_responses is None or responses_sent < max_responses:
                connection.sendall(RESPONSE)
                responses_sent += 1


@pytest.fixture
def peer() -> Iterator[SilentPeer]:
    """A ``SilentPeer`` on a free port."""
    silent_peer = SilentPeer()
    yield silent_peer
    silent_peer.close()


def test_silent_connection_fails_one_call_and_is_not_reused(peer: SilentPeer) -> None:
    """Only the timeout of a call detects the silent connection; the next call opens a new one."""
    make_reactor: Any = ManualTimeReactor
    reactor = make_reactor()
    client = HttpClient(reactor, "peer")

    def iterate_until(condition: Callable[[], object]) -> None:
        for _ in range(MAX_REACTOR_ITERATIONS):
            if condition():
                return
            reactor.iterate(0.01)
        raise AssertionError("condition not met")

    def start_call() -> list[Any]:
        results: list[Any] = []
        coroutine = client.call(
            "ask", "GET", f"http://127.0.0.1:{peer.port}/", timeout_ms=TIMEOUT_MS
        )
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        return results

    first = start_call()
    iterate_until(lambda: first)
    assert isinstance(first[0], Ok)
    silent = start_call()
    iterate_until(lambda: peer.requests_received == 2)
    reactor.now_s += (TIMEOUT_MS - 1) / 1_000
    for _ in range(5):
        reactor.iterate(0.01)
    assert not silent
    reactor.now_s += 2 / 1_000
    iterate_until(lambda: silent)
    assert isinstance(silent[0], Err)
    assert silent[0].err_value.kind is FailureKind.NO_ANSWER
    third = start_call()
    iterate_until(lambda: third)
    assert isinstance(third[0], Ok)
    assert len(peer.connections) == 2
    client.close()
    reactor.iterate(0.01)
