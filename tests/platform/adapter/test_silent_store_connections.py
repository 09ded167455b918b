"""Connections to the store that have gone silent are noticed by one call, not by one call each."""

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

from jujubehall.clock import to_seconds
from jujubehall.platform.adapter.store import CALL_TIMEOUT_MS
from jujubehall.platform.adapter.store import StoreClient
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredItems

if TYPE_CHECKING:
    from collections.abc import Iterator

ANSWER_TIMEOUT_MS = 300
BODY = b'{"events":[],"items":[],"atRev":7}'


class SilentStore:
    """HTTP server whose open connections can go silent; new ones are answered."""

    def __init__(self) -> None:
        self.connections: list[socket.socket] = []
        self._silent: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_connections(self) -> None:
        """Answers nothing more on the connections that are open now."""
        self._silent.update(self.connections)

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
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            while connection.recv(65_536):
                if connection not in self._silent:
                    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
                    connection.sendall(head + BODY)
        except OSError:
            return


@pytest.fixture
def store() -> Iterator[SilentStore]:
    server = SilentStore()
    yield server
    server.close()


class Calls:
    """Runs calls to the store on a reactor of its own."""

    def __init__(self, store: SilentStore) -> None:
        make_reactor: Any = EPollReactor
        self._reactor = make_reactor()
        self.client = StoreClient(self._reactor, store.address)

    def run(self, *calls: Any) -> list[Any]:
        results: list[Any] = []
        for call in calls:
            Deferred.fromCoroutine(call).addBoth(results.append)
        end_s = self._reactor.seconds() + to_seconds(2 * CALL_TIMEOUT_MS)
        while len(results) < len(calls) and self._reactor.seconds() < end_s:
            self._reactor.iterate(0.01)
        return results


def test_watch_without_changes_goes_on_from_its_own_revision(store: SilentStore) -> None:
    """The revision of the store may lie beyond changes that it has not returned."""
    calls = Calls(store)
    [watched] = calls.run(calls.client.watch("op/", Revision(3), 0, ANSWER_TIMEOUT_MS))
    assert watched == Ok(StoredItems([], Revision(3)))


def test_call_after_an_unanswered_one_uses_a_new_connection(store: SilentStore) -> None:
    calls = Calls(store)
    client, run = calls.client, calls.run
    answers = run(*(client.list_items("op/") for _ in range(3)))
    assert all(isinstance(each, Ok) for each in answers)
    assert len(store.connections) == 3
    store.silence_connections()
    [unanswered] = run(client.watch("op/", Revision(7), 0, ANSWER_TIMEOUT_MS))
    assert isinstance(unanswered, Err)
    [answered] = run(client.watch("op/", Revision(7), 0, ANSWER_TIMEOUT_MS))
    assert isinstance(answered, Ok)
