"""The one clock type of the project, in whole milliseconds."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000


class Reactor(Protocol):
    """The part of a twisted reactor that the services need: real, or ``task.Clock`` in tests."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Calls a function after ``delay`` seconds."""

    def seconds(self) -> float:
        """The reactor's time in seconds since an arbitrary point in the past."""


class Clock:
    """Reads a monotonic time source in milliseconds.

    Decisions receive ``now_ms`` as a plain integer and never a clock. Only the outer layers hold
    one, so that the same decisions run in a daemon and under virtual time:

        clock = system_clock()
        core.on_timer(clock.now_ms)
    """

    def __init__(self, source: Callable[[], int]) -> None:
        self._source = source

    @property
    def now_ms(self) -> int:
        """Milliseconds since an arbitrary point in the past; never decreases."""
        return self._source()


class ManualClock(Clock):
    """A clock that only moves when told to, for tests and randomised runs."""

    def __init__(self, start_ms: int = 0) -> None:
        super().__init__(self._read)
        self._now_ms = start_ms

    def advance(self, by_ms: int) -> None:
        """Moves the clock forward by ``by_ms`` milliseconds."""
        if by_ms < 0:
            raise ValueError("a clock never moves backwards")
        self._now_ms += by_ms

    def _read(self) -> int:
        return self._now_ms


def system_clock() -> Clock:
    """Makes a clock over the operating system's monotonic clock."""
    return Clock(lambda: time.monotonic_ns() // NS_PER_MS)


def suspend_aware_clock() -> Clock:
    """Makes a clock that also counts the time in which the machine was suspended.

    Leases go on running then, at the store and at the workers.
    """
    return Clock(lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS)


def wall_clock() -> Clock:
    """Makes a clock of Unix time; it may jump, and differs from host to host."""
    return Clock(unix_time_ms)


def to_seconds(duration_ms: int) -> float:
    """Converts milliseconds to the seconds that libraries expect."""
    return duration_ms / MS_PER_SECOND


def unix_time_ms() -> int:
    """Wall-clock time for records that people read; never used in a decision."""
    return time.time_ns() // NS_PER_MS


def reactor_clock(reactor: Any) -> Clock:
    """Makes a clock over the virtual time of ``twisted.internet.task.Clock``."""
    return Clock(lambda: round(reactor.seconds() * MS_PER_SECOND))
