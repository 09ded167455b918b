"""Limits of an HTTP interface, which keep one caller from taking what others need."""

from __future__ import annotations

from typing import Annotated

import msgspec

KIB = 1024
MIB = 1024 * KIB


class HttpLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits in bytes, milliseconds and connections.

    ``receive_timeout_ms`` bounds the time from a request's first byte to its last, however
    steadily the bytes arrive; ``idle_timeout_ms`` the time between requests of a connection.
    """

    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 512
    header_bytes: Annotated[int, msgspec.Meta(ge=1 * KIB, le=1 * MIB)] = 16 * KIB
    body_bytes: Annotated[int, msgspec.Meta(ge=1 * KIB, le=16 * MIB)] = 256 * KIB
    receive_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = 10_000
    idle_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = 60_000
