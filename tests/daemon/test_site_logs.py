"""Logs are bounded in volume and never block."""

from __future__ import annotations

import os

import pytest

from jujubehall.daemon.site_logs import BURST_LINES
from jujubehall.daemon.site_logs import LINES_PER_S
from jujubehall.daemon.site_logs import MAX_BUFFERED_LINES
from jujubehall.daemon.site_logs import BoundedWriter


class FakeTime:
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


def test_lines_over_the_budget_are_counted_and_left_out() -> None:
    reader, writer = os.pipe()
    time = FakeTime()
    bounded = BoundedWriter(writer, time)
    for _ in range(BURST_LINES + 7):
        bounded.write("x")
    assert len(read_all(reader).splitlines()) == BURST_LINES
    time.now_s = 1.0
    bounded.write("y")
    assert read_all(reader).splitlines() == [b'{"event":"lines suppressed","count":7}', b"y"]
    assert LINES_PER_S > 1


def test_a_reader_that_is_behind_blocks_nobody() -> None:
    reader, writer = os.pipe()
    time = FakeTime()
    bounded = BoundedWriter(writer, time)
    for number in range(2 * MAX_BUFFERED_LINES):
        time.now_s += 1.0
        bounded.write(f"{number:0100}")
    first = read_all(reader)
    time.now_s += 1.0
    bounded.write("last")
    lines = (first + read_all(reader)).splitlines()
    assert lines[0] == b"0" * 100
    assert all(len(each) in (4, 100) for each in lines[-10:])


def test_a_closed_reader_ends_nothing() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    bounded = BoundedWriter(writer, FakeTime())
    bounded.write("x")
    with pytest.raises(BrokenPipeError):
        os.write(writer, b"x")
