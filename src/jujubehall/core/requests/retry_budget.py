"""Limits retries to a share of first attempts, so that a failing endpoint can't multiply load."""

from __future__ import annotations

RETRY_TOKENS_PER_FIRST_SEND = 0.1
MAX_RETRY_TOKENS = 10.0


class RetryBudget:
    """A token bucket: each first attempt adds a fraction of a token and each retry costs one."""

    def __init__(self) -> None:
        self._tokens = MAX_RETRY_TOKENS

    def on_first_send(self) -> None:
        """Adds the tokens that a first attempt earns, up to ``MAX_RETRY_TOKENS``."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_TOKENS_PER_FIRST_SEND)

    def try_consume(self) -> bool:
        """Consumes a token for a retry; returns False if there is less than one left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
