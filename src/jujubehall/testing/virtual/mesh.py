"""Simulated mesh between the entry hosts of a virtual site."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.entry_hosts.messages import Message
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.services.async_utils import run_in_background

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.ownership.record import Member
    from jujubehall.entry_hosts.mesh import MessageHandler
    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.network import Network


class VirtualMesh:
    """Implements ``jujubehall.entry_hosts.mesh.Mesh`` for one entry host.

    All hosts share ``meshes_by_address``, in which each mesh registers itself.
    """

    def __init__(
        self,
        reactor: HostReactor,
        network: Network,
        member: Member,
        meshes_by_address: dict[str, VirtualMesh],
    ) -> None:
        self._reactor = reactor
        self._network = network
        self._member = member
        self._meshes_by_address = meshes_by_address
        self._handlers: dict[type[Any], MessageHandler] = {}
        meshes_by_address[member.mesh_address] = self

    def register(self, message_type: type[Any], handler: MessageHandler) -> None:
        """Registers the handler of the messages of one type."""
        self._handlers[message_type] = handler

    def connect(self, members: Iterable[Member]) -> None:
        """Does nothing, because messages need no connection in the simulation."""

    async def request(
        self, member: Member, message: Message, timeout_ms: int
    ) -> Result[Message, Failure]:
        """Sends a message and returns the response, or ``NO_ANSWER`` after ``timeout_ms``."""
        step = type(message).__name__
        target = self._meshes_by_address.get(member.mesh_address)
        if target is None or target._reactor.is_killed:
            return Err(Failure(FailureKind.NOT_SENT, step, member.name, "connection refused"))
        pending_response: Deferred[bytes] = Deferred()
        pending_response.addTimeout(to_seconds(timeout_ms), self._reactor)  # type: ignore[arg-type]
        content = msgspec.msgpack.encode(message)
        latency_s = self._network.latency_s(self._member.name, target._member.name)
        latency_s += to_seconds(self._network.message_delays_ms.get(type(message), 0))
        self._reactor.callLater(latency_s, self._deliver, target, content, pending_response)
        try:
            return Ok(msgspec.msgpack.decode(await pending_response, type=Message))
        except Exception as error:
            return Err(Failure(FailureKind.NO_ANSWER, step, member.name, type(error).__name__))

    def _deliver(
        self, target: VirtualMesh, content: bytes, pending_response: Deferred[bytes]
    ) -> None:
        if not self._network.is_disconnected(self._member.name, target._member.name):
            # A suspended target handles the message when it is resumed; a killed one never does.
            target._reactor.callLater(
                0, lambda: run_in_background(target._handle(self, content, pending_response))
            )

    async def _handle(
        self, sender: VirtualMesh, content: bytes, pending_response: Deferred[bytes]
    ) -> None:
        message = msgspec.msgpack.decode(content, type=Message)
        response = await self._handlers[type(message)](sender._member.name, message)
        encoded = msgspec.msgpack.encode(response)
        network_delay: Deferred[None] = Deferred()
        latency_s = self._network.latency_s(self._member.name, sender._member.name)
        self._reactor.callLater(latency_s, network_delay.callback, None)
        await network_delay
        if not self._network.is_disconnected(self._member.name, sender._member.name):
            sender._reactor.callLater(0, _resolve, pending_response, encoded)


def _resolve(pending_response: Deferred[bytes], content: bytes) -> None:
    if not pending_response.called:
        pending_response.callback(content)
