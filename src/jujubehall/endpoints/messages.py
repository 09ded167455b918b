"""Messages of the endpoints' protocol, which docs/PLATFORM.md specifies."""

from __future__ import annotations

from typing import Any

import msgspec

from jujubehall.identifiers import RequestId


class EndpointRequest(msgspec.Struct, frozen=True):
    """A request to an endpoint, which has to run it within ``deadline_ms`` milliseconds."""

    id: RequestId
    kind: str
    payload: Any
    deadline_ms: int


class EndpointResponse(msgspec.Struct, frozen=True):
    """The complete response of an endpoint; ``id`` is the identifier of the request."""

    id: RequestId
    result: Any


class EndpointRefusal(msgspec.Struct, frozen=True):
    """The response of an endpoint that did not run the request, with the reason."""

    id: RequestId
    leaving: bool = False
    busy: bool = False
