"""The reactor of one entry host under virtual time; it can be frozen and killed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.testing.virtual.virtual_time import VirtualTime


class HostReactor:
    """Runs an entry host's callbacks on shared virtual time.

    Freezing holds every callback back while time goes on, as SIGSTOP does to a process; killing
    drops them for ever, as SIGKILL does.
    """

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self._frozen = False
        self._killed = False
        self._held: list[Callable[[], object]] = []

    @property
    def is_killed(self) -> bool:
        """Whether the process is dead."""
        return self._killed

    @property
    def is_frozen(self) -> bool:
        """Whether the process is stopped for a while."""
        return self._frozen

    def seconds(self) -> float:
        """Seconds of virtual time; they pass also while the process is frozen."""
        return self._time.seconds()

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Calls a function after ``delay`` seconds, or at the thaw if frozen then."""
        return self._time.callLater(max(0.0, delay), self._fire, lambda: callable(*args, **kw))

    def freeze(self) -> None:
        """Holds callbacks back from now on."""
        self._frozen = True

    def thaw(self) -> None:
        """Runs the callbacks held back, in order, and those to come."""
        self._frozen = False
        held, self._held = self._held, []
        for callback in held:
            self._fire(callback)

    def kill(self) -> None:
        """Drops every callback from now on."""
        self._killed = True
        self._held.clear()

    def _fire(self, callback: Callable[[], object]) -> None:
        if self._killed:
            return
        if self._frozen:
            self._held.append(callback)
        else:
            callback()
