"""Serves the routes of one or more interfaces by ``twisted.web``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import unquote

import msgspec
import structlog

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

from jujubehall.clock import to_seconds
from jujubehall.http.channel import LimitedChannel
from jujubehall.http.channel import LimitedRequest
from jujubehall.http.channel import retry_after_seconds
from jujubehall.http.error_body import ErrorBody
from jujubehall.http.limits import HttpLimits
from jujubehall.http.router import Call
from jujubehall.http.router import Reply
from jujubehall.metrics import HTTP_EVICTIONS
from jujubehall.metrics import HTTP_RESPONSES

if TYPE_CHECKING:
    from jujubehall.http.router import Handler
    from jujubehall.http.router import Route
    from jujubehall.http.router import Router

MAX_LINGERING_CONNECTIONS = 64
MIN_RECEIVING_BEFORE_EVICTION_S = 1.0
DEFAULT_LIMITS = HttpLimits()

log = structlog.get_logger()


class JsonResource(Resource):
    """Hands each request to the handler whose route matches it."""

    isLeaf = True  # noqa: N815

    def __init__(self, *interfaces: tuple[Router, object]) -> None:
        super().__init__()
        self._routes: list[tuple[Route, object]] = [
            (route, interface) for router, interface in interfaces for route in router.routes
        ]

    def render(self, request: Any) -> int:
        """Called by twisted with each complete request."""
        Deferred.fromCoroutine(self._serve(request))
        return NOT_DONE_YET

    async def _serve(self, request: Any) -> None:
        closed: list[object] = []
        request.notifyFinish().addErrback(closed.append)
        reply = await self._reply(request)
        HTTP_RESPONSES.inc({"status": str(reply.status)})
        if not closed:
            _write(request, reply)

    async def _reply(self, request: Any) -> Reply:
        path = request.path.decode("ascii", "replace")
        method = request.method.decode("ascii", "replace")
        found = self._find(method, path)
        if isinstance(found, Reply):
            return found
        handler, interface, parameters = found
        call = Call(method, path, parameters, _query(request), request.content.read())
        try:
            return await handler(interface, call)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _error(400, str(error), "decode body")
        except RecursionError:
            return _error(400, "the body is nested too deeply", "decode body")
        except Exception as error:
            log.error("handler failed", method=method, path=path, error=repr(error))
            return _error(500, "internal error", f"{method} {path}", peer="entry host")

    def _find(self, method: str, path: str) -> Reply | tuple[Handler, object, dict[str, str]]:
        allowed = []
        for route, interface in self._routes:
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            if route.method == method:
                # Unquoted only now, so that an identifier may contain a quoted slash.
                parameters = {name: unquote(text) for name, text in match.groupdict().items()}
                return route.handler, interface, parameters
            allowed.append(route.method)
        if allowed:
            refusal = _error(405, f"{method} is not allowed for {path}", "route")
            return Reply(405, refusal.body, {"Allow": ", ".join(sorted(allowed))})
        return _error(404, f"{path} does not exist", "route")


class LimitedSite(Site):
    """A twisted site that bounds its connections.

    At the bound, the connection that has waited longest for its next request makes room, else
    one that has long been sending a request. Requests being served are never cut off for this.
    """

    def __init__(self, resource: Resource, limits: HttpLimits, reactor: Any = None) -> None:
        timeout = to_seconds(limits.idle_timeout_ms)
        super().__init__(resource, requestFactory=LimitedRequest, timeout=timeout, reactor=reactor)
        self._limits = limits
        # Ordered by last use, the longest unused one first.
        self._channels: dict[LimitedChannel, None] = {}
        self._refused = 0
        # Assigned here, because twisted calls it without the factory.
        self.__dict__["protocol"] = self._make_channel

    @property
    def connections(self) -> int:
        """The number of admitted connections."""
        return len(self._channels)

    @property
    def requests_in_progress(self) -> int:
        """The number of requests whose answer is not yet written."""
        return sum(channel.is_serving for channel in self._channels)

    def close_idle(self) -> None:
        """Closes the connections that serve no request; what is written already is still sent."""
        for channel in list(self._channels):
            if not channel.is_serving:
                channel.loseConnection()

    @property
    def now(self) -> float:
        """The reactor's time in seconds."""
        reactor: Any = self.reactor
        return float(reactor.seconds())

    @property
    def may_linger(self) -> bool:
        """Whether one more refused connection may stay open until its caller has read why."""
        return self._refused <= MAX_LINGERING_CONNECTIONS

    def admit(self, channel: LimitedChannel) -> bool:
        """Counts a new connection if there is room or room can be made."""
        if len(self._channels) >= self._limits.connections and not self._evict():
            self._refused += 1
            return False
        self._channels[channel] = None
        return True

    def used(self, channel: LimitedChannel) -> None:
        """Notes that a connection has just finished a request."""
        if channel in self._channels:
            del self._channels[channel]
            self._channels[channel] = None

    def forget(self, channel: LimitedChannel) -> None:
        """Notes that a connection is gone."""
        if channel in self._channels:
            del self._channels[channel]
        elif self._refused:
            self._refused -= 1

    def _evict(self) -> bool:
        victim = next((each for each in self._channels if each.is_idle), None)
        if victim is None:
            victim = next((each for each in self._channels if self._is_slow(each)), None)
        if victim is None:
            return False
        HTTP_EVICTIONS.inc({})
        # Counted as refused until its loss is reported, which balances ``forget``.
        del self._channels[victim]
        self._refused += 1
        victim.drop()
        return True

    def _is_slow(self, channel: LimitedChannel) -> bool:
        since = channel.receiving_since
        return since is not None and self.now - since >= MIN_RECEIVING_BEFORE_EVICTION_S

    def _make_channel(self) -> LimitedChannel:
        return LimitedChannel(self._limits, self)


def make_site(*interfaces: tuple[Router, object], limits: HttpLimits = DEFAULT_LIMITS) -> Any:
    """Makes a twisted site over ``(router, interface)`` pairs."""
    return LimitedSite(JsonResource(*interfaces), limits)


def _error(status: int, message: str, step: str, peer: str = "caller") -> Reply:
    return Reply(status, ErrorBody(message, step, peer))


def _query(request: Any) -> dict[str, str]:
    return {
        name.decode("utf-8", "replace"): values[-1].decode("utf-8", "replace")
        for name, values in request.args.items()
    }


def _write(request: Any, reply: Reply) -> None:
    body = reply.body if isinstance(reply.body, bytes) else msgspec.json.encode(reply.body)
    request.setResponseCode(reply.status)
    request.setHeader("Content-Type", "application/json")
    request.setHeader("Content-Length", str(len(body)))
    for name, value in reply.headers.items():
        request.setHeader(name, value)
    request.write(body)
    request.finish()


def retry_after(retry_after_ms: int) -> dict[str, str]:
    """Makes the ``Retry-After`` header."""
    return {"Retry-After": str(retry_after_seconds(retry_after_ms))}
