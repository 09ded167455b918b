"""Names of the scopes that entry hosts own: request shards and availability zones."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.identifiers import RequestId
    from jujubehall.identifiers import ZoneName

REQUEST_SHARDS = 64
HASH_BYTES = 8
ZONE_SCOPE_PREFIX = "zone/"


def request_scope(request: RequestId) -> str:
    """Returns the scope of the shard that ``request`` belongs to."""
    return shard_scope(shard_of(request))


def shard_of(request: RequestId) -> int:
    """Returns the number of the shard that ``request`` belongs to."""
    return stable_hash(request) % REQUEST_SHARDS


def shard_scope(shard: int) -> str:
    """Returns the scope of a request shard."""
    return f"requests/{shard:02d}"


def zone_scope(zone: ZoneName) -> str:
    """Returns the scope for placement in an availability zone."""
    return ZONE_SCOPE_PREFIX + zone


def all_scopes(zones: Iterable[ZoneName]) -> list[str]:
    """Returns all scopes of a site with the given availability zones."""
    shards = [shard_scope(shard) for shard in range(REQUEST_SHARDS)]
    return shards + [zone_scope(zone) for zone in sorted(set(zones))]


def stable_hash(text: str) -> int:
    """Returns a 64-bit hash of ``text`` that is the same in every process and on every host."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest())
