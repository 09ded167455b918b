"""Kinds of clients that hold or occupy a server, each a sequence of bytes that it sends."""

from __future__ import annotations

import json

from typing import NamedTuple

KIB = 1024
MIB = 1024 * KIB
BODY_BYTES = 256 * KIB
"""The largest body that is accepted."""

WHOLE = 16 * MIB


class Misbehaviour(NamedTuple):
    """What each client of a crowd sends, ``piece_bytes`` at a time, in turn with the others."""

    name: str
    content: bytes
    piece_bytes: int = WHOLE
    clients: int = 300
    reads: bool = False
    leaves: bool = False
    """Whether the clients close their connections as soon as everything is sent."""


def head(method: str, path: str, *lines: str) -> bytes:
    return "\r\n".join(
        [f"{method} {path} HTTP/1.1", "Host: desk.example", "Authorization: Token k1", *lines]
    ).encode()


def body_head(path: str, length: int = BODY_BYTES) -> bytes:
    return head("POST", path, f"Content-Length: {length}") + b"\r\n\r\n"


def chunked(path: str, chunk_bytes: int, trailer: bytes = b"") -> bytes:
    """Returns a chunked request without its end; with ``trailer``, the chunks are complete."""
    chunk = f"{chunk_bytes:x}\r\n".encode() + b" " * chunk_bytes + b"\r\n"
    chunks = chunk * ((BODY_BYTES - 1) // chunk_bytes)
    if trailer:
        chunks = chunk + b"0\r\n" + trailer
    return head("POST", path, "Transfer-Encoding: chunked") + b"\r\n\r\n" + chunks


def kinds(path: str) -> list[Misbehaviour]:
    """Returns the kinds of clients; ``path`` is one to which a job may be submitted."""
    body = body_head(path) + b" " * (BODY_BYTES - 1)
    unknown = head("GET", "/nowhere/x") + b"\r\n\r\n"
    headers = [f"{number:x}: {number}" for number in range(490)]
    names = (f"{number:04d}{'n' * 15_000}" for number in range(5_000))
    long_names = b"".join(head("GET", "/nowhere/x", f"{name}: x") + b"\r\n\r\n" for name in names)
    return [
        Misbehaviour("whole-bodies", body),
        Misbehaviour("bodies-piece-by-piece", body, 4 * KIB),
        Misbehaviour("large-chunks", chunked(path, 64 * KIB - 1), 16 * KIB),
        Misbehaviour("small-chunks", chunked(path, 8), 4 * KIB),
        Misbehaviour("many-headers", head("GET", path, *headers), clients=600),
        Misbehaviour("many-trailers", chunked(path, 8, b"a\r\n" * 20_000), 16 * KIB),
        Misbehaviour("unread-answers", unknown * (MIB // len(unknown)), 64 * KIB),
        Misbehaviour("heads-that-dont-end", head("GET", path, "X: "), clients=1_000),
        Misbehaviour("unused-connections", b"", clients=1_000),
        Misbehaviour("other-names-of-headers", long_names, 64 * KIB, clients=1, reads=True),
    ]


def submissions(path: str) -> list[Misbehaviour]:
    """Returns kinds of clients that send complete jobs of the largest size to ``path``."""
    job = json.dumps({"spec": "", "steps": [{"count": 1}]})
    job = job.replace('""', f'"{"x" * (BODY_BYTES - len(job))}"')
    content = body_head(path, len(job)) + job.encode()
    return [
        Misbehaviour("clients-that-stay", content),
        Misbehaviour("clients-that-leave", content, leaves=True),
    ]
