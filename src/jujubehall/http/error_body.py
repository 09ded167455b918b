"""JSON body of every error response."""

from __future__ import annotations

import msgspec


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Error message with the failed step and the peer that was involved.

    ``retry_after_ms`` is 0 if the request should not be retried.
    """

    error: str
    step: str
    peer: str
    retry_after_ms: int = 0
