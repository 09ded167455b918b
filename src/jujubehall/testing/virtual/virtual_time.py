"""Virtual time for many pending calls."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualTime(Clock):
    """twisted's ``Clock``, with each call put in its place instead of sorting all of them."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Calls a function after ``delay`` seconds; calls of one moment keep their order."""
        at_s = self.seconds() + delay
        call: Any = DelayedCall(
            at_s, callable, args, kw, self.calls.remove, self._resort, self.seconds
        )
        insort(self.calls, call, key=_time_of)
        return call

    def _sortCalls(self) -> None:  # noqa: N802
        """The calls are in order already."""

    def _resort(self, call: DelayedCall) -> None:
        self.calls.sort(key=_time_of)


def _time_of(call: Any) -> float:
    time: float = call.getTime()
    return time
