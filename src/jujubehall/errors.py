"""Typed failures that name the operation that failed and the peer that it involved."""

from __future__ import annotations

from enum import Enum

import msgspec


class FailureKind(Enum):
    """The kind of a failure, which determines whether the operation may have taken effect."""

    NOT_SENT = "not-sent"
    """Nothing was sent to the peer, so the operation did not take effect."""

    NO_ANSWER = "no-answer"
    """The peer may have received the request; it is unknown whether the operation took effect."""

    UNAVAILABLE = "unavailable"
    """The peer responded that it is unavailable; the operation did not take effect."""

    CONFLICT = "conflict"
    """A compare-and-swap precondition failed or the fencing epoch was outdated."""

    NOT_FOUND = "not-found"
    INVALID = "invalid"


class Failure(msgspec.Struct, frozen=True):
    """A failed operation, returned in a ``result.Err``.

    ``step`` names the operation and ``peer`` the other party, for example
    ``Failure(FailureKind.NO_ANSWER, "put configuration", "platform", "timed out")``.
    """

    kind: FailureKind
    step: str
    peer: str
    detail: str = ""
    is_connection_lost: bool = False
    """Whether the peer's system closed or refused the connection, as it does for a process that has
    died. False if the peer was silent."""

    @property
    def may_have_taken_effect(self) -> bool:
        """Whether the operation may have been carried out although no response confirms it."""
        return self.kind is FailureKind.NO_ANSWER

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.kind.value}: {self.detail}"
