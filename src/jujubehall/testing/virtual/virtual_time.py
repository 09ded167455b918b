"""Virtual time that inserts each delayed call at its place instead of sorting all of them."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualTime(Clock):
    """A twisted clock for runs with thousands of calls pending."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> Any:
        """Calls a function after ``delay`` seconds of virtual time."""
        call = DelayedCall(
            self.seconds() + delay,
            callable,
            args,
            kw,
            self.calls.remove,
            lambda _: self.calls.sort(key=_time),
            self.seconds,
        )
        insort(self.calls, call, key=_time)
        return call

    def _sortCalls(self) -> None:  # noqa: N802
        """Does nothing: the calls are always in order."""


def _time(call: DelayedCall) -> float:
    return call.getTime()
