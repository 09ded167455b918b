"""Serves the routes of one or more interfaces by ``twisted.web``."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import unquote

import msgspec
import structlog

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Request
from twisted.web.server import Site

from jujubehall.clock import MS_PER_SECOND
from jujubehall.http.router import Call
from jujubehall.http.router import Reply

if TYPE_CHECKING:
    from jujubehall.http.router import Handler
    from jujubehall.http.router import Route
    from jujubehall.http.router import Router

MAX_BODY_BYTES = 256 * 1024
IDLE_TIMEOUT_S = 60

log = structlog.get_logger()


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of every error answer: what failed, at which step and with which peer."""

    error: str
    step: str
    peer: str
    retry_after_ms: int = 0


class LimitedRequest(Request):
    """Refuses a body over the limit as soon as its declared or received length shows it."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Called by twisted once the headers are read; ``length`` is None if chunked."""
        self._received_bytes = 0
        self._too_large = length is not None and length > MAX_BODY_BYTES
        super().gotLength(0 if self._too_large else length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Called by twisted for each received part of the body; drops what is over the limit."""
        self._received_bytes += len(data)
        if self._received_bytes > MAX_BODY_BYTES:
            self._too_large = True
        if not self._too_large:
            super().handleContentChunk(data)

    @property
    def is_too_large(self) -> bool:
        """Whether the body exceeded the limit."""
        return self._too_large


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
        if not closed:
            _write(request, reply)

    async def _reply(self, request: Any) -> Reply:
        if request.is_too_large:
            return _error(413, f"the body is over {MAX_BODY_BYTES} bytes", "read body")
        path = unquote(request.path.decode("ascii", "replace"))
        method = request.method.decode("ascii", "replace")
        found = self._find(method, path)
        if isinstance(found, Reply):
            return found
        handler, interface, parameters = found
        call = Call(method, path, parameters, _query(request), request.content.read())
        try:
            return await handler(interface, call)
        except msgspec.DecodeError as error:
            return _error(400, str(error), "decode body")
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
                return route.handler, interface, match.groupdict()
            allowed.append(route.method)
        if allowed:
            refusal = _error(405, f"{method} is not allowed for {path}", "route")
            return Reply(405, refusal.body, {"Allow": ", ".join(sorted(allowed))})
        return _error(404, f"{path} does not exist", "route")


def make_site(*interfaces: tuple[Router, object]) -> Site:
    """Makes a twisted site over ``(router, interface)`` pairs."""
    return Site(JsonResource(*interfaces), requestFactory=LimitedRequest, timeout=IDLE_TIMEOUT_S)


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
    for name, value in reply.headers.items():
        request.setHeader(name, value)
    request.write(body)
    request.finish()


def retry_after(retry_after_ms: int) -> dict[str, str]:
    """Makes the ``Retry-After`` header, which counts whole seconds, rounded up."""
    return {"Retry-After": str(max(1, math.ceil(retry_after_ms / MS_PER_SECOND)))}
