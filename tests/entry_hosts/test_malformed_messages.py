"""A malformed message from one peer costs that message only."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import pytest
import zmq
import zmq.asyncio

from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jujubehall.core.ownership.record import Member
from jujubehall.entry_hosts.messages import Envelope
from jujubehall.entry_hosts.messages import PendingKnown
from jujubehall.entry_hosts.messages import PendingWanted
from jujubehall.entry_hosts.zmq_mesh import ZmqMesh
from jujubehall.errors import FailureKind
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import ZoneName

if TYPE_CHECKING:
    from jujubehall.entry_hosts.messages import Message

NESTING = 100_000
RESPONSE_TIMEOUT_S = 5.0
CONNECTION_CHECK_INTERVAL_S = 0.02
DEEPLY_NESTED = b"\x81\xa1z" + b"\x91" * NESTING + b"\xc0"
NESTED_IN_ENVELOPE = (
    b"\x95"
    + msgspec.msgpack.encode(
        Envelope(1, EntryHostName("peer"), Incarnation("peer"), PendingKnown(3))
    )[1:]
    + b"\x91" * NESTING
    + b"\xc0"
)
"""An envelope with one more field, as a later version of the program might send."""

MALFORMED_FRAMES = {
    "no frame": [],
    "two frames": [b"one", b"two"],
    "empty": [b""],
    "no message": [b"\xff\xff\xff"],
    "nested": [DEEPLY_NESTED],
    "nested in an envelope": [NESTED_IN_ENVELOPE],
    "not an envelope": [msgspec.msgpack.encode({"id": "one"})],
}


def make_mesh(name: str) -> ZmqMesh:
    reactor: Any = Clock()
    return ZmqMesh(reactor, EntryHostName(name), Incarnation(name))


async def request_once_connected(mesh: ZmqMesh, peer: Member) -> Any:
    """Sends a request as soon as the connection is there, and returns its result."""
    while True:
        request = mesh.request(peer, PendingWanted(QueueName("normal")), 1_000)
        loop = asyncio.get_running_loop()
        result = await Deferred.fromCoroutine(request).asFuture(loop)
        if isinstance(result, Ok) or result.err_value.kind is not FailureKind.NOT_SENT:
            return result
        await asyncio.sleep(CONNECTION_CHECK_INTERVAL_S)


@pytest.mark.parametrize("frames", MALFORMED_FRAMES.values(), ids=MALFORMED_FRAMES)
def test_server_answers_requests_after_a_malformed_one(frames: list[bytes]) -> None:
    async def exchange() -> bytes:
        mesh = make_mesh("server")

        async def on_pending_wanted(sender: EntryHostName, request: PendingWanted) -> Message:
            return PendingKnown(3)

        mesh.register(PendingWanted, on_pending_wanted)
        context = zmq.asyncio.Context()
        peer = context.socket(zmq.DEALER)
        router_address = "tcp://127.0.0.1:*"
        router = mesh._context.socket(zmq.ROUTER)
        router.bind(router_address)
        mesh._spawn(mesh._serve_requests(router))
        peer.connect(router.getsockopt_string(zmq.LAST_ENDPOINT))
        if frames:
            await peer.send_multipart(frames)
        else:
            await peer.send(b"")
        wanted = PendingWanted(QueueName("normal"))
        envelope = Envelope(1, EntryHostName("peer"), Incarnation("peer"), wanted)
        await peer.send(msgspec.msgpack.encode(envelope))
        try:
            answer: list[bytes] = await asyncio.wait_for(peer.recv_multipart(), RESPONSE_TIMEOUT_S)
        finally:
            peer.close(linger=0)
            router.close(linger=0)
            mesh.close()
            context.destroy(linger=0)
        return answer[-1]

    answer = asyncio.run(exchange())
    assert msgspec.msgpack.decode(answer, type=Envelope).message == PendingKnown(3)


@pytest.mark.parametrize(
    "content",
    [b"\xff\xff", DEEPLY_NESTED, NESTED_IN_ENVELOPE],
    ids=["no message", "nested", "nested in an envelope"],
)
def test_client_receives_responses_after_a_malformed_one(content: bytes) -> None:
    async def exchange() -> Any:
        context = zmq.asyncio.Context()
        router = context.socket(zmq.ROUTER)
        router.bind("tcp://127.0.0.1:*")
        address = router.getsockopt_string(zmq.LAST_ENDPOINT)
        mesh = make_mesh("client")
        peer = Member(EntryHostName("peer"), Incarnation("peer"), ZoneName("a"), "", address)
        mesh.connect([peer])

        async def serve() -> None:
            identity, request = await router.recv_multipart()
            envelope = msgspec.msgpack.decode(request, type=Envelope)
            await router.send_multipart([identity, content])
            answer = Envelope(envelope.id, peer.name, peer.incarnation, PendingKnown(3))
            await router.send_multipart([identity, msgspec.msgpack.encode(answer)])

        serving = asyncio.ensure_future(serve())
        try:
            return await asyncio.wait_for(request_once_connected(mesh, peer), RESPONSE_TIMEOUT_S)
        finally:
            serving.cancel()
            router.close(linger=0)
            mesh.close()
            context.destroy(linger=0)

    response = asyncio.run(exchange())
    assert isinstance(response, Ok)
    assert response.ok_value == PendingKnown(3)
