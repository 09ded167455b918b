"""Durable records of claims in the platform's service.

Each entry host has one head, ``claims/heads/<entry host>``, rewritten by compare-and-swap with
each group of claims, and archives, ``claims/archives/<entry host>/<incarnation>/<number>``, which
hold what no longer fits into the head and lapse by a platform lease. To seal a head fences its
entry host: its next write fails, however long it was paused.
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
    """A member of the record for which a head was opened; ``grants`` says what it grants."""

    name: EntryHostName
    incarnation: Incarnation
    mesh_address: str


class ClaimHead(msgspec.Struct, frozen=True):
    """The head of an entry host's claims.

    It holds for the epoch in which its entry host opened it. ``sequence`` rises with each write
    of one incarnation, so that a write whose answer was lost can be recognised.
    """

    name: EntryHostName
    incarnation: Incarnation
    epoch: Epoch
    opened: Epoch = Epoch(0)
    """The epoch of the last opening; ``epoch`` rises above it when the head is sealed."""

    sequence: int = 0
    sealed: bool = False
    claims: tuple[int, ...] = ()
    shards: tuple[int, ...] = ()
    """The request shards that its entry host owned at the last opening."""

    granters: tuple[Granter, ...] = ()
    cleared: bool = False
    """Whether a sealed head has no more claims in its entry host's memory that count."""

    def fences(self, epoch: Epoch) -> bool:
        """Whether its entry host can no longer claim on the ground of an epoch before ``epoch``."""
        return self.sealed or self.epoch >= epoch


class LostClaims(msgspec.Struct, frozen=True):
    """Shards whose owner died with claims in memory; kept until every such claim is too old."""

    incarnation: Incarnation
    shards: tuple[int, ...]


class ClaimArchive(msgspec.Struct, frozen=True):
    """Claims moved out of a head."""

    incarnation: Incarnation
    claims: tuple[int, ...]


def claim_hash(request: RequestId) -> int:
    """The form in which a request's identifier is recorded, eight bytes instead of up to 128."""
    return stable_hash(request)


def head_key(name: EntryHostName) -> str:
    """The key of an entry host's head."""
    return HEADS_PREFIX + name


def lost_key(incarnation: Incarnation) -> str:
    """The key of the lost claims of one incarnation of an entry host."""
    return LOST_PREFIX + incarnation


def archive_key(name: EntryHostName, incarnation: Incarnation, number: int) -> str:
    """The key of one archive."""
    return f"{ARCHIVES_PREFIX}{name}/{incarnation}/{number:08d}"
