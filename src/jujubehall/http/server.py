"""HTTP server on ``twisted.web`` for the routes of one or more interfaces."""

from __future__ import annotations

import socket

from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import unquote

import msgspec
import structlog

from twisted.web.resource import Resource
from twisted.web.server import Site

from jujubehall.clock import to_seconds
from jujubehall.core.connections.capacity import SOCKET_BUFFER_BYTES
from jujubehall.http.capacity import HttpCapacity
from jujubehall.http.capacity import make_http_capacity
from jujubehall.http.channel import LimitedChannel
from jujubehall.http.channel import retry_after_seconds
from jujubehall.http.error_body import ErrorBody
from jujubehall.http.limits import HttpLimits
from jujubehall.http.request import LimitedRequest
from jujubehall.http.request_handling import start_handler
from jujubehall.http.router import HttpRequest
from jujubehall.http.router import HttpResponse
from jujubehall.metrics import HTTP_EVICTIONS
from jujubehall.metrics import HTTP_RESPONSES

if TYPE_CHECKING:
    from jujubehall.http.router import Handler
    from jujubehall.http.router import Route
    from jujubehall.http.router import Router

LISTEN_BACKLOG = 128
MAX_LINGERING_CONNECTIONS = 64
MIN_RECEIVE_TIME_BEFORE_EVICTION_S = 1.0
DEFAULT_LIMITS = HttpLimits()

log = structlog.get_logger()


class JsonResource(Resource):
    """Dispatches each request to the handler of the first matching route.

    ``interfaces`` are pairs of a router and the object whose methods handle its routes.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, *interfaces: tuple[Router, object]) -> None:
        super().__init__()
        self._routes: list[tuple[Route, object]] = [
            (route, interface) for router, interface in interfaces for route in router.routes
        ]

    def render(self, request: Any) -> int:
        """Starts handling a complete request; called by Twisted."""
        return start_handler(request, self._serve(request))

    async def _serve(self, request: Any) -> None:
        disconnects: list[object] = []
        request.notifyFinish().addErrback(disconnects.append)
        response = await self._handle(request)
        HTTP_RESPONSES.inc({"status": str(response.status)})
        if not disconnects:
            _write_response(request, response)

    async def _handle(self, request: Any) -> HttpResponse:
        path = request.path.decode("ascii", "replace")
        method = request.method.decode("ascii", "replace")
        matched = self._match_route(method, path)
        if isinstance(matched, HttpResponse):
            return matched
        handler, interface, parameters = matched
        call = HttpRequest(method, path, parameters, _parse_query(request), request.content.read())
        try:
            return await handler(interface, call)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _error_response(400, str(error), "decode body")
        except RecursionError:
            return _error_response(400, "the body is nested too deeply", "decode body")
        except Exception as error:
            log.error("handler failed", method=method, path=path, error=repr(error))
            return _error_response(500, "internal error", f"{method} {path}", peer="entry host")

    def _match_route(
        self, method: str, path: str
    ) -> HttpResponse | tuple[Handler, object, dict[str, str]]:
        allowed_methods = []
        for route, interface in self._routes:
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            if route.method == method:
                # Percent-decoded after matching, as an identifier may contain an encoded slash.
                parameters = {name: unquote(text) for name, text in match.groupdict().items()}
                return route.handler, interface, parameters
            allowed_methods.append(route.method)
        if allowed_methods:
            refusal = _error_response(405, f"{method} is not allowed for {path}", "route")
            return HttpResponse(405, refusal.body, {"Allow": ", ".join(sorted(allowed_methods))})
        return _error_response(404, f"{path} does not exist", "route")


class LimitedSite(Site):
    """Twisted ``Site`` that limits the number of open connections.

    At the limit, a new connection evicts the least recently used idle connection. If none is idle,
    it evicts a connection that has been sending its request for at least
    ``MIN_RECEIVE_TIME_BEFORE_EVICTION_S``. A connection whose request is being handled is never
    evicted; a new connection is refused instead.

    ``capacity`` is shared by all sites of a process.
    """

    def __init__(
        self,
        resource: Resource,
        limits: HttpLimits,
        reactor: Any = None,
        capacity: HttpCapacity | None = None,
    ) -> None:
        timeout = to_seconds(limits.idle_timeout_ms)
        super().__init__(resource, requestFactory=LimitedRequest, timeout=timeout, reactor=reactor)
        self._limits = limits
        self._capacity = capacity or make_http_capacity(self.reactor)
        # Ordered by last use, the least recently used first.
        self._channels: dict[LimitedChannel, None] = {}
        self._open_refused_connections = 0
        # Set on the instance, because Twisted calls ``protocol`` without passing the site.
        self.__dict__["protocol"] = self._make_channel

    @property
    def capacity(self) -> HttpCapacity:
        """The limits that the connections share with those of the other sites."""
        return self._capacity

    @property
    def connections(self) -> int:
        """Number of open connections, without the refused ones."""
        return len(self._channels)

    @property
    def requests_in_progress(self) -> int:
        """Number of requests whose response is not yet finished."""
        return sum(channel.is_serving for channel in self._channels)

    def close_idle(self) -> None:
        """Closes connections without a request in progress, after sending their buffered output."""
        for channel in list(self._channels):
            if not channel.is_serving:
                channel.loseConnection()

    @property
    def now_s(self) -> float:
        """Reactor time in seconds."""
        reactor: Any = self.reactor
        return float(reactor.seconds())

    @property
    def may_linger(self) -> bool:
        """Whether a refused connection may stay open until its client has read the response.

        At most ``MAX_LINGERING_CONNECTIONS`` refused connections do so at a time.
        """
        return self._open_refused_connections <= MAX_LINGERING_CONNECTIONS

    def admit(self, channel: LimitedChannel) -> bool:
        """Admits a new connection, evicting another one if needed; returns False if refused."""
        if len(self._channels) >= self._limits.connections and not self._evict():
            self._open_refused_connections += 1
            return False
        self._channels[channel] = None
        return True

    def mark_used(self, channel: LimitedChannel) -> None:
        """Moves a connection to the end of the eviction order after a request."""
        if channel in self._channels:
            del self._channels[channel]
            self._channels[channel] = None

    def remove(self, channel: LimitedChannel) -> None:
        """Removes a closed connection from the counts."""
        self._capacity.memory.remove(channel)
        self._capacity.input.forget(channel)
        if channel in self._channels:
            del self._channels[channel]
        elif self._open_refused_connections:
            self._open_refused_connections -= 1

    def _evict(self) -> bool:
        victim = next((channel for channel in self._channels if channel.is_idle), None)
        if victim is None:
            victim = next(
                (channel for channel in self._channels if self._is_slow_sender(channel)), None
            )
        if victim is None:
            return False
        HTTP_EVICTIONS.inc({})
        # Counted as refused until Twisted reports it closed; ``remove`` then subtracts it.
        del self._channels[victim]
        self._open_refused_connections += 1
        victim.abort()
        return True

    def _is_slow_sender(self, channel: LimitedChannel) -> bool:
        since = channel.receiving_since
        return since is not None and self.now_s - since >= MIN_RECEIVE_TIME_BEFORE_EVICTION_S

    def _make_channel(self) -> LimitedChannel:
        return LimitedChannel(self._limits, self)


def make_http_site(
    *interfaces: tuple[Router, object],
    limits: HttpLimits = DEFAULT_LIMITS,
    capacity: HttpCapacity | None = None,
) -> Any:
    """Creates the HTTP server for ``(router, interface)`` pairs."""
    return LimitedSite(JsonResource(*interfaces), limits, capacity=capacity)


def listen_tcp(reactor: Any, port: int, site: LimitedSite, host: str) -> Any:
    """Opens a port for ``site``, whose connections have small buffers in the kernel.

    Raises ``CannotListenError`` if the address is in use.
    """
    listening = reactor.listenTCP(port, site, backlog=LISTEN_BACKLOG, interface=host)
    # Accepted sockets inherit the sizes. The kernel would let the buffers grow to some megabytes.
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listening.socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return listening


def _error_response(status: int, message: str, step: str, peer: str = "caller") -> HttpResponse:
    return HttpResponse(status, ErrorBody(message, step, peer))


def _parse_query(request: Any) -> dict[str, str]:
    return {
        name.decode("utf-8", "replace"): values[-1].decode("utf-8", "replace")
        for name, values in request.args.items()
    }


def _write_response(request: Any, response: HttpResponse) -> None:
    body = response.body if isinstance(response.body, bytes) else msgspec.json.encode(response.body)
    request.setResponseCode(response.status)
    request.setHeader("Content-Type", "application/json")
    request.setHeader("Content-Length", str(len(body)))
    for name, value in response.headers.items():
        request.setHeader(name, value)
    request.write(body)
    request.finish()


def retry_after_header(retry_after_ms: int) -> dict[str, str]:
    """Returns the ``Retry-After`` header for a delay in milliseconds."""
    return {"Retry-After": str(retry_after_seconds(retry_after_ms))}
