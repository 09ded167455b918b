"""Timeouts of HTTP connections, tested in virtual time."""

from __future__ import annotations

from typing import Any

import pytest

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from jujubehall.clock import to_seconds
from jujubehall.http.limits import HttpLimits
from jujubehall.http.router import HttpRequest
from jujubehall.http.router import HttpResponse
from jujubehall.http.router import Router
from jujubehall.http.server import JsonResource
from jujubehall.http.server import LimitedSite

LIMITS = HttpLimits(connections=3, receive_timeout_ms=10_000, idle_timeout_ms=60_000)
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: test\r\n\r\n"
PARTIAL_REQUEST = b"GET /healthz HTTP/1.1\r\nX-Slow: "

routes = Router()


class Interface:
    @routes.register("GET", "/healthz")
    async def health(self, call: HttpRequest) -> HttpResponse:
        return HttpResponse(200, {})


class Transport(StringTransport):
    """Records ``loseWriteConnection``, which Twisted's ``StringTransport`` does not."""

    half_closed = False

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.half_closed = True

    @property
    def is_open(self) -> bool:
        return not (self.disconnecting or self.disconnected or self.half_closed)


class ConnectionFactory:
    """Opens connections to a site with ``LIMITS`` whose clock is advanced by the test."""

    def __init__(self) -> None:
        self.clock = Clock()
        self._site: Any = LimitedSite(JsonResource((routes, Interface())), LIMITS, self.clock)

    def open(self) -> tuple[Any, Any]:
        channel = self._site.buildProtocol(None)
        # Twisted's StringTransport is untyped.
        make_transport: Any = Transport
        transport = make_transport()
        channel.makeConnection(transport)
        return channel, transport


@pytest.fixture
def connections() -> ConnectionFactory:
    return ConnectionFactory()


def test_idle_connection_is_closed(connections: ConnectionFactory) -> None:
    channel, transport = connections.open()
    channel.dataReceived(HEALTH)
    connections.clock.advance(to_seconds(LIMITS.idle_timeout_ms) - 1)
    assert transport.is_open
    connections.clock.advance(1)
    assert not transport.is_open


def test_connection_in_use_stays_open(connections: ConnectionFactory) -> None:
    channel, transport = connections.open()
    for _ in range(10):
        channel.dataReceived(HEALTH)
        connections.clock.advance(to_seconds(LIMITS.idle_timeout_ms) / 2)
    assert transport.is_open
    assert transport.value().count(b"200 OK") == 10


def test_steady_bytes_do_not_extend_the_receive_timeout(connections: ConnectionFactory) -> None:
    channel, transport = connections.open()
    channel.dataReceived(PARTIAL_REQUEST)
    for _ in range(9):
        connections.clock.advance(1)
        channel.dataReceived(b"a")
    assert transport.is_open
    connections.clock.advance(1)
    assert b" 408 " in transport.value()
    assert transport.half_closed


def test_refused_connection_is_closed_after_the_linger_timeout(
    connections: ConnectionFactory,
) -> None:
    channel, transport = connections.open()
    channel.dataReceived(b"nonsense\r\n\r\n")
    assert transport.half_closed
    channel.dataReceived(HEALTH)
    assert transport.value().count(b"HTTP/1.1") == 1
    connections.clock.advance(2)
    assert transport.disconnected


def test_slow_sender_is_evicted_after_one_second(connections: ConnectionFactory) -> None:
    slow = [connections.open() for _ in range(LIMITS.connections)]
    for channel, _ in slow:
        channel.dataReceived(PARTIAL_REQUEST)
    _, refused = connections.open()
    assert b" 503 " in refused.value()
    connections.clock.advance(1)
    channel, transport = connections.open()
    channel.dataReceived(HEALTH)
    assert b"200 OK" in transport.value()
    assert slow[0][1].disconnected
    assert slow[1][1].is_open
