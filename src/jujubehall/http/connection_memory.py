"""Accounts for the memory of all HTTP connections and closes some when it is used up."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import structlog

from jujubehall.clock import MS_PER_SECOND
from jujubehall.core.connections.closing_order import TARGET_SHARE
from jujubehall.core.connections.closing_order import OpenConnection
from jujubehall.core.connections.closing_order import Phase
from jujubehall.core.connections.closing_order import choose_closed
from jujubehall.core.connections.closing_order import memory_limit
from jujubehall.metrics import HTTP_CONNECTION_MEMORY
from jujubehall.metrics import HTTP_CONNECTIONS_SHED

if TYPE_CHECKING:
    from jujubehall.clock import Reactor

RELIEF_LOG_INTERVAL_MS = 1_000

log = structlog.get_logger()


class MemoryUser(Protocol):
    """A connection, or a request that is being handled, whose memory is accounted for."""

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""

    @property
    def phase_since_ms(self) -> int:
        """Reactor time at which the phase began."""

    def measure_bytes(self) -> int:
        """Returns the memory that is in use now."""

    def shed(self) -> None:
        """Refuses the incomplete request, or closes the connection if there is none."""


class ConnectionMemory:
    """Memory used by the connections of a process, of at most ``limit_bytes``."""

    def __init__(self, reactor: Reactor, limit_bytes: int) -> None:
        self._reactor = reactor
        self._limit_bytes = limit_bytes
        self._used_by: dict[Any, int] = {}
        self._used_bytes = 0
        self._logged_ms: int | None = None

    @property
    def used_bytes(self) -> int:
        """Memory of all connections, as they last reported it."""
        return self._used_bytes

    def update(self, connection: MemoryUser, used_bytes: int) -> None:
        """Records what a connection uses; may close connections, this one included."""
        growth = self._record(connection, used_bytes)
        if growth <= 0 or self._make_room(used_bytes):
            return
        if connection.phase is Phase.RECEIVING:
            self._shed(connection)

    def reserve(self, user: MemoryUser, used_bytes: int) -> bool:
        """Reserves the memory to handle a request; returns False if there is none."""
        self._record(user, used_bytes)
        if self._make_room(used_bytes):
            return True
        self.remove(user)
        return False

    def remove(self, user: MemoryUser) -> None:
        """Forgets a closed connection or a request that has been handled."""
        self._used_bytes -= self._used_by.pop(user, 0)

    def _record(self, connection: MemoryUser, used_bytes: int) -> int:
        growth = used_bytes - self._used_by.get(connection, 0)
        self._used_by[connection] = used_bytes
        self._used_bytes += growth
        return growth

    def _make_room(self, used_bytes: int) -> bool:
        """Closes connections if needed; returns whether ``used_bytes`` of one of them have room."""
        limit_bytes = memory_limit(self._limit_bytes, used_bytes)
        if self._used_bytes <= limit_bytes:
            return True
        for each in list(self._used_by):
            self._record(each, each.measure_bytes())
        if self._used_bytes <= limit_bytes:
            return True
        now_ms = int(self._reactor.seconds() * MS_PER_SECOND)
        states = [
            OpenConnection(each, each.phase, each_bytes, each.phase_since_ms)
            for each, each_bytes in self._used_by.items()
        ]
        excess_bytes = self._used_bytes - int(limit_bytes * TARGET_SHARE)
        chosen = choose_closed(states, excess_bytes, now_ms)
        for each in chosen:
            self._shed(each)
        self._log_relief(len(chosen), now_ms)
        return self._used_bytes <= limit_bytes

    def _shed(self, connection: MemoryUser) -> None:
        HTTP_CONNECTIONS_SHED.inc({"phase": connection.phase.value})
        connection.shed()
        if connection in self._used_by:
            self._record(connection, connection.measure_bytes())
        HTTP_CONNECTION_MEMORY.set({}, self._used_bytes)

    def _log_relief(self, closed: int, now_ms: int) -> None:
        if self._logged_ms is None or now_ms - self._logged_ms >= RELIEF_LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            log.warning(
                "connections closed for memory",
                closed=closed,
                connections=len(self._used_by),
                used_bytes=self._used_bytes,
                limit_bytes=self._limit_bytes,
            )
