"""Which connections to close when all of them together use too much memory.

The load that this answers: a crowd of clients that send large requests without completing them, or
that don't read their responses. Ordinary requests are small and complete soon, so the connections
that use most are closed first and small requests are spared.

A connection whose request is being handled is never closed: the request may already have taken
effect. A request that is refused here has not been handled at all, so that its caller may be told
that it has not run.
"""

from __future__ import annotations

from enum import Enum
from operator import attrgetter
from typing import TYPE_CHECKING
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

KIB = 1024

SMALL_REQUEST_BYTES = 64 * KIB
"""Requests up to this size may use all of the memory, larger ones only a part of it."""

LARGE_REQUESTS_SHARE = 0.75
TARGET_SHARE = 0.875
"""Memory is freed down to this share of the limit, so that the next bytes find room."""

UNREAD_RESPONSE_GRACE_MS = 1_000
"""A response that has been unsent for less time is on its way to a client that reads it."""

K = TypeVar("K")


class Phase(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    """The request is incomplete."""

    HANDLING = "handling"
    SENDING = "sending"
    """A response is not yet sent and no request is being received or handled."""


class OpenConnection(NamedTuple, Generic[K]):
    """A connection with the memory that it uses and the time since it is in its phase."""

    key: K
    phase: Phase
    used_bytes: int
    since_ms: int


def memory_limit(limit_bytes: int, used_bytes: int) -> int:
    """Returns the limit of all connections that applies to a connection that uses ``used_bytes``.

    The rest is left for small requests, so that they find room beside any number of large ones.
    """
    if used_bytes <= SMALL_REQUEST_BYTES:
        return limit_bytes
    return int(limit_bytes * LARGE_REQUESTS_SHARE)


def choose_closed(
    connections: Iterable[OpenConnection[K]], excess_bytes: int, now_ms: int
) -> list[K]:
    """Returns the connections to close so that ``excess_bytes`` become free.

    First come those whose client does not read its responses, then the incomplete requests, in each
    case the largest first. The result frees less if all other connections are in use.
    """
    candidates = [each for each in connections if _may_close(each, now_ms)]
    # Sorts are stable: the last one decides first.
    candidates.sort(key=attrgetter("since_ms"))
    candidates.sort(key=attrgetter("used_bytes"), reverse=True)
    candidates.sort(key=lambda each: each.phase is not Phase.SENDING)
    chosen: list[K] = []
    for each in candidates:
        if excess_bytes <= 0:
            break
        chosen.append(each.key)
        excess_bytes -= each.used_bytes
    return chosen


def _may_close(connection: OpenConnection[K], now_ms: int) -> bool:
    if connection.phase is Phase.SENDING:
        return now_ms - connection.since_ms >= UNREAD_RESPONSE_GRACE_MS
    return connection.phase is Phase.RECEIVING
