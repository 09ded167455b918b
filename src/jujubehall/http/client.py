"""JSON client on Twisted's ``Agent`` that distinguishes unsent from unanswered requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.error import DNSLookupError
from twisted.web._newclient import RequestNotSent
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers

from jujubehall.clock import MS_PER_SECOND
from jujubehall.clock import to_seconds
from jujubehall.decoding import decode_json
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.body import BytesBodyProducer
from jujubehall.http.body_reader import BodyReader
from jujubehall.http.tcp_endpoint_factory import TcpEndpointFactory

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from jujubehall.clock import Reactor

CONNECT_TIMEOUT_MS = 1_000
IDLE_CONNECTION_TIMEOUT_MS = 15_000
DEFAULT_MAX_IDLE_CONNECTIONS_PER_PEER = 4
CONNECTION_LOSSES = (ConnectionDone, ConnectionLost, ConnectionRefusedError)


class ClientResponse(msgspec.Struct, frozen=True):
    """HTTP response with the status code and the raw body."""

    status: int
    body: bytes

    def decode(self, type_: type[Any]) -> Any:
        """Decodes the JSON body; raises ``msgspec.DecodeError`` if it doesn't match ``type_``."""
        return decode_json(self.body, type_)


class HttpClient:
    """Sends requests over pooled connections and maps every error to a ``Failure``.

    ``max_idle_connections_per_peer`` limits the idle connections that are kept open to one peer.
    """

    def __init__(
        self,
        reactor: Reactor,
        peer: str,
        max_idle_connections_per_peer: int = DEFAULT_MAX_IDLE_CONNECTIONS_PER_PEER,
    ) -> None:
        self._reactor: Any = reactor
        self._peer = peer
        self._pool: Any = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = max_idle_connections_per_peer
        self._pool.cachedConnectionTimeout = int(to_seconds(IDLE_CONNECTION_TIMEOUT_MS))
        # The pool can't tell which requests are idempotent, so retries are left to the callers.
        self._pool.retryAutomatically = False
        endpoints = TcpEndpointFactory(reactor, to_seconds(CONNECT_TIMEOUT_MS))
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool=self._pool)

    async def call(
        self,
        step: str,
        method: str,
        url: str,
        body: object | None = None,
        *,
        timeout_ms: int,
        peer: str | None = None,
        extra_headers: dict[str, str] | None = None,
        is_timeout_per_read: bool = False,
    ) -> Result[ClientResponse, Failure]:
        """Sends a request and waits up to ``timeout_ms`` milliseconds for the complete response.

        With ``is_timeout_per_read``, ``timeout_ms`` applies to the start of the response and then
        to each of its parts, so that a large response may take as long as the link needs for it.

        Returns ``Ok`` for every status code. Returns a ``NOT_SENT`` failure only if no byte can
        have reached the peer, and ``NO_ANSWER`` for every other error, including an expired
        ``timeout_ms``.
        """
        peer = peer or self._peer
        producer: Any = None if body is None else BytesBodyProducer(msgspec.json.encode(body))
        headers = Headers({b"Content-Type": [b"application/json"]})
        for name, value in (extra_headers or {}).items():
            headers.addRawHeader(name.encode(), value.encode())
        end_s = self._reactor.seconds() + to_seconds(timeout_ms)
        deferred: Deferred[Any] = self._agent.request(
            method.encode(), url.encode(), headers, producer
        )
        deferred.addTimeout(to_seconds(timeout_ms), self._reactor)
        try:
            response = await deferred
            if not is_timeout_per_read:
                remaining_s = max(0.0, end_s - self._reactor.seconds())
                timeout_ms = int(remaining_s * MS_PER_SECOND)
            reader = BodyReader(self._reactor, timeout_ms, is_timeout_per_read)
            response.deliverBody(reader)
            return Ok(ClientResponse(response.code, await reader.body))
        except (ConnectError, DNSLookupError, RequestNotSent) as error:
            return Err(_to_failure(FailureKind.NOT_SENT, step, peer, error))
        except Exception as error:
            return Err(_to_failure(FailureKind.NO_ANSWER, step, peer, error))

    def close(self) -> Deferred[Any]:
        """Closes the idle connections of the pool."""
        closed: Deferred[Any] = self._pool.closeCachedConnections()
        return closed


def _to_failure(kind: FailureKind, step: str, peer: str, error: Exception) -> Failure:
    # Twisted wraps the errors of a connection that ends during a request.
    reasons = [error, *(each.value for each in getattr(error, "reasons", None) or ())]
    is_connection_lost = any(isinstance(each, CONNECTION_LOSSES) for each in reasons)
    return Failure(kind, step, peer, _describe(error), is_connection_lost)


def _describe(error: Exception) -> str:
    text = str(error)
    return f"{type(error).__name__}: {text}" if text else type(error).__name__
