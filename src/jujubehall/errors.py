"""Typed failures that carry the step and the peer at which they arose."""

from __future__ import annotations

from enum import Enum

import msgspec


class FailureKind(Enum):
    """What is known about an operation that did not succeed."""

    NOT_SENT = "not-sent"
    """Nothing reached the peer: the operation did not take effect."""

    NO_ANSWER = "no-answer"
    """The peer may have received it: whether it took effect is unknown."""

    UNAVAILABLE = "unavailable"
    """The peer answered that it can't serve now; the operation did not take effect."""

    CONFLICT = "conflict"
    """The compare-and-swap precondition or the fencing epoch did not hold."""

    NOT_FOUND = "not-found"
    INVALID = "invalid"


class Failure(msgspec.Struct, frozen=True):
    """A failed step, returned inside ``result.Err``.

    ``step`` names what was attempted and ``peer`` whom it was attempted with, for example
    ``Failure(FailureKind.NO_ANSWER, "put configuration", "platform", "timed out")``.
    """

    kind: FailureKind
    step: str
    peer: str
    detail: str = ""

    @property
    def may_have_taken_effect(self) -> bool:
        """Whether the operation may have been carried out although no answer confirms it."""
        return self.kind is FailureKind.NO_ANSWER

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.kind.value}: {self.detail}"
