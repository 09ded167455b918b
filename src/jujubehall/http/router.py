"""HTTP request routing; handlers are registered by a decorator."""

from __future__ import annotations

import re

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec

from jujubehall.decoding import decode_json


class HttpRequest(msgspec.Struct, frozen=True):
    """Received HTTP request with its path and query parameters decoded and the body raw."""

    method: str
    path: str
    parameters: dict[str, str]
    query: dict[str, str]
    body: bytes

    def decode(self, type_: type[Any]) -> Any:
        """Decodes the JSON body as ``type_``.

        Raises ``msgspec.DecodeError`` for malformed JSON and its subclass
        ``msgspec.ValidationError``, which names the path of the invalid value, for a wrong type.
        """
        return decode_json(self.body, type_)


class HttpResponse(msgspec.Struct, frozen=True):
    """HTTP response of a handler; ``body`` is encoded as JSON unless it is ``bytes``."""

    status: int
    body: object = None
    headers: dict[str, str] = {}


Handler = Callable[..., Awaitable[HttpResponse]]


class Route(msgspec.Struct, frozen=True):
    """Maps an HTTP method and a path pattern to a handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


class Router:
    """Holds the routes of an interface class.

    Handlers are methods of that class, registered by a decorator:

        routes = Router()

        class Interface:
            @routes.register("GET", "/v1/jobs/{job}")
            async def show(self, call: HttpRequest) -> HttpResponse: ...
    """

    def __init__(self) -> None:
        self._routes: list[Route] = []

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes in order of registration."""
        return tuple(self._routes)

    def register(self, method: str, template: str) -> Callable[[Handler], Handler]:
        """Registers the decorated handler for ``method`` and the path ``template``.

        ``{name}`` matches one path segment, ``{name*}`` the rest of the path.
        """
        pattern = _compile_template(template)

        def decorate(handler: Handler) -> Handler:
            self._routes.append(Route(method, pattern, handler))
            return handler

        return decorate


def _compile_template(template: str) -> re.Pattern[str]:
    rest_expanded = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.+)", template)
    return re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", rest_expanded))
