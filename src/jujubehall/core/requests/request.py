"""Requests of callers and the answers to them, with three distinct outcomes."""

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

    The caller uses the same ``id`` for every attempt. A request that is not ``idempotent`` runs at
    most once for its ``id``. ``deadline_ms`` is relative to the time at which it is received.
    """

    id: Annotated[RequestId, msgspec.Meta(min_length=1, max_length=128)]
    team: Annotated[TeamName, msgspec.Meta(min_length=1, max_length=128)]
    kind: Name
    payload: Any = None
    idempotent: bool = False
    deadline_ms: DeadlineMs = DEFAULT_DEADLINE_MS


class Outcome(Enum):
    """What is known about the execution of a request."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to a request.

    ``NOT_RUN`` means that no endpoint has run the request or will run it for this attempt; the
    caller may retry after ``retry_after_ms``. ``UNKNOWN`` means that an endpoint may have run it.
    ``step`` and ``peer`` name the operation that failed and the peer that it involved.
    """

    id: RequestId
    outcome: Outcome
    result: Any = None
    reason: str = ""
    step: str = ""
    peer: str = ""
    retry_after_ms: int = 0


def completed_answer(request: Request, result: Any) -> Answer:
    """Creates the answer that carries the endpoint's result."""
    return Answer(request.id, Outcome.COMPLETED, result)


def not_run_answer(
    request: Request, reason: str, step: str, peer: str = "entry host", retry_after_ms: int = 1_000
) -> Answer:
    """Creates the answer for a request that did not run."""
    return Answer(request.id, Outcome.NOT_RUN, None, reason, step, peer, retry_after_ms)


def unknown_answer(request: Request, reason: str, step: str, peer: str) -> Answer:
    """Creates the answer for a request that may have run."""
    return Answer(request.id, Outcome.UNKNOWN, None, reason, step, peer)
