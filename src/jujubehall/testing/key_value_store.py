"""The state of the key-value stand-in: compare-and-swap, leases and watched revisions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Version
from jujubehall.platform.entry import Changes
from jujubehall.platform.entry import Entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.clock import Clock

MAX_VALUE_BYTES = 1_000_000


class Lease(msgspec.Struct):
    """A lease, the moment at which it lapses and the keys that lapse with it."""

    ttl_ms: int
    lapses_at_ms: int
    keys: set[str] = msgspec.field(default_factory=set)


class KeyValueStore:
    """A key-value service in memory, without any input or output.

    Randomised runs call it directly; the HTTP stand-in serves it to real processes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._revision = 0
        self._next_lease = 1
        self._watchers: list[Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """The number of writes so far; also the version of the last written entry."""
        return self._revision

    def snapshot(self) -> KeyValueStore:
        """A copy that later writes don't reach, as a replica that lags behind."""
        copied = KeyValueStore(self._clock)
        copied._entries = dict(self._entries)
        copied._revision = self._revision
        return copied

    def on_next_write(self, watcher: Callable[[], None]) -> None:
        """Calls ``watcher`` once, with the next write of any key."""
        self._watchers.append(watcher)

    def get(self, key: str) -> Result[Entry, Failure]:
        """Reads one key."""
        self.expire_leases()
        entry = self._entries.get(key)
        if entry is None or entry.deleted:
            return _refuse(FailureKind.NOT_FOUND, "get", key)
        return Ok(entry)

    def list_entries(self, prefix: str) -> Changes:
        """Reads all keys under ``prefix``."""
        self.expire_leases()
        entries = [e for e in self._entries.values() if e.key.startswith(prefix) and not e.deleted]
        return Changes(self._revision, sorted(entries, key=lambda entry: entry.key))

    def changes(self, prefix: str, after_revision: int) -> Changes:
        """Reads the keys under ``prefix`` written or deleted after ``after_revision``."""
        self.expire_leases()
        entries = [
            entry
            for entry in self._entries.values()
            if entry.key.startswith(prefix) and entry.version > after_revision
        ]
        return Changes(self._revision, sorted(entries, key=lambda entry: entry.version))

    def put(
        self, key: str, value: Any, expected_version: int, lease: str = ""
    ) -> Result[Version, Failure]:
        """Writes a key if its version is ``expected_version``; 0 stands for an absent key."""
        self.expire_leases()
        if len(msgspec.json.encode(value)) > MAX_VALUE_BYTES:
            return _refuse(FailureKind.INVALID, "put", f"{key}: value over {MAX_VALUE_BYTES} bytes")
        if lease and lease not in self._leases:
            return _refuse(FailureKind.CONFLICT, "put", f"{key}: lease {lease} has lapsed")
        if self._version(key) != expected_version:
            return _refuse(FailureKind.CONFLICT, "put", f"{key} is at {self._version(key)}")
        self._detach(key)
        if lease:
            self._leases[lease].keys.add(key)
        return Ok(self._write(key, value, deleted=False))

    def delete(self, key: str, expected_version: int) -> Result[None, Failure]:
        """Deletes a key if its version is ``expected_version``."""
        self.expire_leases()
        if self._version(key) != expected_version:
            return _refuse(FailureKind.CONFLICT, "delete", f"{key} is at {self._version(key)}")
        self._detach(key)
        self._write(key, None, deleted=True)
        return Ok(None)

    def grant_lease(self, ttl_ms: int) -> str:
        """Grants a lease and returns its identifier."""
        lease = f"lease-{self._next_lease}"
        self._next_lease += 1
        self._leases[lease] = Lease(ttl_ms, self._clock.now_ms + ttl_ms)
        return lease

    def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Extends a lease to its full time from now."""
        self.expire_leases()
        if lease not in self._leases:
            return _refuse(FailureKind.NOT_FOUND, "renew lease", lease)
        held = self._leases[lease]
        held.lapses_at_ms = self._clock.now_ms + held.ttl_ms
        return Ok(None)

    def revoke_lease(self, lease: str) -> None:
        """Ends a lease and deletes its keys."""
        held = self._leases.pop(lease, None)
        for key in sorted(held.keys) if held else ():
            self._write(key, None, deleted=True)

    def expire_leases(self) -> None:
        """Ends the leases whose time has passed."""
        now_ms = self._clock.now_ms
        for lease in [name for name, held in self._leases.items() if held.lapses_at_ms <= now_ms]:
            self.revoke_lease(lease)

    def _version(self, key: str) -> int:
        entry = self._entries.get(key)
        return 0 if entry is None or entry.deleted else entry.version

    def _write(self, key: str, value: Any, *, deleted: bool) -> Version:
        self._revision += 1
        version = Version(self._revision)
        self._entries[key] = Entry(key, value, version, deleted)
        watchers, self._watchers = self._watchers, []
        for watcher in watchers:
            watcher()
        return version

    def _detach(self, key: str) -> None:
        for held in self._leases.values():
            held.keys.discard(key)


def _refuse(kind: FailureKind, step: str, detail: str) -> Err[Failure]:
    return Err(Failure(kind, step, "platform", detail))
