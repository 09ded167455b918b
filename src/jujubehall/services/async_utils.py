"""Helpers for delays, background tasks, retries and loops on a real or virtual reactor."""

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

ERROR_RETRY_DELAY_MS = 500
"""Delay after an exception in a loop, so that a loop that always fails doesn't use a full CPU."""

INITIAL_BACK_OFF_MS = 100
MAX_BACK_OFF_MS = 5_000

log = structlog.get_logger()


def sleep(reactor: Reactor, duration_ms: int) -> Deferred[None]:
    """Returns a Deferred that fires after ``duration_ms`` milliseconds of the reactor's time."""
    deferred: Deferred[None] = Deferred()
    reactor.callLater(to_seconds(duration_ms), deferred.callback, None)
    return deferred


def run_in_background(coroutine: Coroutine[Any, Any, Any]) -> Deferred[Any]:
    """Runs a coroutine in the background. Twisted logs an exception that nobody handles."""
    return Deferred.fromCoroutine(coroutine)


def first_result(*deferreds: Deferred[Any]) -> Deferred[Any]:
    """Returns a Deferred that fires with the first result; later results are discarded."""
    first: Deferred[Any] = Deferred()

    def fire(result: Any) -> None:
        if not first.called:
            first.callback(result)

    for each in deferreds:
        each.addCallback(fire)
    return first


async def gather(coroutines: Iterable[Coroutine[Any, Any, Any]]) -> list[Any]:
    """Runs coroutines concurrently and returns their results in order."""
    return [await each for each in [run_in_background(coroutine) for coroutine in coroutines]]


async def run_loop(
    reactor: Reactor,
    name: str,
    step: Callable[[], Awaitable[None]],
    is_over: Callable[[], bool],
) -> None:
    """Runs ``step`` repeatedly until ``is_over`` returns true.

    Exceptions are logged and don't end the loop: otherwise the first unexpected error would stop
    the loop's work for good.
    """
    while not is_over():
        try:
            await step()
        except Exception as error:
            log.error("loop iteration failed", loop=name, error=repr(error))
            await sleep(reactor, ERROR_RETRY_DELAY_MS)


class BackOff:
    """Exponential back-off with jitter, so that clients don't all retry at once after an outage."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._bound_ms = INITIAL_BACK_OFF_MS

    def next_delay_ms(self) -> int:
        """Returns the next delay in milliseconds and doubles the bound.

        The delay is random, between half of the current bound and the bound.
        """
        wait_ms = self._random.randint(self._bound_ms // 2, self._bound_ms)
        self._bound_ms = min(2 * self._bound_ms, MAX_BACK_OFF_MS)
        return wait_ms

    def reset(self) -> None:
        """Resets the bound to its initial value after a success."""
        self._bound_ms = INITIAL_BACK_OFF_MS
