"""A key of the platform's key-value service with its value and version."""

from __future__ import annotations

from typing import Any

import msgspec

from jujubehall.identifiers import Version


class Entry(msgspec.Struct, frozen=True):
    """A key, its JSON value and the version that the last write gave it.

    A deleted key appears in a watch's changes with ``deleted`` set.
    """

    key: str
    value: Any
    version: Version
    deleted: bool = False


class Changes(msgspec.Struct, frozen=True):
    """Entries of a prefix, as of ``revision`` of the whole service."""

    revision: int
    entries: list[Entry]


class PutBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A write that takes effect only if the key has ``expected_version`` (0: is absent)."""

    value: Any
    expected_version: Version
    lease: str = ""


class Written(msgspec.Struct, frozen=True):
    """The version that a write gave to its key."""

    version: Version


class LeaseBody(msgspec.Struct, frozen=True):
    """Asks for a lease that lapses ``ttl_ms`` milliseconds after its last renewal."""

    ttl_ms: int


class LeaseGranted(msgspec.Struct, frozen=True):
    """The identifier of a granted lease."""

    lease: str
