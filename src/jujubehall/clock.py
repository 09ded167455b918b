"""The only clock type of the project; all times are in whole milliseconds."""

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
    """The subset of a Twisted reactor that the services use.

    It is a real reactor in a daemon and a ``twisted.internet.task.Clock`` in tests.
    """

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Schedules a call of ``callable`` after ``delay`` seconds."""

    def seconds(self) -> float:
        """Returns the reactor's time in seconds since an arbitrary point in the past."""


class Clock:
    """A clock that reads ``source``, a function that returns milliseconds.

    The decision logic receives ``now_ms`` as an integer and never a clock. Only the outer layers
    have a clock, so that the same logic runs in a daemon and in virtual time:

        clock = system_clock()
        core.on_timer(clock.now_ms)
    """

    def __init__(self, source: Callable[[], int]) -> None:
        self._source = source

    @property
    def now_ms(self) -> int:
        """The current time in milliseconds.

        Except for wall clocks, it counts from an arbitrary point in the past and never decreases.
        """
        return self._source()


class ManualClock(Clock):
    """A clock that advances only on request, for tests and randomised runs."""

    def __init__(self, start_ms: int = 0) -> None:
        super().__init__(self._read)
        self._now_ms = start_ms

    def advance(self, by_ms: int) -> None:
        """Advances the clock by ``by_ms`` milliseconds.

        Raises ``ValueError`` if ``by_ms`` is negative.
        """
        if by_ms < 0:
            raise ValueError("cannot advance a clock by a negative time")
        self._now_ms += by_ms

    def _read(self) -> int:
        return self._now_ms


def system_clock() -> Clock:
    """Returns a clock based on the operating system's monotonic clock."""
    return Clock(lambda: time.monotonic_ns() // NS_PER_MS)


def suspend_aware_clock() -> Clock:
    """Returns a monotonic clock that includes the time during which the host was suspended.

    Leases at the store and at the workers keep running during that time.
    """
    return Clock(lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS)


def wall_clock() -> Clock:
    """Returns a clock of Unix time, which may jump and differs between hosts."""
    return Clock(unix_time_ms)


def to_seconds(duration_ms: int) -> float:
    """Converts milliseconds to seconds, which libraries expect."""
    return duration_ms / MS_PER_SECOND


def unix_time_ms() -> int:
    """Returns the Unix time in milliseconds for records that people read.

    It is never used in a decision.
    """
    return time.time_ns() // NS_PER_MS


def reactor_clock(reactor: Any) -> Clock:
    """Returns a clock based on the virtual time of a ``twisted.internet.task.Clock``."""
    return Clock(lambda: round(reactor.seconds() * MS_PER_SECOND))
