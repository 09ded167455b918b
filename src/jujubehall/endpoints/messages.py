"""Messages of the protocol that endpoints speak; docs/PLATFORM.md states it."""

from __future__ import annotations

from typing import Any

import msgspec

from jujubehall.identifiers import RequestId


class Work(msgspec.Struct, frozen=True):
    """A request as sent to an endpoint, which runs it within ``deadline_ms`` milliseconds."""

    id: RequestId
    kind: str
    payload: Any
    deadline_ms: int


class WorkDone(msgspec.Struct, frozen=True):
    """The whole answer of an endpoint; ``id`` repeats the identifier of the request."""

    id: RequestId
    result: Any


class WorkRefused(msgspec.Struct, frozen=True):
    """An endpoint's statement that it did not run the request, and why."""

    id: RequestId
    leaving: bool = False
    busy: bool = False
