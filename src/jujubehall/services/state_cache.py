"""A local copy of the platform's keys under one prefix, kept by a single watch."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok

from jujubehall.clock import MS_PER_SECOND
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Version
from jujubehall.platform.entry import Entry
from jujubehall.platform.interface import WATCH_WAIT_MS
from jujubehall.services.timing import BackOff
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from random import Random

    from result import Result

    from jujubehall.clock import Reactor
    from jujubehall.errors import Failure
    from jujubehall.platform.interface import Platform

STATE_PREFIX = "state/"
MIN_WATCH_INTERVAL_MS = 50

_REVISION_UNKNOWN = (FailureKind.NOT_FOUND, FailureKind.CONFLICT, FailureKind.INVALID)


class _Kept(msgspec.Struct, frozen=True):
    """A value as JSON, and the version that the last write gave it."""

    content: bytes
    version: Version


class StateCache:
    """Follows ``STATE_PREFIX``; during an outage it keeps the last known state.

    One waiting watch per entry host serves every reader, because the platform counts each
    waiting watch as a call.
    """

    def __init__(self, reactor: Reactor, platform: Platform, random: Random) -> None:
        self._reactor = reactor
        self._platform = platform
        self._back_off = BackOff(random)
        self._entries: dict[str, _Kept] = {}
        self._folders: dict[str, set[str]] = {}
        self._decoded: dict[str, tuple[Version, Any]] = {}
        self._lists: dict[tuple[str, type[Any]], list[Any]] = {}
        self._revision = 0
        self._is_catching_up = False
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

    def entry(self, key: str) -> Entry | None:
        """A key as the platform holds it, undecoded, or None if it is absent."""
        kept = self._entries.get(key)
        return Entry(key, msgspec.json.decode(kept.content), kept.version) if kept else None

    def version(self, key: str) -> Version:
        """The version of a key, 0 if it is absent."""
        entry = self._entries.get(key)
        return entry.version if entry else Version(0)

    def read(self, key: str, type_: type[Any]) -> Any | None:
        """The value of a key as ``type_``, or None if it is absent."""
        kept = self._entries.get(key)
        return self._decode(key, kept, type_) if kept else None

    def read_all(self, prefix: str, type_: type[Any]) -> list[Any]:
        """The values of all keys under ``prefix``, as ``type_``, ordered by key."""
        known = self._lists.get((prefix, type_))
        if known is None:
            keys = sorted(key for key in self._keys_near(prefix) if key.startswith(prefix))
            known = [self._decode(key, self._entries[key], type_) for key in keys]
            self._lists[prefix, type_] = known
        return list(known)

    def listen(self, prefix: str, listener: Callable[[Entry], None]) -> None:
        """Calls ``listener`` with each later change under ``prefix``."""
        self._listeners.append((prefix, listener))

    def stop(self) -> None:
        """Ends the following after the call in progress."""
        self._running = False

    async def run(self) -> None:
        """Follows the prefix until stopped."""
        while self._running:
            started_at_s = self._reactor.seconds()
            step = self._load() if self._needs_load else self._follow()
            if await step:
                self._back_off.reset()
                await self._pause(started_at_s)
            else:
                await sleep(self._reactor, self._back_off.next_ms())

    async def put(
        self, key: str, value: Any, expected_version: Version, lease: str = ""
    ) -> Result[Version, Failure]:
        """Writes a key of the prefix by compare-and-swap; a success is seen here at once.

        ``value`` may be a struct. After a lost race or a lost answer, what the key holds is read
        before returning.
        """
        plain = msgspec.to_builtins(value)
        written = await self._platform.put(key, plain, expected_version, lease)
        if isinstance(written, Ok):
            self.apply(Entry(key, plain, written.ok_value))
        elif written.err_value.kind in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
            await self.refresh_key(key)
        return written

    async def refresh(self) -> bool:
        """Reads the whole prefix now; returns whether the platform answered."""
        return await self._load()

    async def refresh_key(self, key: str) -> bool:
        """Reads one key now; returns whether the platform answered."""
        found = await self._platform.get(key)
        if isinstance(found, Ok):
            self.apply(found.ok_value)
            return True
        # That the key is gone will show in the watch, which a stale read can't mislead.
        return found.err_value.kind is FailureKind.NOT_FOUND

    def apply(self, entry: Entry) -> None:
        """Takes over one entry, learned from the platform, unless a later one is known."""
        known = self._entries.get(entry.key)
        if known is not None and known.version >= entry.version:
            return
        if entry.deleted:
            self._remove(entry.key)
        else:
            # Encoded, a value takes a fraction of the memory of its maps and lists.
            content = msgspec.json.encode(entry.value)
            self._entries[entry.key] = _Kept(content, entry.version)
            self._folders.setdefault(_folder(entry.key), set()).add(entry.key)
        self._notify(entry)

    def _remove(self, key: str) -> None:
        self._entries.pop(key, None)
        self._folders.get(_folder(key), set()).discard(key)

    def _keys_near(self, prefix: str) -> Iterable[str]:
        # Keys are read by folder nearly always: no need to look at those of all others.
        if prefix.endswith("/") and not any(
            folder.startswith(prefix) for folder in self._folders if folder != prefix
        ):
            return self._folders.get(prefix, ())
        return self._entries

    def _decode(self, key: str, kept: _Kept, type_: type[Any]) -> Any:
        # Values are read far more often than they change.
        decoded = self._decoded.get(key)
        if decoded is None or decoded[0] != kept.version:
            decoded = (kept.version, msgspec.json.decode(kept.content, type=type_))
            self._decoded[key] = decoded
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
            gone = Entry(key, None, Version(revision), deleted=True)
            self._remove(key)
            self._notify(gone)

    async def _follow(self) -> bool:
        # After a failure the first answer must come at once: it ends the outage for the readers.
        wait_ms = 0 if self._is_catching_up else WATCH_WAIT_MS
        watched = await self._platform.watch(STATE_PREFIX, self._revision, wait_ms)
        self._connected = isinstance(watched, Ok)
        self._is_catching_up = isinstance(watched, Err)
        if isinstance(watched, Err):
            # The platform can't tell the changes since our revision: only a full read can.
            self._needs_load = watched.err_value.kind in _REVISION_UNKNOWN
            return False
        changes = watched.ok_value
        for entry in changes.entries:
            self.apply(entry)
        self._revision = max(self._revision, changes.revision)
        return True

    async def _pause(self, started_at_s: float) -> None:
        # Bounds the watches of a burst: the changes of the interval come with the next one.
        elapsed_ms = round((self._reactor.seconds() - started_at_s) * MS_PER_SECOND)
        if elapsed_ms < MIN_WATCH_INTERVAL_MS:
            await sleep(self._reactor, MIN_WATCH_INTERVAL_MS - elapsed_ms)

    def _notify(self, entry: Entry) -> None:
        if entry.deleted:
            self._decoded.pop(entry.key, None)
        for stale in [each for each in self._lists if entry.key.startswith(each[0])]:
            del self._lists[stale]
        for prefix, listener in self._listeners:
            if entry.key.startswith(prefix):
                listener(entry)


def _folder(key: str) -> str:
    return key[: key.rfind("/") + 1]
