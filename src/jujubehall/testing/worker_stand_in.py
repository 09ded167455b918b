"""HTTP stand-in for a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err

from jujubehall.http.router import HttpRequest
from jujubehall.http.router import HttpResponse
from jujubehall.http.router import Router
from jujubehall.testing.worker_state import WorkerBehaviour
from jujubehall.workers.messages import Checkpoint
from jujubehall.workers.messages import CommandRefused
from jujubehall.workers.messages import Fence
from jujubehall.workers.messages import Renew
from jujubehall.workers.messages import Reserve
from jujubehall.workers.messages import Resources
from jujubehall.workers.messages import StartTask
from jujubehall.workers.messages import StopTask
from jujubehall.workers.messages import Throttle

if TYPE_CHECKING:
    from result import Result

    from jujubehall.errors import Failure
    from jujubehall.testing.worker_state import WorkerState
    from jujubehall.workers.messages import Inventory

routes = Router()


class WorkerStandIn:
    """Serves a ``WorkerState`` over HTTP."""

    def __init__(self, state: WorkerState) -> None:
        self._state = state

    @routes.register("GET", "/v1/inventory")
    async def inventory(self, call: HttpRequest) -> HttpResponse:
        """Returns the inventory."""
        return HttpResponse(200, self._state.inventory())

    @routes.register("POST", "/v1/fence")
    async def fence(self, call: HttpRequest) -> HttpResponse:
        """Raises the fencing epoch and returns the inventory."""
        return self._to_response(self._state.fence(call.decode(Fence)))

    @routes.register("POST", "/v1/reserve")
    async def reserve(self, call: HttpRequest) -> HttpResponse:
        """Reserves resources for a task."""
        return self._to_response(self._state.reserve(call.decode(Reserve)))

    @routes.register("POST", "/v1/start")
    async def start(self, call: HttpRequest) -> HttpResponse:
        """Starts a reserved task."""
        return self._to_response(self._state.start(call.decode(StartTask)))

    @routes.register("POST", "/v1/renew")
    async def renew(self, call: HttpRequest) -> HttpResponse:
        """Renews the leases of tasks."""
        return self._to_response(self._state.renew(call.decode(Renew)))

    @routes.register("POST", "/v1/checkpoint")
    async def checkpoint(self, call: HttpRequest) -> HttpResponse:
        """Checkpoints a running task."""
        return self._to_response(self._state.checkpoint(call.decode(Checkpoint)))

    @routes.register("POST", "/v1/stop")
    async def stop(self, call: HttpRequest) -> HttpResponse:
        """Stops a task or releases its reservation."""
        return self._to_response(self._state.stop(call.decode(StopTask)))

    @routes.register("POST", "/v1/throttle")
    async def throttle(self, call: HttpRequest) -> HttpResponse:
        """Limits the CPU time of a running task."""
        return self._to_response(self._state.throttle(call.decode(Throttle)))

    @routes.register("PUT", "/test/behaviour")
    async def set_behaviour(self, call: HttpRequest) -> HttpResponse:
        """Replaces the configured behaviour."""
        self._state.behaviour = call.decode(WorkerBehaviour)
        return HttpResponse(200)

    @routes.register("PUT", "/test/foreign")
    async def set_foreign(self, call: HttpRequest) -> HttpResponse:
        """Sets the resources that tasks of the older scheduler use on this worker."""
        self._state.set_foreign_use(call.decode(Resources))
        return HttpResponse(200)

    @routes.register("GET", "/test/started")
    async def started(self, call: HttpRequest) -> HttpResponse:
        """Returns pairs of a task key and the number of times that the task was started."""
        started = [(msgspec.to_builtins(key), n) for key, n in self._state.start_counts.items()]
        return HttpResponse(200, started)

    def _to_response(self, result: Result[Inventory, Failure]) -> HttpResponse:
        if isinstance(result, Err):
            epoch = self._state.inventory().epoch
            return HttpResponse(409, CommandRefused(result.err_value.detail, epoch))
        return HttpResponse(200, result.ok_value)
