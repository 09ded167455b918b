"""A local copy of the platform's keys under one prefix, kept by a single watch."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok

from jujubehall.errors import FailureKind
from jujubehall.identifiers import Version
from jujubehall.platform.entry import Entry
from jujubehall.services.timing import BackOff
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from result import Result

    from jujubehall.clock import Reactor
    from jujubehall.errors import Failure
    from jujubehall.platform.interface import Platform

STATE_PREFIX = "state/"


class StateCache:
    """Follows ``STATE_PREFIX``; during an outage it keeps the last known state.

    One waiting watch per entry host serves every reader, because the platform counts each
    waiting watch as a call.
    """

    def __init__(self, reactor: Reactor, platform: Platform, random: Random) -> None:
        self._reactor = reactor
        self._platform = platform
        self._back_off = BackOff(random)
        self._entries: dict[str, Entry] = {}
        self._decoded: dict[str, tuple[Version, Any]] = {}
        self._revision = 0
        self._loaded = False
        self._needs_load = True
        self._connected = False
        self._running = True
        self._listeners: list[tuple[str, Callable[[Entry], None]]] = []

    @property
    def is_loaded(self) -> bool:
        """Whether the state was read at least once since the start."""
        return self._loaded

    @property
    def is_connected(self) -> bool:
        """Whether the last call to the platform succeeded."""
        return self._connected

    def version(self, key: str) -> Version:
        """The version of a key, 0 if it is absent."""
        entry = self._entries.get(key)
        return entry.version if entry else Version(0)

    def read(self, key: str, type_: type[Any]) -> Any | None:
        """The value of a key as ``type_``, or None if it is absent."""
        entry = self._entries.get(key)
        return self._decode(entry, type_) if entry else None

    def read_all(self, prefix: str, type_: type[Any]) -> list[Any]:
        """The values of all keys under ``prefix``, as ``type_``, ordered by key."""
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return [self._decode(self._entries[key], type_) for key in keys]

    def listen(self, prefix: str, listener: Callable[[Entry], None]) -> None:
        """Calls ``listener`` with each later change under ``prefix``."""
        self._listeners.append((prefix, listener))

    def stop(self) -> None:
        """Ends the following after the call in progress."""
        self._running = False

    async def run(self) -> None:
        """Follows the prefix until stopped."""
        while self._running:
            step = self._load() if self._needs_load else self._follow()
            if await step:
                self._back_off.reset()
            else:
                await sleep(self._reactor, self._back_off.next_ms())

    async def put(
        self, key: str, value: Any, expected_version: Version, lease: str = ""
    ) -> Result[Version, Failure]:
        """Writes a key of the prefix by compare-and-swap; a success is seen here at once.

        ``value`` may be a struct. After a lost race the later state is read before returning.
        """
        plain = msgspec.to_builtins(value)
        written = await self._platform.put(key, plain, expected_version, lease)
        if isinstance(written, Ok):
            self.apply(Entry(key, plain, written.ok_value))
        elif written.err_value.kind in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
            await self._load()
        return written

    async def refresh(self) -> bool:
        """Reads the whole prefix now; for the settling of a lost race or a lost answer."""
        return await self._load()

    def apply(self, entry: Entry) -> None:
        """Takes over one entry, learned from the platform, unless a later one is known."""
        known = self._entries.get(entry.key)
        if known is not None and known.version >= entry.version:
            return
        if entry.deleted:
            self._entries.pop(entry.key, None)
        else:
            self._entries[entry.key] = entry
        self._notify(entry)

    def _decode(self, entry: Entry, type_: type[Any]) -> Any:
        # Values are read far more often than they change.
        decoded = self._decoded.get(entry.key)
        if decoded is None or decoded[0] != entry.version:
            decoded = (entry.version, msgspec.convert(entry.value, type_))
            self._decoded[entry.key] = decoded
        return decoded[1]

    async def _load(self) -> bool:
        listed = await self._platform.list_entries(STATE_PREFIX)
        self._connected = isinstance(listed, Ok)
        if isinstance(listed, Err):
            return False
        changes = listed.ok_value
        if changes.revision < self._revision:
            # A stale read, or one overtaken by a watch: the state never goes backwards.
            return True
        present = {entry.key for entry in changes.entries}
        for key in [key for key in self._entries if key not in present]:
            self._forget(key, changes.revision)
        for entry in changes.entries:
            self.apply(entry)
        self._revision = changes.revision
        self._loaded = True
        self._needs_load = False
        return True

    def _forget(self, key: str, revision: int) -> None:
        known = self._entries[key]
        if known.version <= revision:
            gone = msgspec.structs.replace(
                known, value=None, version=Version(revision), deleted=True
            )
            del self._entries[key]
            self._notify(gone)

    async def _follow(self) -> bool:
        watched = await self._platform.watch(STATE_PREFIX, self._revision)
        self._connected = isinstance(watched, Ok)
        if isinstance(watched, Err):
            self._needs_load = True
            return False
        changes = watched.ok_value
        for entry in changes.entries:
            self.apply(entry)
        self._revision = max(self._revision, changes.revision)
        return True

    def _notify(self, entry: Entry) -> None:
        if entry.deleted:
            self._decoded.pop(entry.key, None)
        for prefix, listener in self._listeners:
            if entry.key.startswith(prefix):
                listener(entry)
