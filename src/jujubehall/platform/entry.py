"""Request and response bodies of the platform's key-value service."""

from __future__ import annotations

from typing import Any

import msgspec

from jujubehall.identifiers import Version


class Entry(msgspec.Struct, frozen=True):
    """A key with its JSON value and the version set by its last write.

    In the changes that a watch returns, a deleted key has ``deleted`` set.
    """

    key: str
    value: Any
    version: Version
    deleted: bool = False


class Changes(msgspec.Struct, frozen=True):
    """Entries whose keys begin with a prefix, as of ``revision`` of the whole service."""

    revision: int
    entries: list[Entry]


class PutRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A write that takes effect only if the key's version is ``expected_version``.

    Version 0 means that the key must be absent.
    """

    value: Any
    expected_version: Version
    lease: str = ""


class PutResponse(msgspec.Struct, frozen=True):
    """The version that a write has set."""

    version: Version


class LeaseRequest(msgspec.Struct, frozen=True):
    """Requests a lease that expires ``ttl_ms`` milliseconds after its last renewal."""

    ttl_ms: int


class LeaseResponse(msgspec.Struct, frozen=True):
    """The identifier of a granted lease."""

    lease: str
