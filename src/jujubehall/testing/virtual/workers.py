"""Simulated worker client of one entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.services.async_utils import sleep
from jujubehall.workers.client import COMMAND_TIMEOUT_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.network import Network
    from jujubehall.testing.worker_state import WorkerState
    from jujubehall.workers.messages import Checkpoint
    from jujubehall.workers.messages import Fence
    from jujubehall.workers.messages import Inventory
    from jujubehall.workers.messages import Renew
    from jujubehall.workers.messages import Reserve
    from jujubehall.workers.messages import StartTask
    from jujubehall.workers.messages import StopTask
    from jujubehall.workers.messages import Throttle


class VirtualWorkers:
    """Implements ``jujubehall.workers.interface.Workers`` for one entry host.

    The address of a simulated worker is its name.
    """

    def __init__(
        self,
        reactor: HostReactor,
        network: Network,
        host: str,
        workers: dict[str, WorkerState],
    ) -> None:
        self._reactor = reactor
        self._network = network
        self._host = host
        self._workers = workers

    async def inventory(self, address: str) -> Result[Inventory, Failure]:
        """Returns the inventory."""
        return await self._call("read inventory", address, lambda worker: Ok(worker.inventory()))

    async def fence(self, address: str, command: Fence) -> Result[Inventory, Failure]:
        """Raises the fencing epoch."""
        return await self._call("fence", address, lambda worker: worker.fence(command))

    async def reserve(self, address: str, command: Reserve) -> Result[Inventory, Failure]:
        """Reserves resources for a task."""
        return await self._call("reserve", address, lambda worker: worker.reserve(command))

    async def start(self, address: str, command: StartTask) -> Result[Inventory, Failure]:
        """Starts a reserved task."""
        return await self._call("start", address, lambda worker: worker.start(command))

    async def renew(self, address: str, command: Renew) -> Result[Inventory, Failure]:
        """Renews the leases of tasks."""
        return await self._call("renew", address, lambda worker: worker.renew(command))

    async def checkpoint(self, address: str, command: Checkpoint) -> Result[Inventory, Failure]:
        """Checkpoints a running task."""
        return await self._call("checkpoint", address, lambda worker: worker.checkpoint(command))

    async def stop(self, address: str, command: StopTask) -> Result[Inventory, Failure]:
        """Stops a task or releases its reservation."""
        return await self._call("stop", address, lambda worker: worker.stop(command))

    async def throttle(self, address: str, command: Throttle) -> Result[Inventory, Failure]:
        """Limits the CPU time of a running task."""
        return await self._call("throttle", address, lambda worker: worker.throttle(command))

    async def _call(
        self,
        step: str,
        address: str,
        operation: Callable[[WorkerState], Result[Inventory, Failure]],
    ) -> Result[Inventory, Failure]:
        await sleep(self._reactor, self._network.random_latency_ms())
        worker = self._workers.get(address)
        if worker is None or worker.is_down or self._network.is_disconnected(self._host, address):
            return await self._time_out(step, address)
        if worker.command_delay_ms:
            await sleep(self._reactor, min(worker.command_delay_ms, COMMAND_TIMEOUT_MS))
        result = operation(worker)
        await sleep(self._reactor, self._network.random_latency_ms())
        response_lost = worker.command_delay_ms >= COMMAND_TIMEOUT_MS
        if response_lost or self._network.is_disconnected(self._host, address):
            return await self._time_out(step, address)
        return result

    async def _time_out(self, step: str, address: str) -> Result[Inventory, Failure]:
        await sleep(self._reactor, COMMAND_TIMEOUT_MS)
        return Err(Failure(FailureKind.NO_ANSWER, step, address, "timed out"))
