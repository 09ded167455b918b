"""Interface to the workers, implemented by the HTTP client and by test fakes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from result import Result

    from jujubehall.errors import Failure
    from jujubehall.workers.messages import Checkpoint
    from jujubehall.workers.messages import Fence
    from jujubehall.workers.messages import Inventory
    from jujubehall.workers.messages import Renew
    from jujubehall.workers.messages import Reserve
    from jujubehall.workers.messages import StartTask
    from jujubehall.workers.messages import StopTask
    from jujubehall.workers.messages import Throttle


class Workers(Protocol):
    """Commands to the worker at an address.

    Every successful command returns the worker's inventory after the command. ``CONFLICT`` means
    that the worker refused the command: it has seen a later epoch, lacks free resources or has no
    such task.
    """

    async def inventory(self, address: str) -> Result[Inventory, Failure]: ...

    async def fence(self, address: str, command: Fence) -> Result[Inventory, Failure]: ...

    async def reserve(self, address: str, command: Reserve) -> Result[Inventory, Failure]: ...

    async def start(self, address: str, command: StartTask) -> Result[Inventory, Failure]: ...

    async def renew(self, address: str, command: Renew) -> Result[Inventory, Failure]: ...

    async def checkpoint(self, address: str, command: Checkpoint) -> Result[Inventory, Failure]: ...

    async def stop(self, address: str, command: StopTask) -> Result[Inventory, Failure]: ...

    async def throttle(self, address: str, command: Throttle) -> Result[Inventory, Failure]: ...
