"""Log output is rate limited and never blocks the daemon."""

from __future__ import annotations

import os

import pytest

from jujubehall.daemon.site_logs import BURST_LINES
from jujubehall.daemon.site_logs import MAX_BUFFERED_LINES
from jujubehall.daemon.site_logs import RATE_LIMIT_LINES_PER_S
from jujubehall.daemon.site_logs import RESERVED_LINES
from jujubehall.daemon.site_logs import RateLimitedWriter


class FakeClock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def read_all(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    content = b""
    while True:
        try:
            part = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            return content
        if not part:
            return content
        content += part


def test_lines_over_the_rate_limit_are_dropped_and_counted() -> None:
    reader, writer = os.pipe()
    clock = FakeClock()
    log_writer = RateLimitedWriter(writer, clock)
    for _ in range(BURST_LINES + 7):
        log_writer.write("x")
    assert len(read_all(reader).splitlines()) == BURST_LINES
    clock.now_s = 1.0
    log_writer.write("y")
    assert read_all(reader).splitlines() == [b'{"event":"lines suppressed","count":7}', b"y"]
    assert RATE_LIMIT_LINES_PER_S > 1


def test_routine_lines_do_not_suppress_warnings() -> None:
    reader, writer = os.pipe()
    log_writer = RateLimitedWriter(writer, FakeClock())
    for _ in range(2 * BURST_LINES):
        log_writer.write("routine", is_routine=True)
    for _ in range(RESERVED_LINES - 1):
        log_writer.write("warning")
    lines = read_all(reader).splitlines()
    assert lines.count(b"warning") == RESERVED_LINES - 1
    assert lines.count(b"routine") == BURST_LINES - RESERVED_LINES


def test_slow_reader_does_not_block_the_writer() -> None:
    reader, writer = os.pipe()
    clock = FakeClock()
    log_writer = RateLimitedWriter(writer, clock)
    for number in range(2 * MAX_BUFFERED_LINES):
        clock.now_s += 1.0
        log_writer.write(f"{number:0100}")
    first = read_all(reader)
    clock.now_s += 1.0
    log_writer.write("last")
    lines = (first + read_all(reader)).splitlines()
    assert lines[0] == b"0" * 100
    assert all(len(line) in (4, 100) for line in lines[-10:])


def test_closed_reader_does_not_raise() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    log_writer = RateLimitedWriter(writer, FakeClock())
    log_writer.write("x")
    with pytest.raises(BrokenPipeError):
        os.write(writer, b"x")
