"""HTTP client that sends commands to workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient
from jujubehall.metrics import WORKER_COMMANDS
from jujubehall.metrics import result_label
from jujubehall.workers.messages import Inventory

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.workers.messages import Checkpoint
    from jujubehall.workers.messages import Fence
    from jujubehall.workers.messages import Renew
    from jujubehall.workers.messages import Reserve
    from jujubehall.workers.messages import StartTask
    from jujubehall.workers.messages import StopTask
    from jujubehall.workers.messages import Throttle

COMMAND_TIMEOUT_MS = 1_000
PEER = "worker"


class WorkerClient:
    """Implements ``jujubehall.workers.interface.Workers`` over HTTP."""

    def __init__(self, reactor: Reactor) -> None:
        self._http = HttpClient(reactor, PEER, max_idle_connections_per_peer=1)

    async def inventory(self, address: str) -> Result[Inventory, Failure]:
        """Reads a worker's resources and tasks."""
        return await self._call("read inventory", "GET", f"{address}/v1/inventory")

    async def fence(self, address: str, command: Fence) -> Result[Inventory, Failure]:
        """Raises a worker's fencing epoch."""
        return await self._command("fence", address, command)

    async def reserve(self, address: str, command: Reserve) -> Result[Inventory, Failure]:
        """Reserves resources for a task."""
        return await self._command("reserve", address, command)

    async def start(self, address: str, command: StartTask) -> Result[Inventory, Failure]:
        """Starts a reserved task."""
        return await self._command("start", address, command)

    async def renew(self, address: str, command: Renew) -> Result[Inventory, Failure]:
        """Renews the leases of tasks."""
        return await self._command("renew", address, command)

    async def checkpoint(self, address: str, command: Checkpoint) -> Result[Inventory, Failure]:
        """Makes a task save a checkpoint."""
        return await self._command("checkpoint", address, command)

    async def stop(self, address: str, command: StopTask) -> Result[Inventory, Failure]:
        """Stops a task or cancels its reservation."""
        return await self._command("stop", address, command)

    async def throttle(self, address: str, command: Throttle) -> Result[Inventory, Failure]:
        """Limits a task's share of processor time."""
        return await self._command("throttle", address, command)

    async def _command(
        self, step: str, address: str, command: object
    ) -> Result[Inventory, Failure]:
        result = await self._call(step, "POST", f"{address}/v1/{step}", command)
        WORKER_COMMANDS.inc({"step": step, "result": result_label(result)})
        return result

    async def _call(
        self, step: str, method: str, url: str, body: object | None = None
    ) -> Result[Inventory, Failure]:
        result = await self._http.call(step, method, url, body, timeout_ms=COMMAND_TIMEOUT_MS)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status == 409:
            return Err(Failure(FailureKind.CONFLICT, step, url, response.body.decode()))
        try:
            if response.status == 200:
                return Ok(response.decode(Inventory))
        except msgspec.DecodeError as error:
            return Err(Failure(FailureKind.NO_ANSWER, step, url, str(error)))
        return Err(Failure(FailureKind.NO_ANSWER, step, url, f"status {response.status}"))
