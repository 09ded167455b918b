"""The mesh over ZeroMQ: one ROUTER socket that answers, one DEALER socket for each member."""

from __future__ import annotations

import asyncio

from itertools import count
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import structlog
import zmq
import zmq.asyncio

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.entry_hosts.messages import Envelope
from jujubehall.entry_hosts.messages import Refused
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import Member
    from jujubehall.entry_hosts.mesh import MessageHandler
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Incarnation

SEND_QUEUE_MESSAGES = 10_000
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
CLOSE_LINGER_MS = 1_000

log = structlog.get_logger()


class ZmqMesh:
    """Asks members and answers their questions; one for each process."""

    def __init__(self, reactor: Reactor, name: EntryHostName, incarnation: Incarnation) -> None:
        self._reactor: Any = reactor
        self._name = name
        self._incarnation = incarnation
        self._context = zmq.asyncio.Context()
        self._handlers: dict[type[Any], MessageHandler] = {}
        self._sockets: dict[str, Any] = {}
        self._waiting: dict[int, Deferred[Message]] = {}
        self._ids = count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def bind(self, address: str) -> None:
        """Listens at ``address``; raises ``zmq.ZMQError`` if it is taken."""
        router = self._context.socket(zmq.ROUTER)
        _set_options(router)
        router.bind(address)
        self._spawn(self._serve(router))

    def register(self, message_type: type[Any], handler: MessageHandler) -> None:
        """Has ``handler`` answer the messages of one type."""
        self._handlers[message_type] = handler

    async def ask(
        self, member: Member, message: Message, timeout_ms: int
    ) -> Result[Message, Failure]:
        """Sends a message and waits for its answer, at most ``timeout_ms`` milliseconds."""
        step = type(message).__name__
        question = next(self._ids)
        envelope = Envelope(question, self._name, self._incarnation, message)
        answered: Deferred[Message] = Deferred()
        self._waiting[question] = answered
        answered.addTimeout(to_seconds(timeout_ms), self._reactor)
        try:
            socket = self._socket(member.mesh_address)
            await Deferred.fromFuture(
                asyncio.ensure_future(socket.send(msgspec.msgpack.encode(envelope), zmq.DONTWAIT))
            )
        except zmq.ZMQError as error:
            answered.addErrback(lambda _: None)
            answered.cancel()
            self._waiting.pop(question, None)
            return Err(Failure(FailureKind.NOT_SENT, step, member.name, str(error)))
        try:
            return Ok(await answered)
        except Exception as error:
            return Err(Failure(FailureKind.NO_ANSWER, step, member.name, type(error).__name__))
        finally:
            self._waiting.pop(question, None)

    def connect(self, members: Iterable[Member]) -> None:
        """Connects to the given members and closes the connections to all others."""
        addresses = {member.mesh_address for member in members}
        for address in addresses:
            self._socket(address)
        for address in set(self._sockets) - addresses:
            self._sockets.pop(address).close(linger=0)

    def close(self) -> None:
        """Closes all sockets, after a short time for the last answers to leave."""
        for task in self._tasks:
            task.cancel()
        self._context.destroy(linger=CLOSE_LINGER_MS)

    def _socket(self, address: str) -> Any:
        if address not in self._sockets:
            dealer = self._context.socket(zmq.DEALER)
            _set_options(dealer)
            # Without this, messages to an absent member would be queued and arrive much later.
            dealer.setsockopt(zmq.IMMEDIATE, 1)
            dealer.connect(address)
            self._sockets[address] = dealer
            self._spawn(self._receive(dealer))
        return self._sockets[address]

    async def _serve(self, router: Any) -> None:
        while True:
            identity, content = await router.recv_multipart()
            self._spawn(self._answer(router, identity, content))

    async def _answer(self, router: Any, identity: bytes, content: bytes) -> None:
        try:
            envelope = msgspec.msgpack.decode(content, type=Envelope)
        except msgspec.DecodeError as error:
            log.warning("undecodable message", error=str(error))
            return
        message = await self._handle(envelope)
        answer = Envelope(envelope.id, self._name, self._incarnation, message)
        await router.send_multipart([identity, msgspec.msgpack.encode(answer)])

    async def _handle(self, envelope: Envelope) -> Message:
        step = type(envelope.message).__name__
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            return Refused(f"no handler for {step}")
        try:
            answer: Message = await _as_future(handler(envelope.sender, envelope.message))
        except Exception as error:
            log.error("handler failed", step=step, peer=envelope.sender, error=repr(error))
            return Refused(f"{step} failed")
        return answer

    async def _receive(self, dealer: Any) -> None:
        while not dealer.closed:
            content = (await dealer.recv_multipart())[-1]
            try:
                envelope = msgspec.msgpack.decode(content, type=Envelope)
            except msgspec.DecodeError as error:
                # An undecodable answer must not end the receiving of later ones.
                log.warning("undecodable message", error=str(error))
                continue
            answered = self._waiting.pop(envelope.id, None)
            if answered is not None and not answered.called:
                answered.callback(envelope.message)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _as_future(coroutine: Any) -> asyncio.Future[Any]:
    # Handlers await twisted's Deferreds, which an asyncio task can't wait for by itself.
    return Deferred.fromCoroutine(coroutine).asFuture(asyncio.get_running_loop())


def _set_options(socket: Any) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
