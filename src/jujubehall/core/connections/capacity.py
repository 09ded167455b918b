"""How many connections a process may have open and how much memory they may use.

The load that this answers: more clients than a small machine has memory and file descriptors for,
each of them inside the limits of a single connection.
"""

from __future__ import annotations

from typing import NamedTuple

KIB = 1024
MIB = 1024 * KIB

SOCKET_BUFFER_BYTES = 16 * KIB
"""Size of the kernel's receive buffer and of its send buffer of each connection."""

CONNECTION_BYTES = SOCKET_BUFFER_BYTES + 4 * KIB
"""Memory of a connection that is not in use, with a full receive buffer."""

MEMORY_SHARE = 4
"""Connections may use one in this many bytes of the machine's memory."""

OPEN_CONNECTIONS_SHARE = 2
"""Connections that are not in use take up at most one in this many bytes of that memory."""

RESERVED_DESCRIPTORS = 200
"""File descriptors for files, which the platform does not grant to sockets."""

OUTGOING_SHARE = 2
"""One in this many of the other file descriptors is left for connections to peers."""

MIN_MEMORY_BYTES = 8 * MIB
"""Enough for requests of the largest size; smaller machines can't run the process anyway."""

MAX_CONNECTIONS = 2_000
MIN_CONNECTIONS = 16


class ConnectionCapacity(NamedTuple):
    """Limits of all connections that the process has accepted."""

    memory_bytes: int
    connections: int


def plan_capacity(machine_memory_bytes: int, descriptors: int) -> ConnectionCapacity:
    """Derives the limits from the memory and the file descriptors of the process.

    >>> plan_capacity(160 * MIB, 1_638)
    ConnectionCapacity(memory_bytes=41943040, connections=719)
    """
    memory_bytes = max(MIN_MEMORY_BYTES, machine_memory_bytes // MEMORY_SHARE)
    by_memory = memory_bytes // OPEN_CONNECTIONS_SHARE // CONNECTION_BYTES
    by_descriptors = (descriptors - RESERVED_DESCRIPTORS) // OUTGOING_SHARE
    connections = max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, by_memory, by_descriptors))
    return ConnectionCapacity(memory_bytes, connections)
