"""What an owner of request shards remembers of non-idempotent requests."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.ownership.scopes import shard_of
from jujubehall.core.ownership.scopes import stable_hash
from jujubehall.core.requests.claim_records import claim_hash
from jujubehall.core.requests.request import Answer
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import not_run
from jujubehall.core.requests.request import unknown

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.requests.request import Request
    from jujubehall.identifiers import Incarnation
    from jujubehall.identifiers import RequestId

CLAIM_RETENTION_MS = 600_000


class ClaimState(Enum):
    """How far a claimed request has come."""

    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"


class Claim(msgspec.Struct):
    """One claimed request; ``answer`` is set once the state is ``ANSWERED``."""

    state: ClaimState
    expires_at_ms: int
    content: int
    """A hash of what the caller asked for, since two callers may choose the same identifier."""
    answer: Answer | None = None


class ClaimTable:
    """Remembers claims and final answers for ``CLAIM_RETENTION_MS``.

    A request that was not run is forgotten, so that the caller may try it again.
    """

    def __init__(self) -> None:
        self._claims: dict[RequestId, Claim] = {}
        self._inherited: dict[int, int] = {}
        self._lost: dict[int, int] = {}
        self._losses: set[Incarnation] = set()

    def __len__(self) -> int:
        return len(self._claims) + len(self._inherited)

    def is_in_progress(self, request: RequestId) -> bool:
        """Whether an attempt of the request is running here."""
        claim = self._claims.get(request)
        return claim is not None and claim.state is ClaimState.IN_PROGRESS

    def known_answer(self, request: Request) -> Answer | None:
        """The answer to repeat to the caller, or None if the request is new or in progress."""
        claim = self._claims.get(request.id)
        if claim is not None and claim.content != content_hash(request):
            return not_run(request, "its identifier names another request", "claim")
        if claim is not None:
            return claim.answer
        if claim_hash(request.id) in self._inherited:
            return unknown(request, "claimed by an earlier owner", "claim", "entry host")
        return None

    def begin(self, request: Request, now_ms: int) -> None:
        """Records that an attempt begins; it must be new."""
        assert request.id not in self._claims, f"{request.id} is claimed already"
        expires_at_ms = now_ms + CLAIM_RETENTION_MS
        self._claims[request.id] = Claim(
            ClaimState.IN_PROGRESS, expires_at_ms, content_hash(request)
        )

    def finish(self, answer: Answer, now_ms: int) -> None:
        """Records the answer of the attempt in progress."""
        claim = self._claims[answer.id]
        assert claim.state is ClaimState.IN_PROGRESS, f"{answer.id} is answered already"
        if answer.outcome is Outcome.NOT_RUN:
            del self._claims[answer.id]
            return
        claim.state = ClaimState.ANSWERED
        claim.answer = answer
        claim.expires_at_ms = now_ms + CLAIM_RETENTION_MS

    def inherit(self, claims: Iterable[int], now_ms: int) -> None:
        """Adds recorded claims of an earlier owner, whose outcomes are not known here."""
        for claim in claims:
            self._inherited[claim] = now_ms + CLAIM_RETENTION_MS

    def lose(self, owner: Incarnation, shards: Iterable[int], now_ms: int) -> None:
        """Records that claims of an earlier owner of ``shards`` were lost with its memory."""
        if owner in self._losses:
            return
        self._losses.add(owner)
        for shard in shards:
            self._lost[shard] = now_ms + CLAIM_RETENTION_MS

    def may_be_lost(self, request: RequestId) -> bool:
        """Whether the claim of an unknown request may have been lost."""
        return shard_of(request) in self._lost

    def expire(self, now_ms: int) -> None:
        """Forgets the claims whose time has passed, except those in progress."""
        self._claims = {
            request: claim
            for request, claim in self._claims.items()
            if claim.expires_at_ms > now_ms or claim.state is ClaimState.IN_PROGRESS
        }
        self._inherited = _unexpired(self._inherited, now_ms)
        self._lost = _unexpired(self._lost, now_ms)


def _unexpired(expiries: dict[int, int], now_ms: int) -> dict[int, int]:
    return {key: expires_at_ms for key, expires_at_ms in expiries.items() if expires_at_ms > now_ms}


def content_hash(request: Request) -> int:
    """A hash of what a request asks for, the same on every attempt of its caller."""
    return stable_hash(repr((request.team, request.kind, msgspec.json.encode(request.payload))))
