"""Virtual clock that is efficient with many pending calls."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualTime(Clock):
    """Twisted ``Clock`` that inserts each call in order instead of sorting all calls each time."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Calls a function after ``delay`` seconds; simultaneous calls run in scheduling order."""
        due_at_s = self.seconds() + delay
        call: Any = DelayedCall(
            due_at_s,
            callable,
            args,
            kw,
            self.calls.remove,
            self._sort_after_reschedule,
            self.seconds,
        )
        insort(self.calls, call, key=_due_time_s)
        return call

    def _sortCalls(self) -> None:  # noqa: N802
        """Does nothing, because ``callLater`` keeps the calls sorted."""

    def _sort_after_reschedule(self, call: DelayedCall) -> None:
        self.calls.sort(key=_due_time_s)


def _due_time_s(call: Any) -> float:
    due_at_s: float = call.getTime()
    return due_at_s
