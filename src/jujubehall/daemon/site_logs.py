"""Structured logging to standard output, rate limited and non-blocking."""

from __future__ import annotations

import os
import sys

from collections import deque
from typing import Any

import msgspec
import structlog

RATE_LIMIT_LINES_PER_S = 150
"""Refill rate of the token bucket: about 15 lines per accepted job at 10 jobs per second."""

BURST_LINES = 1_500
RESERVED_LINES = 300
"""Part of the burst that only warnings and errors may use, which explain what goes wrong while many
routine lines are written: 2 s of the refill rate."""

MAX_BUFFERED_LINES = 2_000


class RateLimitedWriter:
    """Writes lines to a file descriptor without blocking, limited by a token bucket.

    Lines over the limit are dropped, routine lines first; their number is logged once lines are
    written again. If the reader is slow, up to ``MAX_BUFFERED_LINES`` lines are buffered, the oldest
    being discarded first.

    ``clock`` returns a monotonic time in seconds.
    """

    def __init__(self, descriptor: int, clock: Any) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = float(BURST_LINES)
        self._refilled_at_s = clock()
        self._buffer: deque[bytes] = deque(maxlen=MAX_BUFFERED_LINES)
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str, is_routine: bool = False) -> None:
        """Writes a line, or buffers it until the next call if the reader is slow."""
        now_s = self._clock()
        self._tokens = min(
            float(BURST_LINES),
            self._tokens + (now_s - self._refilled_at_s) * RATE_LIMIT_LINES_PER_S,
        )
        self._refilled_at_s = now_s
        if self._tokens < (RESERVED_LINES + 1 if is_routine else 1):
            self._dropped_lines += 1
            return
        self._tokens -= 1
        if self._dropped_lines:
            self._buffer.append(
                msgspec.json.encode({"event": "lines suppressed", "count": self._dropped_lines})
                + b"\n"
            )
            self._dropped_lines = 0
        self._buffer.append(line.encode() + b"\n")
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the pipe, which must not stop the service.
                return
            if written < len(line):
                self._buffer.appendleft(line[written:])
                return


class _Logger:
    def __init__(self, writer: RateLimitedWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        self._writer.write(line, is_routine=True)

    def warning(self, line: str) -> None:
        self._writer.write(line)

    debug = info = log = msg
    warn = error = critical = exception = fatal = warning


def configure_site_logs(entry_host: str) -> None:
    """Configures logging as JSON lines with the time, the level and the entry host's name."""
    import time

    writer = RateLimitedWriter(sys.stdout.fileno(), time.monotonic)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(
                lambda event, **_: msgspec.json.encode(event).decode()
            ),
        ],
        logger_factory=lambda *_: _Logger(writer),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(entry_host=entry_host)
