"""Waiting and repeating on a reactor, real or virtual."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import structlog

from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable
    from random import Random

    from jujubehall.clock import Reactor

AFTER_ERROR_MS = 500
"""Keeps a loop that fails at once each time from taking the whole processor."""

FIRST_BACK_OFF_MS = 100
MAX_BACK_OFF_MS = 5_000

log = structlog.get_logger()


def sleep(reactor: Reactor, duration_ms: int) -> Deferred[None]:
    """Waits ``duration_ms`` milliseconds of the reactor's time."""
    slept: Deferred[None] = Deferred()
    reactor.callLater(to_seconds(duration_ms), slept.callback, None)
    return slept


def start(coroutine: Coroutine[Any, Any, Any]) -> Deferred[Any]:
    """Runs a coroutine in the background; an escaping exception is logged by twisted."""
    return Deferred.fromCoroutine(coroutine)


def first_of(*deferreds: Deferred[Any]) -> Deferred[Any]:
    """Fires with the result of the first that fires; those of the others are dropped."""
    first: Deferred[Any] = Deferred()

    def fire(result: Any) -> None:
        if not first.called:
            first.callback(result)

    for each in deferreds:
        each.addCallback(fire)
    return first


async def gather(coroutines: Iterable[Coroutine[Any, Any, Any]]) -> list[Any]:
    """Runs coroutines side by side and returns their results in order."""
    return [await each for each in [start(coroutine) for coroutine in coroutines]]


async def repeat(
    reactor: Reactor,
    name: str,
    step: Callable[[], Awaitable[None]],
    is_over: Callable[[], bool],
) -> None:
    """Runs ``step`` again and again until ``is_over``; an exception is logged and survived.

    A loop that died with the first unforeseen error would leave its work undone for ever.
    """
    while not is_over():
        try:
            await step()
        except Exception as error:
            log.error("loop failed", loop=name, error=repr(error))
            await sleep(reactor, AFTER_ERROR_MS)


class BackOff:
    """Exponential back-off with full jitter, so that the end of an outage is no stampede."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._bound_ms = FIRST_BACK_OFF_MS

    def next_ms(self) -> int:
        """The next waiting time in milliseconds, between half the present bound and the bound."""
        wait_ms = self._random.randint(self._bound_ms // 2, self._bound_ms)
        self._bound_ms = min(2 * self._bound_ms, MAX_BACK_OFF_MS)
        return wait_ms

    def reset(self) -> None:
        """Starts again from the first bound, after a success."""
        self._bound_ms = FIRST_BACK_OFF_MS
