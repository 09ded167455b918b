"""Durable records of claims in the platform's key-value service.

Each entry host has one head record, ``claims/heads/<entry host>``, which it rewrites by
compare-and-swap with each batch of claims. Claims that no longer fit into the head are moved to
archive records, ``claims/archives/<entry host>/<incarnation>/<number>``, which expire with a
platform lease. Sealing a head fences its entry host: the entry host's next write fails, however
long its process was paused.
"""

from __future__ import annotations

import msgspec

from jujubehall.core.ownership.scopes import stable_hash
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import RequestId

HEADS_PREFIX = "claims/heads/"
ARCHIVES_PREFIX = "claims/archives/"
LOST_PREFIX = "claims/lost/"
MAX_CLAIMS_IN_HEAD = 64
MAX_CLAIMS_IN_ARCHIVE = 4_096


class Granter(msgspec.Struct, frozen=True):
    """A member of the ownership record for which a claim head was opened.

    The module ``grants`` describes what it grants.
    """

    name: EntryHostName
    incarnation: Incarnation
    mesh_address: str


class ClaimHead(msgspec.Struct, frozen=True):
    """The head record of an entry host's claims.

    It is valid for the epoch in which the entry host opened it. ``sequence`` increases with each
    write by one incarnation, so that the entry host can recognise its own write after the response
    was lost.
    """

    name: EntryHostName
    incarnation: Incarnation
    epoch: Epoch
    opened: Epoch = Epoch(0)
    """The epoch in which the head was last opened; sealing it raises ``epoch`` above this one."""

    sequence: int = 0
    sealed: bool = False
    claims: tuple[int, ...] = ()
    shards: tuple[int, ...] = ()
    """The request shards that the entry host owned when it last opened the head."""

    granters: tuple[Granter, ...] = ()
    cleared: bool = False
    """Whether the head is sealed and no valid claims are left only in its entry host's memory."""

    def blocks_claims_before(self, epoch: Epoch) -> bool:
        """Returns whether the entry host can no longer make claims for epochs before ``epoch``."""
        return self.sealed or self.epoch >= epoch


class LostClaims(msgspec.Struct, frozen=True):
    """Shards whose owner terminated with claims in memory only.

    The record is kept until every such claim has expired.
    """

    incarnation: Incarnation
    shards: tuple[int, ...]


class ClaimArchive(msgspec.Struct, frozen=True):
    """Claims that were moved out of a head."""

    incarnation: Incarnation
    claims: tuple[int, ...]


def claim_hash(request: RequestId) -> int:
    """Returns the recorded form of a request's identifier: 8 bytes instead of up to 128."""
    return stable_hash(request)


def head_key(name: EntryHostName) -> str:
    """Returns the key of an entry host's claim head."""
    return HEADS_PREFIX + name


def lost_key(incarnation: Incarnation) -> str:
    """Returns the key of the record of claims lost by one incarnation of an entry host."""
    return LOST_PREFIX + incarnation


def archive_key(name: EntryHostName, incarnation: Incarnation, number: int) -> str:
    """Returns the key of an archive of claims."""
    return f"{ARCHIVES_PREFIX}{name}/{incarnation}/{number:08d}"
