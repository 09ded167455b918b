"""The in-memory table of non-idempotent requests that an owner of request shards has claimed."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.ownership.scopes import shard_of
from jujubehall.core.ownership.scopes import stable_hash
from jujubehall.core.requests.claim_records import claim_hash
from jujubehall.core.requests.request import Answer
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import not_run_answer
from jujubehall.core.requests.request import unknown_answer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.requests.request import Request
    from jujubehall.identifiers import Incarnation
    from jujubehall.identifiers import RequestId

CLAIM_RETENTION_MS = 600_000


class ClaimState(Enum):
    """The processing state of a claimed request."""

    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"


class Claim(msgspec.Struct):
    """A claimed request; ``answer`` is set once the state is ``ANSWERED``."""

    state: ClaimState
    expires_at_ms: int
    content_hash: int
    """A hash of the request's content, since two callers may choose the same identifier."""

    answer: Answer | None = None


class ClaimTable:
    """Keeps claims and final answers for ``CLAIM_RETENTION_MS``.

    The claim of a request that was not run is removed, so that the caller can retry it.
    """

    def __init__(self) -> None:
        self._claims: dict[RequestId, Claim] = {}
        self._inherited_expiries_ms: dict[int, int] = {}
        self._lost_shard_expiries_ms: dict[int, int] = {}
        self._owners_with_losses: set[Incarnation] = set()

    def __len__(self) -> int:
        return len(self._claims) + len(self._inherited_expiries_ms)

    def is_in_progress(self, request: RequestId) -> bool:
        """Returns whether an attempt of the request is running on this entry host."""
        claim = self._claims.get(request)
        return claim is not None and claim.state is ClaimState.IN_PROGRESS

    def known_answer(self, request: Request) -> Answer | None:
        """Returns the answer for a request that was claimed before.

        Returns None if the request is new or still in progress. If another request was claimed
        under the same identifier, the answer has the outcome ``NOT_RUN``.
        """
        claim = self._claims.get(request.id)
        if claim is not None and claim.content_hash != hash_content(request):
            return not_run_answer(request, "its identifier belongs to a different request", "claim")
        if claim is not None:
            return claim.answer
        if claim_hash(request.id) in self._inherited_expiries_ms:
            return unknown_answer(request, "claimed by an earlier owner", "claim", "entry host")
        return None

    def begin(self, request: Request, now_ms: int) -> None:
        """Adds a claim for an attempt that starts now; the request must not be claimed yet."""
        assert request.id not in self._claims, f"request {request.id} is already claimed"
        expires_at_ms = now_ms + CLAIM_RETENTION_MS
        self._claims[request.id] = Claim(
            ClaimState.IN_PROGRESS, expires_at_ms, hash_content(request)
        )

    def finish(self, answer: Answer, now_ms: int) -> None:
        """Records the answer of the attempt in progress."""
        claim = self._claims[answer.id]
        assert claim.state is ClaimState.IN_PROGRESS, f"request {answer.id} is already answered"
        if answer.outcome is Outcome.NOT_RUN:
            del self._claims[answer.id]
            return
        claim.state = ClaimState.ANSWERED
        claim.answer = answer
        claim.expires_at_ms = now_ms + CLAIM_RETENTION_MS

    def add_recorded_claims(self, claims: Iterable[int], now_ms: int) -> None:
        """Adds recorded claims of a previous owner; their outcomes are unknown here."""
        for claim in claims:
            self._inherited_expiries_ms[claim] = now_ms + CLAIM_RETENTION_MS

    def record_lost_claims(self, owner: Incarnation, shards: Iterable[int], now_ms: int) -> None:
        """Records that claims of a previous owner of ``shards`` were lost with its memory."""
        if owner in self._owners_with_losses:
            return
        self._owners_with_losses.add(owner)
        for shard in shards:
            self._lost_shard_expiries_ms[shard] = now_ms + CLAIM_RETENTION_MS

    def may_have_lost_claim(self, request: RequestId) -> bool:
        """Returns whether a claim of a request that is not in the table may have been lost."""
        return shard_of(request) in self._lost_shard_expiries_ms

    def expire(self, now_ms: int) -> None:
        """Removes all expired entries, except claims of requests in progress."""
        self._claims = {
            request: claim
            for request, claim in self._claims.items()
            if claim.expires_at_ms > now_ms or claim.state is ClaimState.IN_PROGRESS
        }
        self._inherited_expiries_ms = _unexpired(self._inherited_expiries_ms, now_ms)
        self._lost_shard_expiries_ms = _unexpired(self._lost_shard_expiries_ms, now_ms)


def _unexpired(expiries_ms: dict[int, int], now_ms: int) -> dict[int, int]:
    return {
        key: expires_at_ms for key, expires_at_ms in expiries_ms.items() if expires_at_ms > now_ms
    }


def hash_content(request: Request) -> int:
    """Returns a hash of a request's team, kind and payload.

    It is the same for every attempt of the caller.
    """
    return stable_hash(repr((request.team, request.kind, msgspec.json.encode(request.payload))))
