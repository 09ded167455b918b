"""The mesh over ZeroMQ.

A ROUTER socket serves the requests of all members; a DEALER socket for each member sends requests.
"""

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
from jujubehall.decoding import decode_msgpack
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

QUEUE_LIMIT_MESSAGES = 10_000
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
SOCKET_HEARTBEAT_INTERVAL_MS = 1_000
SOCKET_HEARTBEAT_TIMEOUT_MS = 3_000
CLOSE_LINGER_MS = 1_000

log = structlog.get_logger()


class ZmqMesh:
    """Implements ``Mesh``: sends requests to members and serves theirs; one for each process."""

    def __init__(self, reactor: Reactor, name: EntryHostName, incarnation: Incarnation) -> None:
        self._reactor: Any = reactor
        self._name = name
        self._incarnation = incarnation
        self._context = zmq.asyncio.Context()
        self._handlers: dict[type[Any], MessageHandler] = {}
        self._sockets: dict[str, Any] = {}
        self._pending_responses: dict[int, Deferred[Message]] = {}
        self._request_ids = count(1)
        self._background_tasks: set[asyncio.Task[None]] = set()

    def bind(self, address: str) -> None:
        """Listens at ``address``; raises ``zmq.ZMQError`` if the address is in use."""
        router = self._context.socket(zmq.ROUTER)
        _set_options(router)
        router.bind(address)
        self._spawn(self._serve_requests(router))

    def register(self, message_type: type[Any], handler: MessageHandler) -> None:
        """Registers the handler that responds to messages of one type."""
        self._handlers[message_type] = handler

    async def request(
        self, member: Member, message: Message, timeout_ms: int
    ) -> Result[Message, Failure]:
        """Sends a message and waits at most ``timeout_ms`` milliseconds for the response."""
        step = type(message).__name__
        request_id = next(self._request_ids)
        envelope = Envelope(request_id, self._name, self._incarnation, message)
        response: Deferred[Message] = Deferred()
        self._pending_responses[request_id] = response
        response.addTimeout(to_seconds(timeout_ms), self._reactor)
        try:
            socket = self._socket(member.mesh_address)
            await Deferred.fromFuture(
                asyncio.ensure_future(socket.send(msgspec.msgpack.encode(envelope), zmq.DONTWAIT))
            )
        except zmq.ZMQError as error:
            response.addErrback(lambda _: None)
            response.cancel()
            self._pending_responses.pop(request_id, None)
            return Err(Failure(FailureKind.NOT_SENT, step, member.name, str(error)))
        try:
            return Ok(await response)
        except Exception as error:
            return Err(Failure(FailureKind.NO_ANSWER, step, member.name, type(error).__name__))
        finally:
            self._pending_responses.pop(request_id, None)

    def connect(self, members: Iterable[Member]) -> None:
        """Connects to the given members and closes connections to all others."""
        addresses = {member.mesh_address for member in members}
        for address in addresses:
            self._socket(address)
        for address in set(self._sockets) - addresses:
            self._sockets.pop(address).close(linger=0)

    def close(self) -> None:
        """Closes all sockets, after waiting up to ``CLOSE_LINGER_MS`` to send pending responses."""
        for task in self._background_tasks:
            task.cancel()
        self._context.destroy(linger=CLOSE_LINGER_MS)

    def _socket(self, address: str) -> Any:
        if address not in self._sockets:
            dealer = self._context.socket(zmq.DEALER)
            _set_options(dealer)
            # Without IMMEDIATE, messages to an unreachable member are queued and arrive much later.
            dealer.setsockopt(zmq.IMMEDIATE, 1)
            dealer.connect(address)
            self._sockets[address] = dealer
            self._spawn(self._receive_responses(dealer))
        return self._sockets[address]

    async def _serve_requests(self, router: Any) -> None:
        while True:
            identity, *frames = await router.recv_multipart()
            if len(frames) == 1:
                self._spawn(self._respond(router, identity, frames[0]))
            else:
                log.warning("request with a wrong number of frames received", frames=len(frames))

    async def _respond(self, router: Any, identity: bytes, content: bytes) -> None:
        try:
            envelope = decode_msgpack(content, Envelope)
        except msgspec.DecodeError as error:
            log.warning("undecodable request received", error=str(error))
            return
        message = await self._handle(envelope)
        response = Envelope(envelope.id, self._name, self._incarnation, message)
        await router.send_multipart([identity, msgspec.msgpack.encode(response)])

    async def _handle(self, envelope: Envelope) -> Message:
        step = type(envelope.message).__name__
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            return Refused(f"no handler for {step}")
        try:
            response: Message = await _as_future(handler(envelope.sender, envelope.message))
        except Exception as error:
            log.error("message handler failed", step=step, peer=envelope.sender, error=repr(error))
            return Refused(f"handler for {step} failed")
        return response

    async def _receive_responses(self, dealer: Any) -> None:
        while not dealer.closed:
            content = (await dealer.recv_multipart())[-1]
            try:
                envelope = decode_msgpack(content, Envelope)
            except msgspec.DecodeError as error:
                # An undecodable response must not stop the loop that receives later ones.
                log.warning("undecodable response received", error=str(error))
                continue
            response = self._pending_responses.pop(envelope.id, None)
            if response is not None and not response.called:
                response.callback(envelope.message)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _as_future(coroutine: Any) -> asyncio.Future[Any]:
    # Handlers await Twisted Deferreds, which an asyncio task can't await directly.
    return Deferred.fromCoroutine(coroutine).asFuture(asyncio.get_running_loop())


def _set_options(socket: Any) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, QUEUE_LIMIT_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, QUEUE_LIMIT_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, SOCKET_HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SOCKET_HEARTBEAT_TIMEOUT_MS)
