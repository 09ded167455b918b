"""In-memory key-value store with compare-and-swap, leases and revisions for watches."""

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
    """A granted lease, its expiry time and the keys that are deleted when it expires."""

    ttl_ms: int
    expires_at_ms: int
    keys: set[str] = msgspec.field(default_factory=set)


class KeyValueStore:
    """An in-memory key-value store that performs no I/O.

    Randomised tests call it directly; ``PlatformStandIn`` serves it over HTTP to real processes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._revision = 0
        self._next_lease_number = 1
        self._watchers: list[Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """The number of writes and deletions so far; also the version of the last one."""
        return self._revision

    def snapshot(self) -> KeyValueStore:
        """Returns a copy that later writes don't change, to simulate a stale replica."""
        replica = KeyValueStore(self._clock)
        replica._entries = dict(self._entries)
        replica._revision = self._revision
        return replica

    def on_next_write(self, watcher: Callable[[], None]) -> None:
        """Registers ``watcher`` to be called once, at the next write or deletion of any key."""
        self._watchers.append(watcher)

    def get(self, key: str) -> Result[Entry, Failure]:
        """Returns the entry of a key, or a ``NOT_FOUND`` failure."""
        self.expire_leases()
        entry = self._entries.get(key)
        if entry is None or entry.deleted:
            return _make_failure(FailureKind.NOT_FOUND, "get", key)
        return Ok(entry)

    def list_entries(self, prefix: str) -> Changes:
        """Returns the entries whose keys start with ``prefix``, sorted by key."""
        self.expire_leases()
        entries = [e for e in self._entries.values() if e.key.startswith(prefix) and not e.deleted]
        return Changes(self._revision, sorted(entries, key=lambda entry: entry.key))

    def changes(self, prefix: str, after_revision: int) -> Changes:
        """Returns entries under ``prefix`` changed after ``after_revision``, sorted by version."""
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
        """Writes a key if its version is ``expected_version``; 0 means that the key is absent.

        Returns the new version, ``CONFLICT`` if the version differs or the lease has expired, or
        ``INVALID`` if the encoded value exceeds ``MAX_VALUE_BYTES``.
        """
        self.expire_leases()
        if len(msgspec.json.encode(value)) > MAX_VALUE_BYTES:
            return _make_failure(
                FailureKind.INVALID, "put", f"{key}: value exceeds {MAX_VALUE_BYTES} bytes"
            )
        if lease and lease not in self._leases:
            return _make_failure(FailureKind.CONFLICT, "put", f"{key}: lease {lease} has expired")
        if self._version(key) != expected_version:
            return _make_failure(
                FailureKind.CONFLICT, "put", f"{key}: version is {self._version(key)}"
            )
        self._detach_from_lease(key)
        if lease:
            self._leases[lease].keys.add(key)
        return Ok(self._write(key, value, deleted=False))

    def delete(self, key: str, expected_version: int) -> Result[None, Failure]:
        """Deletes a key if its version is ``expected_version``; ``CONFLICT`` otherwise."""
        self.expire_leases()
        if self._version(key) != expected_version:
            return _make_failure(
                FailureKind.CONFLICT, "delete", f"{key}: version is {self._version(key)}"
            )
        self._detach_from_lease(key)
        self._write(key, None, deleted=True)
        return Ok(None)

    def grant_lease(self, ttl_ms: int) -> str:
        """Grants a lease of ``ttl_ms`` milliseconds and returns its identifier."""
        lease = f"lease-{self._next_lease_number}"
        self._next_lease_number += 1
        self._leases[lease] = Lease(ttl_ms, self._clock.now_ms + ttl_ms)
        return lease

    def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Restarts the TTL of a lease; ``NOT_FOUND`` if it has expired."""
        self.expire_leases()
        if lease not in self._leases:
            return _make_failure(FailureKind.NOT_FOUND, "renew lease", lease)
        state = self._leases[lease]
        state.expires_at_ms = self._clock.now_ms + state.ttl_ms
        return Ok(None)

    def revoke_lease(self, lease: str) -> None:
        """Removes a lease, if it exists, and deletes its keys."""
        state = self._leases.pop(lease, None)
        for key in sorted(state.keys) if state else ():
            self._write(key, None, deleted=True)

    def expire_leases(self) -> None:
        """Revokes the leases whose expiry time has passed."""
        now_ms = self._clock.now_ms
        for lease in [id_ for id_, state in self._leases.items() if state.expires_at_ms <= now_ms]:
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

    def _detach_from_lease(self, key: str) -> None:
        for state in self._leases.values():
            state.keys.discard(key)


def _make_failure(kind: FailureKind, step: str, detail: str) -> Err[Failure]:
    return Err(Failure(kind, step, "platform", detail))
