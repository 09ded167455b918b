"""An endpoint's stand-in: eight slots, leaving, and late or crossed answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.endpoints.messages import Work
from jujubehall.endpoints.messages import WorkDone
from jujubehall.endpoints.messages import WorkRefused
from jujubehall.http.router import Call
from jujubehall.http.router import Reply
from jujubehall.http.router import Router
from jujubehall.identifiers import RequestId

if TYPE_CHECKING:
    from jujubehall.clock import Reactor

SLOTS = 8

routes = Router()


class EndpointBehaviour(msgspec.Struct, frozen=True):
    """How the stand-in behaves.

    ``run_ms`` is the time each request takes; ``leaving`` refuses new work; ``fail`` answers 500
    at once; ``cross`` answers with the identifier of another request; ``late_ms`` holds answers
    back after the run; ``truncate`` sends half of each answer.
    """

    run_ms: int = 5
    leaving: bool = False
    fail: bool = False
    cross: bool = False
    late_ms: int = 0
    truncate: bool = False


class EndpointStandIn:
    """Runs requests by waiting; counts how often each identifier ran."""

    def __init__(self, reactor: Reactor, name: str, behaviour: EndpointBehaviour) -> None:
        self._reactor = reactor
        self._name = name
        self._behaviour = behaviour
        self._running = 0
        self._most_running = 0
        self._runs: dict[RequestId, int] = {}

    @routes.register("POST", "/v1/work")
    async def work(self, call: Call) -> Reply:
        """Runs one request, or refuses it without running it."""
        work = call.decode(Work)
        behaviour = self._behaviour
        if behaviour.leaving:
            return Reply(503, WorkRefused(work.id, leaving=True))
        if self._running >= SLOTS:
            return Reply(503, WorkRefused(work.id, busy=True))
        self._runs[work.id] = self._runs.get(work.id, 0) + 1
        if behaviour.fail:
            return Reply(500, "failed")
        await self._run(behaviour.run_ms)
        if behaviour.late_ms:
            await self._sleep(behaviour.late_ms)
        return self._answer(work, behaviour)

    @routes.register("PUT", "/test/behaviour")
    async def set_behaviour(self, call: Call) -> Reply:
        """Replaces the behaviour."""
        self._behaviour = call.decode(EndpointBehaviour)
        return Reply(200)

    @routes.register("GET", "/test/runs")
    async def runs(self, call: Call) -> Reply:
        """Reads how often each identifier ran and the most that ran at once."""
        return Reply(200, {"runs": self._runs, "most_running": self._most_running})

    async def _run(self, duration_ms: int) -> None:
        self._running += 1
        self._most_running = max(self._most_running, self._running)
        try:
            await self._sleep(duration_ms)
        finally:
            self._running -= 1

    def _answer(self, work: Work, behaviour: EndpointBehaviour) -> Reply:
        answered = RequestId(f"{work.id}-crossed") if behaviour.cross else work.id
        done = WorkDone(answered, {"endpoint": self._name, "kind": work.kind})
        if behaviour.truncate:
            encoded = msgspec.json.encode(done)
            return Reply(200, encoded[: len(encoded) // 2])
        return Reply(200, done)

    def _sleep(self, duration_ms: int) -> Deferred[None]:
        slept: Deferred[None] = Deferred()
        self._reactor.callLater(to_seconds(duration_ms), slept.callback, None)
        return slept
