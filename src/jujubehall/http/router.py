"""Routes of an HTTP interface, kept in a registry that decorators fill."""

from __future__ import annotations

import re

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec


class Call(msgspec.Struct, frozen=True):
    """A received HTTP request, decoded as far as every handler needs it."""

    method: str
    path: str
    parameters: dict[str, str]
    query: dict[str, str]
    body: bytes

    def decode(self, type_: type[Any]) -> Any:
        """Decodes the JSON body, raising ``msgspec.ValidationError`` with the path of a fault."""
        return msgspec.json.decode(self.body, type=type_)


class Reply(msgspec.Struct, frozen=True):
    """What a handler answers; ``body`` is encoded as JSON unless it is already bytes."""

    status: int
    body: object = None
    headers: dict[str, str] = {}


Handler = Callable[..., Awaitable[Reply]]


class Route(msgspec.Struct, frozen=True):
    """One method and path pattern with the handler that serves it."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


class Router:
    """Finds the handler of a method and path.

    Handlers are methods of an interface class; a decorator registers each of them:

        routes = Router()

        class Interface:
            @routes.register("GET", "/v1/jobs/{job}")
            async def show(self, call: Call) -> Reply: ...
    """

    def __init__(self) -> None:
        self._routes: list[Route] = []

    @property
    def routes(self) -> tuple[Route, ...]:
        """The registered routes, in order of registration."""
        return tuple(self._routes)

    def register(self, method: str, template: str) -> Callable[[Handler], Handler]:
        """Registers the decorated handler for ``method`` and the path ``template``.

        ``{name}`` stands for one path segment, ``{name*}`` for the rest of the path.
        """
        pattern = _compile(template)

        def decorate(handler: Handler) -> Handler:
            self._routes.append(Route(method, pattern, handler))
            return handler

        return decorate


def _compile(template: str) -> re.Pattern[str]:
    whole_rest = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.+)", template)
    return re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", whole_rest))
