"""Reactor of one simulated process, which can be suspended and killed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.testing.virtual.virtual_time import VirtualTime


class HostReactor:
    """Runs the callbacks of one entry host on virtual time shared by all hosts.

    ``suspend`` simulates SIGSTOP: due callbacks are queued until ``resume`` while time goes on.
    ``kill`` simulates SIGKILL: pending and later callbacks are discarded.
    """

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self._is_suspended = False
        self._is_killed = False
        self._queued: list[Callable[[], object]] = []

    @property
    def is_killed(self) -> bool:
        """Whether the simulated process was killed."""
        return self._is_killed

    @property
    def is_suspended(self) -> bool:
        """Whether the simulated process is suspended."""
        return self._is_suspended

    def seconds(self) -> float:
        """Returns the virtual time in seconds; it advances also while the process is suspended."""
        return self._time.seconds()

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Calls a function after ``delay`` seconds, or at ``resume`` if suspended at that time."""
        return self._time.callLater(max(0.0, delay), self._dispatch, lambda: callable(*args, **kw))

    def suspend(self) -> None:
        """Suspends the process: due callbacks are queued from now on."""
        self._is_suspended = True

    def resume(self) -> None:
        """Resumes the process and runs the queued callbacks in order."""
        self._is_suspended = False
        queued, self._queued = self._queued, []
        for callback in queued:
            self._dispatch(callback)

    def kill(self) -> None:
        """Kills the process: pending and later callbacks are discarded."""
        self._is_killed = True
        self._queued.clear()

    def _dispatch(self, callback: Callable[[], object]) -> None:
        if self._is_killed:
            return
        if self._is_suspended:
            self._queued.append(callback)
        else:
            callback()
