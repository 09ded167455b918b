"""The error that a broken promise raises."""

from __future__ import annotations


class Violation(AssertionError):
    """A promise was broken; the message names it and what was seen."""

    def __init__(self, promise: str, seen: str) -> None:
        super().__init__(f"{promise}: {seen}")
        self.promise = promise
