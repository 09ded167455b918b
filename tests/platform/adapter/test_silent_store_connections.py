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

from jujubehall.clock import to_seconds
from jujubehall.platform.adapter.store import StoreClient
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredItems
from tests.http.test_silent_connection import MAX_REACTOR_ITERATIONS
from tests.http.test_silent_connection import ManualTimeReactor

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

ANSWER_TIMEOUT_MS = 300
BODY = b'{"events":[],"items":[],"atRev":7}'


class SilentStore:
    """HTTP server whose open connections can go silent; new ones are answered."""

    def __init__(self) -> None:
        self.connections: list[socket.socket] = []
        self.requests_received = 0
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
                self.requests_received += 1
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
    """Runs calls to the store; time advances only where the test says so."""

    def __init__(self, store: SilentStore) -> None:
        make_reactor: Any = ManualTimeReactor
        self._reactor = make_reactor()
        self._store = store
        self.client = StoreClient(self._reactor, store.address)

    def run(self, *calls: Any) -> list[Any]:
        """Returns the results of calls that are answered."""
        results = self._start(*calls)
        self._iterate_until(lambda: len(results) == len(calls))
        return results

    def time_out(self, call: Any, timeout_ms: int) -> Any:
        """Returns the result of a call that gets no answer."""
        requests = self._store.requests_received
        results = self._start(call)
        self._iterate_until(lambda: self._store.requests_received > requests)
        self._reactor.now_s += to_seconds(timeout_ms)
        self._iterate_until(lambda: bool(results))
        return results[0]

    def _start(self, *calls: Any) -> list[Any]:
        results: list[Any] = []
        for call in calls:
            Deferred.fromCoroutine(call).addBoth(results.append)
        return results

    def _iterate_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(MAX_REACTOR_ITERATIONS):
            if condition():
                return
            self._reactor.iterate(0.01)
        raise AssertionError("the condition was not met")


def test_watch_without_changes_goes_on_from_its_own_revision(store: SilentStore) -> None:
    """The revision of the store may lie beyond changes that it has not returned."""
    calls = Calls(store)
    [watched] = calls.run(calls.client.watch("op/", Revision(3), 0))
    assert watched == Ok(StoredItems([], Revision(3)))


def test_call_after_an_unanswered_one_uses_a_new_connection(store: SilentStore) -> None:
    calls = Calls(store)
    answers = calls.run(*(calls.client.list_items("op/") for _ in range(3)))
    assert all(isinstance(each, Ok) for each in answers)
    assert len(store.connections) == 3
    store.silence_connections()
    watch = calls.client.watch("op/", Revision(7), 0, ANSWER_TIMEOUT_MS)
    assert isinstance(calls.time_out(watch, ANSWER_TIMEOUT_MS), Err)
    [answered] = calls.run(calls.client.watch("op/", Revision(7), 0))
    assert isinstance(answered, Ok)
