"""Simulated platform client of one entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.platform.client import CALL_TIMEOUT_MS
from jujubehall.platform.interface import WATCH_WAIT_MS
from jujubehall.services.async_utils import sleep
from jujubehall.testing.virtual.network import PLATFORM

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.identifiers import Version
    from jujubehall.platform.entry import Changes
    from jujubehall.platform.entry import Entry
    from jujubehall.platform.host import Host
    from jujubehall.testing.key_value_store import KeyValueStore
    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.network import Network

OUTAGE_CHECK_INTERVAL_MS = 1_000


class VirtualPlatform:
    """Implements ``jujubehall.platform.interface.Platform`` for one entry host.

    All hosts share ``store``. ``hosts`` returns the host list. ``calls`` counts the calls by kind.
    """

    def __init__(
        self,
        reactor: HostReactor,
        network: Network,
        host: str,
        store: KeyValueStore,
        hosts: Callable[[], list[Host]],
    ) -> None:
        self._reactor = reactor
        self._network = network
        self._host = host
        self._store = store
        self._replica: KeyValueStore | None = None
        self._hosts = hosts
        self.calls: dict[str, int] = {}
        self.write_delay_ms = 0
        """Delay of each write of this host in milliseconds, in addition to the network latency."""

    @property
    def _read_store(self) -> KeyValueStore:
        return self._replica or self._store

    def read_from_replica(self, replica: KeyValueStore | None) -> None:
        """Serves reads and watches from a stale replica; None restores reads from the store."""
        self._replica = replica

    async def get(self, key: str) -> Result[Entry, Failure]:
        """Returns the entry of one key."""
        return await self._call("get", lambda: self._read_store.get(key))

    async def list_entries(self, prefix: str) -> Result[Changes, Failure]:
        """Returns the entries under a prefix."""
        return await self._call("list", lambda: Ok(self._read_store.list_entries(prefix)))

    async def put(
        self, key: str, value: Any, expected_version: Version, lease: str = ""
    ) -> Result[Version, Failure]:
        """Writes one key by compare-and-swap."""
        encoded = msgspec.json.encode(value)
        return await self._write(
            "put",
            lambda: self._store.put(key, msgspec.json.decode(encoded), expected_version, lease),
        )

    async def delete(self, key: str, expected_version: Version) -> Result[None, Failure]:
        """Deletes one key by compare-and-swap."""
        return await self._write("delete", lambda: self._store.delete(key, expected_version))

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int = WATCH_WAIT_MS
    ) -> Result[Changes, Failure]:
        """Waits up to ``wait_ms`` for changes under a prefix and returns them."""
        self.calls["watch"] = self.calls.get("watch", 0) + 1
        deadline_s = self._reactor.seconds() + to_seconds(wait_ms)
        while True:
            result = await self._execute(
                "watch", lambda: Ok(self._read_store.changes(prefix, after_revision))
            )
            if isinstance(result, Err) or result.ok_value.entries:
                return result
            if self._reactor.seconds() >= deadline_s:
                return result
            await self._wait_for_write()

    def _wait_for_write(self) -> Deferred[None]:
        written: Deferred[None] = Deferred()

        def wake() -> None:
            if not written.called:
                written.callback(None)

        self._store.on_next_write(lambda: self._reactor.callLater(0, wake))
        self._reactor.callLater(to_seconds(OUTAGE_CHECK_INTERVAL_MS), wake)
        return written

    async def grant_lease(self, ttl_ms: int) -> Result[str, Failure]:
        """Grants a lease and returns its identifier."""
        return await self._write("grant lease", lambda: Ok(self._store.grant_lease(ttl_ms)))

    async def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Restarts the TTL of a lease."""
        return await self._write("renew lease", lambda: self._store.renew_lease(lease))

    async def revoke_lease(self, lease: str) -> Result[None, Failure]:
        """Revokes a lease, which deletes its keys."""
        return await self._write(
            "revoke lease", lambda: Ok(self._store.revoke_lease(lease))  # type: ignore[func-returns-value]
        )

    async def hosts(self) -> Result[list[Host], Failure]:
        """Returns the host list, which may be out of date."""
        return await self._call("list hosts", lambda: Ok(self._hosts()))

    async def _write(
        self, step: str, operation: Callable[[], Result[Any, Failure]]
    ) -> Result[Any, Failure]:
        if self.write_delay_ms:
            await sleep(self._reactor, self.write_delay_ms)
        result = await self._call(step, operation)
        if isinstance(result, Ok) and self._network.loses_response():
            return await self._time_out(step, CALL_TIMEOUT_MS)
        return result

    async def _call(
        self, step: str, operation: Callable[[], Result[Any, Failure]]
    ) -> Result[Any, Failure]:
        self.calls[step] = self.calls.get(step, 0) + 1
        return await self._execute(step, operation)

    async def _execute(
        self, step: str, operation: Callable[[], Result[Any, Failure]]
    ) -> Result[Any, Failure]:
        delay_ms = self._network.platform_call_delay_ms()
        if self._network.is_disconnected(self._host, PLATFORM) or delay_ms >= CALL_TIMEOUT_MS:
            return await self._time_out(step, CALL_TIMEOUT_MS)
        await sleep(self._reactor, delay_ms)
        if self._network.is_platform_down:
            return Err(Failure(FailureKind.UNAVAILABLE, step, PLATFORM, "down"))
        result = operation()
        await sleep(self._reactor, self._network.random_latency_ms())
        if self._network.is_disconnected(self._host, PLATFORM):
            return await self._time_out(step, CALL_TIMEOUT_MS)
        return result

    async def _time_out(self, step: str, timeout_ms: int) -> Result[Any, Failure]:
        await sleep(self._reactor, timeout_ms)
        return Err(Failure(FailureKind.NO_ANSWER, step, PLATFORM, "timed out"))
