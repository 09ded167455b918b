"""The mesh between the entry hosts of a virtual site."""

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
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.ownership.record import Member
    from jujubehall.entry_hosts.mesh import MessageHandler
    from jujubehall.testing.virtual.host_reactor import HostReactor
    from jujubehall.testing.virtual.network import Network


class VirtualMesh:
    """Implements ``jujubehall.entry_hosts.mesh.Mesh``; ``switchboard`` finds meshes by address."""

    def __init__(
        self,
        reactor: HostReactor,
        network: Network,
        member: Member,
        switchboard: dict[str, VirtualMesh],
    ) -> None:
        self._reactor = reactor
        self._network = network
        self._member = member
        self._switchboard = switchboard
        self._handlers: dict[type[Any], MessageHandler] = {}
        switchboard[member.mesh_address] = self

    def register(self, message_type: type[Any], handler: MessageHandler) -> None:
        """Has ``handler`` answer the messages of one type."""
        self._handlers[message_type] = handler

    def connect(self, members: Iterable[Member]) -> None:
        """Does nothing: any address can be reached at once."""

    async def ask(
        self, member: Member, message: Message, timeout_ms: int
    ) -> Result[Message, Failure]:
        """Sends a message and waits for its answer."""
        step = type(message).__name__
        target = self._switchboard.get(member.mesh_address)
        if target is None or target._reactor.is_killed:
            return Err(Failure(FailureKind.NOT_SENT, step, member.name, "connection refused"))
        answered: Deferred[bytes] = Deferred()
        answered.addTimeout(to_seconds(timeout_ms), self._reactor)  # type: ignore[arg-type]
        content = msgspec.msgpack.encode(message)
        latency_s = self._network.latency_s(self._member.name, target._member.name)
        self._reactor.callLater(latency_s, self._deliver, target, content, answered)
        try:
            return Ok(msgspec.msgpack.decode(await answered, type=Message))
        except Exception as error:
            return Err(Failure(FailureKind.NO_ANSWER, step, member.name, type(error).__name__))

    def _deliver(self, target: VirtualMesh, content: bytes, answered: Deferred[bytes]) -> None:
        if not self._network.is_cut(self._member.name, target._member.name):
            # A frozen target reads the message at its thaw, a killed one never.
            target._reactor.callLater(0, lambda: start(target._answer(self, content, answered)))

    async def _answer(self, asker: VirtualMesh, content: bytes, answered: Deferred[bytes]) -> None:
        message = msgspec.msgpack.decode(content, type=Message)
        answer = await self._handlers[type(message)](asker._member.name, message)
        encoded = msgspec.msgpack.encode(answer)
        sent: Deferred[None] = Deferred()
        latency_s = self._network.latency_s(self._member.name, asker._member.name)
        self._reactor.callLater(latency_s, sent.callback, None)
        await sent
        if not self._network.is_cut(self._member.name, asker._member.name):
            asker._reactor.callLater(0, _resolve, answered, encoded)


def _resolve(answered: Deferred[bytes], content: bytes) -> None:
    if not answered.called:
        answered.callback(content)
