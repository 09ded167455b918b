"""Memory and file descriptors that a process uses, with what the kernel holds for its sockets."""

from __future__ import annotations

import re
import socket
import struct

from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

KIB = 1024
MIB = 1024 * KIB
PEAK_MEMORY = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)

LISTENING = "0A"


class Usage(NamedTuple):
    """Highest values seen so far."""

    memory_bytes: int
    """Resident memory of the process, unread and unsent bytes of its sockets, and its files."""

    descriptors: int


class ProcessUsage:
    """Samples the usage of the process ``pid``, which accepts connections at ``addresses``."""

    def __init__(self, pid: int, addresses: list[tuple[str, int]]) -> None:
        self._directory = Path(f"/proc/{pid}")
        self._addresses = {_kernel_notation(*address) for address in addresses}
        self._socket_bytes = 0
        self._file_bytes = 0
        self._descriptors = 0

    def sample(self) -> None:
        """Updates the highest values; a process that has ended adds nothing."""
        with suppress(FileNotFoundError, ProcessLookupError):
            self._socket_bytes = max(self._socket_bytes, self._queued_bytes())
            entries = list((self._directory / "fd").iterdir())
            self._descriptors = max(self._descriptors, len(entries))
            self._file_bytes = max(self._file_bytes, sum(_file_size(entry) for entry in entries))

    def peak(self) -> Usage:
        """Returns the highest values; the process must still be running."""
        self.sample()
        status = (self._directory / "status").read_text()
        found = PEAK_MEMORY.search(status)
        assert found is not None, status
        resident_bytes = int(found[1]) * KIB
        return Usage(resident_bytes + self._socket_bytes + self._file_bytes, self._descriptors)

    def _queued_bytes(self) -> int:
        total = 0
        for line in (self._directory / "net" / "tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1] in self._addresses and fields[3] != LISTENING:
                unsent, _, unread = fields[4].partition(":")
                total += int(unsent, 16) + int(unread, 16)
        return total


def _kernel_notation(ip: str, port: int) -> str:
    (address,) = struct.unpack("=I", socket.inet_aton(ip))
    return f"{address:08X}:{port:04X}"


def _file_size(entry: Path) -> int:
    try:
        return entry.stat().st_size if entry.is_file() else 0
    except OSError:
        return 0
