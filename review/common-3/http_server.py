"""A small HTTP/1.1 server on asyncio with keep-alive, for the stand-ins."""

from __future__ import annotations

import asyncio
import json
import socket

from typing import Any
from typing import Awaitable
from typing import Callable
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}

Handler = Callable[
    [str, str, dict[str, str], dict[str, Any], dict[str, str]],
    Awaitable["tuple[int, dict[str, Any]] | None"],
]


async def serve(host: str, port: int, handle: Handler) -> tuple[asyncio.AbstractServer, int]:
    """Serves ``handle(method, path, query, body, headers)`` and returns the server and its port.

    A handler that returns None leaves the request without an answer and closes the connection.
    """

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while await _serve_one(reader, writer, handle):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, host, port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


async def _serve_one(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handle: Handler
) -> bool:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    content = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    answer = await handle(
        method,
        parts.path,
        dict(parse_qsl(parts.query, keep_blank_values=True)),
        json.loads(content) if content else {},
        headers,
    )
    if answer is None:
        return False
    status, body = answer
    encoded = json.dumps(body).encode()
    writer.write(
        f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(encoded)}\r\n\r\n".encode()
        + encoded
    )
    await writer.drain()
    return True
