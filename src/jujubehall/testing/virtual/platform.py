"""The platform as one entry host of a virtual site sees it."""

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
from jujubehall.services.timing import sleep
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
    """Implements ``jujubehall.platform.interface.Platform`` over a store shared by all hosts."""

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
        """How long each write of this host takes on its way, beside the network's delay."""

    @property
    def _read_store(self) -> KeyValueStore:
        return self._replica or self._store

    def read_from(self, replica: KeyValueStore | None) -> None:
        """Serves reads and watches from a lagging replica from now on; None ends that."""
        self._replica = replica

    async def get(self, key: str) -> Result[Entry, Failure]:
        """Reads one key."""
        return await self._call("get", lambda: self._read_store.get(key))

    async def list_entries(self, prefix: str) -> Result[Changes, Failure]:
        """Reads all keys under a prefix."""
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
        """Waits for changes under a prefix."""
        self.calls["watch"] = self.calls.get("watch", 0) + 1
        give_up_at_s = self._reactor.seconds() + to_seconds(wait_ms)
        while True:
            answered = await self._carry_out(
                "watch", lambda: Ok(self._read_store.changes(prefix, after_revision))
            )
            if isinstance(answered, Err) or answered.ok_value.entries:
                return answered
            if self._reactor.seconds() >= give_up_at_s:
                return answered
            await self._next_write()

    def _next_write(self) -> Deferred[None]:
        written: Deferred[None] = Deferred()

        def wake() -> None:
            if not written.called:
                written.callback(None)

        self._store.on_next_write(lambda: self._reactor.callLater(0, wake))
        self._reactor.callLater(to_seconds(OUTAGE_CHECK_INTERVAL_MS), wake)
        return written

    async def grant_lease(self, ttl_ms: int) -> Result[str, Failure]:
        """Grants a lease."""
        return await self._write("grant lease", lambda: Ok(self._store.grant_lease(ttl_ms)))

    async def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Renews a lease."""
        return await self._write("renew lease", lambda: self._store.renew_lease(lease))

    async def revoke_lease(self, lease: str) -> Result[None, Failure]:
        """Revokes a lease."""
        return await self._write(
            "revoke lease", lambda: Ok(self._store.revoke_lease(lease))  # type: ignore[func-returns-value]
        )

    async def hosts(self) -> Result[list[Host], Failure]:
        """Reads the lagging list of hosts."""
        return await self._call("list hosts", lambda: Ok(self._hosts()))

    async def _write(
        self, step: str, operation: Callable[[], Result[Any, Failure]]
    ) -> Result[Any, Failure]:
        if self.write_delay_ms:
            await sleep(self._reactor, self.write_delay_ms)
        answered = await self._call(step, operation)
        if isinstance(answered, Ok) and self._network.loses_answer():
            return await self._time_out(step, CALL_TIMEOUT_MS)
        return answered

    async def _call(
        self, step: str, operation: Callable[[], Result[Any, Failure]]
    ) -> Result[Any, Failure]:
        self.calls[step] = self.calls.get(step, 0) + 1
        return await self._carry_out(step, operation)

    async def _carry_out(
        self, step: str, operation: Callable[[], Result[Any, Failure]]
    ) -> Result[Any, Failure]:
        delay_ms = self._network.platform_call_delay_ms()
        if self._network.is_cut(self._host, PLATFORM) or delay_ms >= CALL_TIMEOUT_MS:
            return await self._time_out(step, CALL_TIMEOUT_MS)
        await sleep(self._reactor, delay_ms)
        if self._network.platform_down:
            return Err(Failure(FailureKind.UNAVAILABLE, step, PLATFORM, "down"))
        answer = operation()
        await sleep(self._reactor, self._network.delay_ms())
        if self._network.is_cut(self._host, PLATFORM):
            return await self._time_out(step, CALL_TIMEOUT_MS)
        return answer

    async def _time_out(self, step: str, timeout_ms: int) -> Result[Any, Failure]:
        await sleep(self._reactor, timeout_ms)
        return Err(Failure(FailureKind.NO_ANSWER, step, PLATFORM, "timed out"))
