"""Hands out this entry host's slots at endpoints, and sheds early what can't be served in time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.core.requests.fair_queue import FairQueue

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.requests.endpoint_table import EndpointState
    from jujubehall.core.requests.endpoint_table import EndpointTable
    from jujubehall.core.requests.request import Request
    from jujubehall.identifiers import EndpointName
    from jujubehall.identifiers import TeamName

MAX_WAIT_MS = 250
FIRST_RUN_ESTIMATE_MS = 50
RUN_SMOOTHING = 0.1
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 30_000


class Refusal(msgspec.Struct, frozen=True):
    """Says why no slot was given, and after what time to ask again."""

    reason: str
    retry_after_ms: int = MIN_RETRY_AFTER_MS


class Waiter:
    """One attempt that waits for a slot."""

    def __init__(self, team: TeamName, excluded: Collection[EndpointName]) -> None:
        self.team = team
        self.excluded = excluded
        self.given: Deferred[EndpointState | Refusal] = Deferred()


class SlotQueue:
    """Gives slots at once or, for a short time, in turn by team."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        table: EndpointTable,
        allotment: Callable[[EndpointName], int],
    ) -> None:
        self._reactor: Any = reactor
        self._clock = clock
        self._table = table
        self._allotment = allotment
        self._queue: FairQueue[Waiter] = FairQueue()
        self._run_ms = float(FIRST_RUN_ESTIMATE_MS)

    def refusal(self, team: TeamName, give_up_at_ms: int) -> Refusal | None:
        """Says at once, before any cost, whether a request could not get a slot in time."""
        now_ms = self._clock.now_ms
        capacity = self._table.capacity(self._allotment, now_ms)
        if not capacity:
            return Refusal("no endpoint can take work")
        wait_ms = int(self._queue.ahead_of(team) * self._run_ms / capacity)
        if wait_ms > min(MAX_WAIT_MS, give_up_at_ms - now_ms):
            return Refusal("the queue for endpoints is too long", _retry_after_ms(wait_ms))
        return None

    async def acquire(
        self, request: Request, excluded: Collection[EndpointName], give_up_at_ms: int
    ) -> EndpointState | Refusal:
        """Takes a slot, waiting for it at most ``MAX_WAIT_MS`` milliseconds."""
        now_ms = self._clock.now_ms
        if now_ms >= give_up_at_ms:
            return Refusal("its deadline has passed")
        free = None
        if not len(self._queue):
            free = self._table.acquire(self._allotment, excluded, now_ms)
        if free is not None:
            return free
        refusal = self.refusal(request.team, give_up_at_ms)
        if refusal is not None:
            return refusal
        return await self._wait(Waiter(request.team, excluded), give_up_at_ms - now_ms)

    def release(self, endpoint: EndpointState, ran_ms: int) -> None:
        """Gives back a slot, after ``ran_ms`` milliseconds, and serves those that wait."""
        self._run_ms += RUN_SMOOTHING * (ran_ms - self._run_ms)
        self._table.release(endpoint)
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Gives the free slots to those that wait, one team after the other."""
        given: list[EndpointState] = []

        def accepts(waiter: Waiter) -> bool:
            free = self._table.acquire(self._allotment, waiter.excluded, self._clock.now_ms)
            if free is not None:
                given.append(free)
            return free is not None

        while len(self._queue):
            waiter = self._queue.take(accepts)
            if waiter is None:
                return
            waiter.given.callback(given.pop())

    async def _wait(self, waiter: Waiter, left_ms: int) -> EndpointState | Refusal:
        dropped = self._queue.add(waiter.team, waiter)
        if dropped is not None:
            dropped.given.callback(Refusal("the team's queue is too long"))
        wait_ms = min(MAX_WAIT_MS, left_ms)
        timer = self._reactor.callLater(to_seconds(wait_ms), self._give_up, waiter)
        given = await waiter.given
        if timer.active():
            timer.cancel()
        return given

    def _give_up(self, waiter: Waiter) -> None:
        if not waiter.given.called:
            self._queue.remove(waiter.team, waiter)
            waiter.given.callback(Refusal("no endpoint had a free slot in time"))


def _retry_after_ms(wait_ms: int) -> int:
    return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms))
