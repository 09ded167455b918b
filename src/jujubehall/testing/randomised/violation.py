"""The exception for a violated invariant."""

from __future__ import annotations


class Violation(AssertionError):
    """Raised when an invariant doesn't hold; the message has the invariant and the observation."""

    def __init__(self, invariant: str, observed: str) -> None:
        super().__init__(f"{invariant}: {observed}")
        self.invariant = invariant
