"""Bounds retries to a share of the first sends, so that a sick endpoint can't multiply load."""

from __future__ import annotations

RETRIES_PER_SEND = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """A token bucket that each first send fills a little and each retry empties by one."""

    def __init__(self) -> None:
        self._tokens = MAX_SAVED_RETRIES

    def on_first_send(self) -> None:
        """Adds to the budget."""
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + RETRIES_PER_SEND)

    def take(self) -> bool:
        """Whether a retry may be sent; takes it from the budget."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
