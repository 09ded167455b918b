from __future__ import annotations

from itertools import permutations

import pytest

from jujubehall.core.connections.closing_order import SMALL_REQUEST_BYTES
from jujubehall.core.connections.closing_order import UNREAD_RESPONSE_GRACE_MS
from jujubehall.core.connections.closing_order import OpenConnection
from jujubehall.core.connections.closing_order import Phase
from jujubehall.core.connections.closing_order import choose_closed
from jujubehall.core.connections.closing_order import memory_limit

KIB = 1024
NOW_MS = 50_000


def connection(
    key: str, phase: Phase, used_bytes: int = 100 * KIB, age_ms: int = 5_000
) -> OpenConnection[str]:
    return OpenConnection(key, phase, used_bytes, NOW_MS - age_ms)


def test_requests_being_handled_and_idle_connections_are_never_closed() -> None:
    connections = [connection("handling", Phase.HANDLING), connection("idle", Phase.IDLE)]
    assert choose_closed(connections, 1_000 * KIB, NOW_MS) == []


def test_order_does_not_depend_on_the_order_of_the_connections() -> None:
    connections = [
        connection("unread", Phase.SENDING, 20 * KIB),
        connection("large", Phase.RECEIVING, 200 * KIB),
        connection("older", Phase.RECEIVING, 100 * KIB, age_ms=6_000),
        connection("newer", Phase.RECEIVING, 100 * KIB),
        connection("small", Phase.RECEIVING, 20 * KIB, age_ms=9_000),
    ]
    for order in permutations(connections):
        chosen = choose_closed(order, 1_000 * KIB, NOW_MS)
        assert chosen == ["unread", "large", "older", "newer", "small"]


def test_no_more_are_closed_than_needed() -> None:
    connections = [connection(str(number), Phase.RECEIVING) for number in range(10)]
    assert len(choose_closed(connections, 100 * KIB, NOW_MS)) == 1
    assert len(choose_closed(connections, 101 * KIB, NOW_MS)) == 2
    assert choose_closed(connections, 0, NOW_MS) == []


@pytest.mark.parametrize("age_ms", [0, UNREAD_RESPONSE_GRACE_MS - 1])
def test_response_on_its_way_is_spared(age_ms: int) -> None:
    connections = [connection("sending", Phase.SENDING, age_ms=age_ms)]
    assert choose_closed(connections, 1_000 * KIB, NOW_MS) == []


def test_large_requests_leave_room_for_small_ones() -> None:
    limit_bytes = 40 * 1024 * KIB
    assert memory_limit(limit_bytes, SMALL_REQUEST_BYTES) == limit_bytes
    assert memory_limit(limit_bytes, SMALL_REQUEST_BYTES + 1) == limit_bytes * 3 // 4
