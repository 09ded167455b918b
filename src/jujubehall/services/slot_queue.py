"""Assigns this entry host's endpoint slots to requests.

Requests that can't get a slot in time are refused early (load shedding).
"""

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

MAX_SLOT_WAIT_MS = 250
INITIAL_RUN_ESTIMATE_MS = 50
RUN_ESTIMATE_SMOOTHING = 0.1
"""Weight of the latest run in the moving average of run times."""

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 30_000


class Refusal(msgspec.Struct, frozen=True):
    """Why no slot was assigned, and after how many milliseconds to retry."""

    reason: str
    retry_after_ms: int = MIN_RETRY_AFTER_MS


class Waiter:
    """A queued attempt to get a slot; its deferred fires with an endpoint or a refusal."""

    def __init__(self, team: TeamName, excluded: Collection[EndpointName]) -> None:
        self.team = team
        self.excluded = excluded
        self.slot: Deferred[EndpointState | Refusal] = Deferred()


class SlotQueue:
    """Assigns free slots immediately, and otherwise queues requests fairly by team.

    A request waits at most ``MAX_SLOT_WAIT_MS`` milliseconds.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        endpoint_table: EndpointTable,
        allotment: Callable[[EndpointName], int],
    ) -> None:
        self._reactor: Any = reactor
        self._clock = clock
        self._endpoint_table = endpoint_table
        self._allotment = allotment
        self._queue: FairQueue[Waiter] = FairQueue()
        self._run_estimate_ms = float(INITIAL_RUN_ESTIMATE_MS)

    def expected_refusal(self, team: TeamName, deadline_at_ms: int) -> Refusal | None:
        """Returns a refusal if a request of ``team`` can't expect a slot in time, else None."""
        now_ms = self._clock.now_ms
        capacity = self._endpoint_table.capacity(self._allotment, now_ms)
        if not capacity:
            return Refusal("no endpoint accepts requests")
        wait_ms = int(self._queue.count_ahead_of_new_entry(team) * self._run_estimate_ms / capacity)
        if wait_ms > min(MAX_SLOT_WAIT_MS, deadline_at_ms - now_ms):
            return Refusal(
                "the estimated wait for an endpoint slot is too long", _retry_after_ms(wait_ms)
            )
        return None

    async def acquire(
        self, request: Request, excluded: Collection[EndpointName], deadline_at_ms: int
    ) -> EndpointState | Refusal:
        """Acquires a slot at an endpoint that is not in ``excluded``.

        Waits at most ``MAX_SLOT_WAIT_MS`` milliseconds, and not beyond ``deadline_at_ms``.
        """
        now_ms = self._clock.now_ms
        if now_ms >= deadline_at_ms:
            return Refusal("the request's deadline has passed")
        endpoint = None
        if not len(self._queue):
            endpoint = self._endpoint_table.acquire(self._allotment, excluded, now_ms)
        if endpoint is not None:
            return endpoint
        refusal = self.expected_refusal(request.team, deadline_at_ms)
        if refusal is not None:
            return refusal
        return await self._wait(Waiter(request.team, excluded), deadline_at_ms - now_ms)

    def release(self, endpoint: EndpointState, run_ms: int) -> None:
        """Releases a slot that was used for ``run_ms`` milliseconds; serves waiting attempts."""
        self._run_estimate_ms += RUN_ESTIMATE_SMOOTHING * (run_ms - self._run_estimate_ms)
        self._endpoint_table.release(endpoint)
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Assigns free slots to waiting attempts, in turn by team."""
        acquired: list[EndpointState] = []

        def try_acquire(waiter: Waiter) -> bool:
            endpoint = self._endpoint_table.acquire(
                self._allotment, waiter.excluded, self._clock.now_ms
            )
            if endpoint is not None:
                acquired.append(endpoint)
            return endpoint is not None

        while len(self._queue):
            waiter = self._queue.dequeue(try_acquire)
            if waiter is None:
                return
            waiter.slot.callback(acquired.pop())

    async def _wait(self, waiter: Waiter, remaining_ms: int) -> EndpointState | Refusal:
        dropped = self._queue.enqueue(waiter.team, waiter)
        if dropped is not None:
            dropped.slot.callback(Refusal("the team's queue is full"))
        wait_ms = min(MAX_SLOT_WAIT_MS, remaining_ms)
        timer = self._reactor.callLater(to_seconds(wait_ms), self._time_out, waiter)
        acquired = await waiter.slot
        if timer.active():
            timer.cancel()
        return acquired

    def _time_out(self, waiter: Waiter) -> None:
        if not waiter.slot.called:
            self._queue.remove(waiter.team, waiter)
            waiter.slot.callback(Refusal("timed out waiting for an endpoint slot"))


def _retry_after_ms(wait_ms: int) -> int:
    return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms))
