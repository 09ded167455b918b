"""Lists of the store over a link that is too slow for a whole page within the limit of a call."""

from __future__ import annotations

import base64
import socket
import threading
import time

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest

from result import Err
from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor

from jujubehall.clock import to_seconds
from jujubehall.errors import FailureKind
from jujubehall.platform.adapter.store import CALL_TIMEOUT_MS
from jujubehall.platform.adapter.store import StoreClient
from tests.http.test_silent_connection import ManualTimeReactor

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

PIECES = 15
PIECE_INTERVAL_MS = 100
ITEMS = 100
MAX_WAIT_MS = 5 * CALL_TIMEOUT_MS

PAGE = msgspec.json.encode(
    {
        "items": [
            {
                "key": f"jobs/{number:03}",
                "value": base64.b64encode(b"x" * 300).decode(),
                "revision": number + 1,
                "created": number + 1,
                "lease": 0,
            }
            for number in range(ITEMS)
        ],
        "hasMore": False,
        "atRev": 200,
    }
)


class SlowStore:
    """HTTP server that sends one page in equal pieces and goes silent after ``pieces`` of them.

    With ``closes_midway``, it closes the connection instead of going silent, at the latest before
    the last byte, a line feed.
    """

    def __init__(self, pieces: int, closes_midway: bool = False) -> None:
        self._pieces = pieces
        self._closes_midway = closes_midway
        self.was_closed_by_client = threading.Event()
        self._connections: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes the listener and all connections."""
        self._listener.close()
        for connection in self._connections:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
                self._connections.append(connection)
                threading.Thread(target=self._send_page, args=(connection,), daemon=True).start()
            except OSError:
                return

    def _send_page(self, connection: socket.socket) -> None:
        size = -(-len(PAGE) // PIECES)
        try:
            connection.recv(65_536)
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % (len(PAGE) + self._closes_midway)
            )
            for number in range(self._pieces):
                time.sleep(to_seconds(PIECE_INTERVAL_MS))
                connection.sendall(PAGE[number * size : (number + 1) * size])
            if self._closes_midway:
                connection.shutdown(socket.SHUT_RDWR)
            elif not connection.recv(65_536):
                self.was_closed_by_client.set()
        except ConnectionError:
            # Closing a connection that has unread data resets it.
            self.was_closed_by_client.set()
        except OSError:
            return


@pytest.fixture
def make_store() -> Iterator[Callable[..., SlowStore]]:
    """Returns a function that starts a ``SlowStore``."""
    stores: list[SlowStore] = []

    def start(pieces: int, closes_midway: bool = False) -> SlowStore:
        stores.append(SlowStore(pieces, closes_midway))
        return stores[-1]

    yield start
    for store in stores:
        store.close()


def list_items(store: SlowStore, make_reactor: Any = EPollReactor) -> Any:
    reactor = make_reactor()
    results: list[Any] = []
    listed = StoreClient(reactor, store.address).list_items("jobs/")
    Deferred.fromCoroutine(listed).addBoth(results.append)
    end_s = time.monotonic() + to_seconds(MAX_WAIT_MS)
    while not results and time.monotonic() < end_s:
        reactor.iterate(0.01)
    assert results, f"no result within {MAX_WAIT_MS} ms"
    reactor.iterate(0.01)
    return results[0]


def test_page_that_takes_longer_than_a_call_is_read_while_bytes_arrive(
    make_store: Callable[..., SlowStore],
) -> None:
    assert PIECES * PIECE_INTERVAL_MS > CALL_TIMEOUT_MS
    listed = list_items(make_store(PIECES))
    assert isinstance(listed, Ok), listed
    assert len(listed.ok_value.items) == ITEMS


def test_page_that_stops_midway_fails_within_the_limit_of_a_call(
    make_store: Callable[..., SlowStore],
) -> None:
    began_s = time.monotonic()
    listed = list_items(make_store(3))
    assert isinstance(listed, Err)
    assert listed.err_value.kind is FailureKind.NO_ANSWER
    silent_s = time.monotonic() - began_s - to_seconds(3 * PIECE_INTERVAL_MS)
    assert silent_s < to_seconds(2 * CALL_TIMEOUT_MS)


@pytest.mark.parametrize("has_unread_data", [False, True])
def test_cancelled_read_closes_its_connection(
    make_store: Callable[[int], SlowStore], has_unread_data: bool
) -> None:
    """With unread data the connection is reset instead."""
    store = make_store(5)
    make_reactor: Any = EPollReactor
    reactor = make_reactor()
    listed = Deferred.fromCoroutine(StoreClient(reactor, store.address).list_items("jobs/"))
    listed.addErrback(lambda _: None)
    end_s = reactor.seconds() + to_seconds(2 * PIECE_INTERVAL_MS)
    while reactor.seconds() < end_s:
        reactor.iterate(0.01)
    if has_unread_data:
        time.sleep(to_seconds(2 * PIECE_INTERVAL_MS))
    listed.cancel()
    for _ in range(5):
        reactor.iterate(0.01)
    assert store.was_closed_by_client.wait(to_seconds(CALL_TIMEOUT_MS))


def test_abandoned_page_does_not_go_on_using_the_link(
    make_store: Callable[..., SlowStore],
) -> None:
    store = make_store(3)
    assert isinstance(list_items(store), Err)
    assert store.was_closed_by_client.wait(to_seconds(CALL_TIMEOUT_MS))


@pytest.mark.parametrize("pieces", [3, PIECES])
def test_page_whose_connection_is_closed_before_its_end_fails_at_once(
    make_store: Callable[..., SlowStore], pieces: int
) -> None:
    """No time passes for the client, so that no limit of its own can end the call."""
    listed = list_items(make_store(pieces, closes_midway=True), ManualTimeReactor)
    assert isinstance(listed, Err), "the JSON is complete after all pieces, the body is not"
    assert listed.err_value.kind is FailureKind.NO_ANSWER
