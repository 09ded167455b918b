"""A caller's request and the three distinct answers that it can get."""

from __future__ import annotations

from enum import Enum
from typing import Annotated
from typing import Any

import msgspec

from jujubehall.identifiers import RequestId
from jujubehall.identifiers import TeamName

MAX_DEADLINE_MS = 600_000
DEFAULT_DEADLINE_MS = 10_000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
DeadlineMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)]


class Request(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request as sent by a caller.

    ``id`` is the same on every attempt of the caller. A request that is not ``idempotent`` runs
    at most once for its ``id``.
    """

    id: Annotated[RequestId, msgspec.Meta(min_length=1, max_length=128)]
    team: Annotated[TeamName, msgspec.Meta(min_length=1, max_length=128)]
    kind: Name
    payload: Any = None
    idempotent: bool = False
    deadline_ms: DeadlineMs = DEFAULT_DEADLINE_MS


class Outcome(Enum):
    """What is known about a request's execution."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to a request.

    ``NOT_RUN`` states that no endpoint has run it and none will by this attempt; the caller may
    try again after ``retry_after_ms``. ``UNKNOWN`` states that an endpoint may have run it.
    """

    id: RequestId
    outcome: Outcome
    result: Any = None
    reason: str = ""
    step: str = ""
    peer: str = ""
    retry_after_ms: int = 0


def completed(request: Request, result: Any) -> Answer:
    """Makes the answer that carries the endpoint's result."""
    return Answer(request.id, Outcome.COMPLETED, result)


def not_run(
    request: Request, reason: str, step: str, peer: str = "entry host", retry_after_ms: int = 1_000
) -> Answer:
    """Makes the answer which states that the request did not run."""
    return Answer(request.id, Outcome.NOT_RUN, None, reason, step, peer, retry_after_ms)


def unknown(request: Request, reason: str, step: str, peer: str) -> Answer:
    """Makes the answer which states that the request may have run."""
    return Answer(request.id, Outcome.UNKNOWN, None, reason, step, peer)
