"""Caches the platform's keys under one prefix, kept up to date by a single watch."""

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
from jujubehall.services.async_utils import BackOff
from jujubehall.services.async_utils import sleep

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

_RELOAD_FAILURE_KINDS = (FailureKind.NOT_FOUND, FailureKind.CONFLICT, FailureKind.INVALID)
"""Failures of a watch after which the whole prefix must be loaded again."""


class _CachedValue(msgspec.Struct, frozen=True):
    """A value encoded as JSON, and its version in the platform."""

    content: bytes
    version: Version


class StateCache:
    """Mirrors the keys under ``STATE_PREFIX``; keeps the last known state during an outage.

    A single long-polling watch per entry host serves all readers, because the platform counts
    each waiting watch as a call.
    """

    def __init__(self, reactor: Reactor, platform: Platform, random: Random) -> None:
        self._reactor = reactor
        self._platform = platform
        self._back_off = BackOff(random)
        self._entries: dict[str, _CachedValue] = {}
        self._keys_by_folder: dict[str, set[str]] = {}
        self._decoded_values: dict[str, tuple[Version, Any]] = {}
        self._decoded_lists: dict[tuple[str, type[Any]], list[Any]] = {}
        self._revision = 0
        self._is_recovering = False
        self._loaded = False
        self._needs_load = True
        self._connected = False
        self._running = True
        self._listeners: list[tuple[str, Callable[[Entry], None]]] = []

    @property
    def is_loaded(self) -> bool:
        """Whether the state was loaded at least once since this process started."""
        return self._loaded

    @property
    def is_connected(self) -> bool:
        """Whether the last load or watch succeeded."""
        return self._connected

    def entry(self, key: str) -> Entry | None:
        """Returns the entry of a key with its value as plain data, or None if the key is absent."""
        cached = self._entries.get(key)
        return Entry(key, msgspec.json.decode(cached.content), cached.version) if cached else None

    def version(self, key: str) -> Version:
        """Returns the version of a key, or 0 if it is absent."""
        entry = self._entries.get(key)
        return entry.version if entry else Version(0)

    def read(self, key: str, type_: type[Any]) -> Any | None:
        """Returns the value of a key decoded as ``type_``, or None if it is absent."""
        cached = self._entries.get(key)
        return self._decode(key, cached, type_) if cached else None

    def read_all(self, prefix: str, type_: type[Any]) -> list[Any]:
        """Returns the values of all keys under ``prefix`` decoded as ``type_``, ordered by key."""
        known = self._decoded_lists.get((prefix, type_))
        if known is None:
            keys = sorted(key for key in self._candidate_keys(prefix) if key.startswith(prefix))
            known = [self._decode(key, self._entries[key], type_) for key in keys]
            self._decoded_lists[prefix, type_] = known
        return list(known)

    def listen(self, prefix: str, listener: Callable[[Entry], None]) -> None:
        """Calls ``listener`` with each subsequent change under ``prefix``."""
        self._listeners.append((prefix, listener))

    def stop(self) -> None:
        """Stops the watch loop after the call in progress."""
        self._running = False

    async def run(self) -> None:
        """Loads and watches the prefix until stopped."""
        while self._running:
            started_at_s = self._reactor.seconds()
            step = self._load() if self._needs_load else self._watch()
            if await step:
                self._back_off.reset()
                await self._limit_watch_rate(started_at_s)
            else:
                await sleep(self._reactor, self._back_off.next_delay_ms())

    async def put(
        self, key: str, value: Any, expected_version: Version, lease: str = ""
    ) -> Result[Version, Failure]:
        """Writes a key under the prefix by compare-and-swap, and updates the cache on success.

        ``value`` may be a struct. After ``CONFLICT`` or ``NO_ANSWER`` the key is read again
        before this returns.
        """
        plain = msgspec.to_builtins(value)
        written = await self._platform.put(key, plain, expected_version, lease)
        if isinstance(written, Ok):
            self.apply(Entry(key, plain, written.ok_value))
        elif written.err_value.kind in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
            await self.refresh_key(key)
        return written

    async def refresh(self) -> bool:
        """Reloads the whole prefix; returns whether the platform answered."""
        return await self._load()

    async def refresh_key(self, key: str) -> bool:
        """Reloads one key; returns whether the platform answered."""
        found = await self._platform.get(key)
        if isinstance(found, Ok):
            self.apply(found.ok_value)
            return True
        # A missing key isn't removed here, because this read may be stale: the watch reports
        # deletions reliably.
        return found.err_value.kind is FailureKind.NOT_FOUND

    def apply(self, entry: Entry) -> None:
        """Stores an entry that originates from the platform, unless a later version is cached."""
        known = self._entries.get(entry.key)
        if known is not None and known.version >= entry.version:
            return
        if entry.deleted:
            self._remove(entry.key)
        else:
            # The encoded form takes a fraction of the memory of dicts and lists.
            content = msgspec.json.encode(entry.value)
            self._entries[entry.key] = _CachedValue(content, entry.version)
            self._keys_by_folder.setdefault(_folder(entry.key), set()).add(entry.key)
        self._notify(entry)

    def _remove(self, key: str) -> None:
        self._entries.pop(key, None)
        self._keys_by_folder.get(_folder(key), set()).discard(key)

    def _candidate_keys(self, prefix: str) -> Iterable[str]:
        # Most reads are of one whole folder, which the folder index serves without a full scan.
        if prefix.endswith("/") and not any(
            folder.startswith(prefix) for folder in self._keys_by_folder if folder != prefix
        ):
            return self._keys_by_folder.get(prefix, ())
        return self._entries

    def _decode(self, key: str, cached: _CachedValue, type_: type[Any]) -> Any:
        # Decoded values are cached, since they are read far more often than they change.
        decoded = self._decoded_values.get(key)
        if decoded is None or decoded[0] != cached.version:
            decoded = (cached.version, msgspec.json.decode(cached.content, type=type_))
            self._decoded_values[key] = decoded
        return decoded[1]

    async def _load(self) -> bool:
        listed = await self._platform.list_entries(STATE_PREFIX)
        self._connected = isinstance(listed, Ok)
        if isinstance(listed, Err):
            return False
        changes = listed.ok_value
        if changes.revision < self._revision:
            # The read is stale or older than a completed watch: the cache must not go back.
            return True
        present = {entry.key for entry in changes.entries}
        for key in [key for key in self._entries if key not in present]:
            self._remove_absent(key, changes.revision)
        for entry in changes.entries:
            self.apply(entry)
        self._revision = changes.revision
        self._loaded = True
        self._needs_load = False
        return True

    def _remove_absent(self, key: str, revision: int) -> None:
        known = self._entries[key]
        if known.version <= revision:
            deletion = Entry(key, None, Version(revision), deleted=True)
            self._remove(key)
            self._notify(deletion)

    async def _watch(self) -> bool:
        # After a failure the first watch must return immediately, since its success marks the end
        # of the outage for readers.
        wait_ms = 0 if self._is_recovering else WATCH_WAIT_MS
        watched = await self._platform.watch(STATE_PREFIX, self._revision, wait_ms)
        self._connected = isinstance(watched, Ok)
        self._is_recovering = isinstance(watched, Err)
        if isinstance(watched, Err):
            # The platform can't list the changes since this revision: a full load is needed.
            self._needs_load = watched.err_value.kind in _RELOAD_FAILURE_KINDS
            return False
        changes = watched.ok_value
        for entry in changes.entries:
            self.apply(entry)
        self._revision = max(self._revision, changes.revision)
        return True

    async def _limit_watch_rate(self, started_at_s: float) -> None:
        # During a burst of changes, those within the interval are returned together by the next
        # watch.
        elapsed_ms = round((self._reactor.seconds() - started_at_s) * MS_PER_SECOND)
        if elapsed_ms < MIN_WATCH_INTERVAL_MS:
            await sleep(self._reactor, MIN_WATCH_INTERVAL_MS - elapsed_ms)

    def _notify(self, entry: Entry) -> None:
        if entry.deleted:
            self._decoded_values.pop(entry.key, None)
        for stale in [each for each in self._decoded_lists if entry.key.startswith(each[0])]:
            del self._decoded_lists[stale]
        for prefix, listener in self._listeners:
            if entry.key.startswith(prefix):
                listener(entry)


def _folder(key: str) -> str:
    return key[: key.rfind("/") + 1]
