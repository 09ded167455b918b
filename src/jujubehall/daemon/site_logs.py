"""Structured logs on standard output, bounded in volume and never blocking."""

from __future__ import annotations

import os
import sys

from collections import deque
from typing import Any

import msgspec
import structlog

LINES_PER_S = 150
"""Refill rate of the budget of lines: some 15 an accepted job at ten jobs a second."""

BURST_LINES = 1_500
MAX_BUFFERED_LINES = 2_000


class BoundedWriter:
    """Writes lines without blocking; drops them over a budget and says how many were dropped."""

    def __init__(self, descriptor: int, clock: Any) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._budget = float(BURST_LINES)
        self._refilled_s = clock()
        self._buffer: deque[bytes] = deque(maxlen=MAX_BUFFERED_LINES)
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line, or keeps it for the next call if the reader is behind."""
        now_s = self._clock()
        self._budget = min(
            float(BURST_LINES), self._budget + (now_s - self._refilled_s) * LINES_PER_S
        )
        self._refilled_s = now_s
        if self._budget < 1:
            self._dropped += 1
            return
        self._budget -= 1
        if self._dropped:
            self._buffer.append(
                msgspec.json.encode({"event": "lines suppressed", "count": self._dropped}) + b"\n"
            )
            self._dropped = 0
        self._buffer.append(line.encode() + b"\n")
        self._drain()

    def _drain(self) -> None:
        while self._buffer:
            line = self._buffer.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads standard output any more; that must not end the service.
                return
            if written < len(line):
                self._buffer.appendleft(line[written:])
                return


class _Logger:
    def __init__(self, writer: BoundedWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write(line)

    debug = info = warning = warn = error = critical = exception = fatal = log = msg


def configure_site_logs(entry_host: str) -> None:
    """Writes JSON lines, each with the time, the level and the entry host's name."""
    import time

    writer = BoundedWriter(sys.stdout.fileno(), time.monotonic)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(lambda each, **_: msgspec.json.encode(each).decode()),
        ],
        logger_factory=lambda *_: _Logger(writer),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(entry_host=entry_host)
