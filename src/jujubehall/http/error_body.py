"""The JSON body of every error answer."""

from __future__ import annotations

import msgspec


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """What failed, at which step and with which peer; ``retry_after_ms`` is 0 if not to retry."""

    error: str
    step: str
    peer: str
    retry_after_ms: int = 0
