"""Limits of an HTTP server that keep one client from exhausting resources of the others."""

from __future__ import annotations

from typing import Annotated

import msgspec

KIB = 1024
MIB = 1024 * KIB


class HttpLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the number of connections, request sizes in bytes and times in milliseconds.

    ``receive_timeout_ms`` limits the time from the first to the last byte of a request, even if
    bytes keep arriving. ``idle_timeout_ms`` limits the time between two requests on a connection.
    ``send_timeout_ms`` limits the time in which the client reads no byte of a waiting response.
    ``headers`` limits the number of header lines, ``trailer_bytes`` the headers that may follow a
    chunked body.
    """

    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 512
    header_bytes: Annotated[int, msgspec.Meta(ge=1 * KIB, le=1 * MIB)] = 16 * KIB
    body_bytes: Annotated[int, msgspec.Meta(ge=1 * KIB, le=16 * MIB)] = 256 * KIB
    receive_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = 10_000
    idle_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = 60_000
    send_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = 10_000
    request_line_bytes: Annotated[int, msgspec.Meta(ge=256, le=1 * MIB)] = 8 * KIB
    headers: Annotated[int, msgspec.Meta(ge=10, le=1_000)] = 100
    header_name_bytes: Annotated[int, msgspec.Meta(ge=32, le=16 * KIB)] = 256
    trailer_bytes: Annotated[int, msgspec.Meta(ge=0, le=64 * KIB)] = 1 * KIB
