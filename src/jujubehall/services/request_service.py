"""Serves callers' requests: directly if idempotent, otherwise through the owner of the shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from twisted.internet.defer import Deferred

from jujubehall.core.ownership.scopes import request_scope
from jujubehall.core.requests.request import not_run
from jujubehall.core.requests.request import unknown
from jujubehall.entry_hosts.messages import ForwardedAnswer
from jujubehall.entry_hosts.messages import ForwardedRequest

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.ownership.record import Member
    from jujubehall.core.requests.claim_table import ClaimTable
    from jujubehall.core.requests.request import Answer
    from jujubehall.core.requests.request import Request
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import RequestId
    from jujubehall.services.claim_log import ClaimLog
    from jujubehall.services.dispatcher import Dispatcher
    from jujubehall.services.membership import Membership
    from jujubehall.services.shard_takeover import ShardTakeover

FORWARD_MARGIN_MS = 500


class RequestService:
    """Gives every request exactly one truthful answer."""

    def __init__(
        self,
        clock: Clock,
        mesh: Mesh,
        membership: Membership,
        takeover: ShardTakeover,
        claim_log: ClaimLog,
        table: ClaimTable,
        dispatcher: Dispatcher,
    ) -> None:
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._takeover = takeover
        self._claim_log = claim_log
        self._table = table
        self._dispatcher = dispatcher
        self._waiting: dict[RequestId, list[Deferred[Answer]]] = {}
        self._draining = False
        mesh.register(ForwardedRequest, self._on_forwarded)

    @property
    def in_progress(self) -> int:
        """The number of requests being run here."""
        return self._dispatcher.in_flight

    def drain(self) -> None:
        """Refuses new requests from callers; those in progress go on."""
        self._draining = True

    async def serve(self, request: Request) -> Answer:
        """Answers a caller's request."""
        if self._draining:
            return not_run(request, "this entry host is stopping", "admit")
        if request.idempotent:
            return await self._dispatcher.dispatch(request)
        scope = request_scope(request.id)
        if self._takeover.is_ready(scope):
            return await self._serve_owned(request)
        owner = self._membership.record.owner_of(scope)
        if owner is None or self._membership.owns(scope):
            return not_run(request, "the owner of the request's shard is not ready", "find owner")
        return await self._forward(request, owner)

    async def _forward(self, request: Request, owner: Member) -> Answer:
        message = ForwardedRequest(request, self._membership.record.epoch)
        timeout_ms = request.deadline_ms + FORWARD_MARGIN_MS
        answered = await self._mesh.ask(owner, message, timeout_ms)
        if isinstance(answered, Err):
            failure = answered.err_value
            if failure.may_have_taken_effect:
                return unknown(request, failure.detail, "forward request", owner.name)
            return not_run(request, failure.detail, "forward request", owner.name)
        if not isinstance(answered.ok_value, ForwardedAnswer):
            return unknown(request, "unexpected answer", "forward request", owner.name)
        return answered.ok_value.answer

    async def _on_forwarded(self, sender: EntryHostName, message: ForwardedRequest) -> Message:
        request = message.request
        if not self._takeover.is_ready(request_scope(request.id)):
            return ForwardedAnswer(not_run(request, "not the owner of its shard", "find owner"))
        return ForwardedAnswer(await self._serve_owned(request))

    async def _serve_owned(self, request: Request) -> Answer:
        known = self._table.known_answer(request)
        if known is not None:
            return known
        if self._table.is_in_progress(request.id):
            waiting: Deferred[Answer] = Deferred()
            self._waiting.setdefault(request.id, []).append(waiting)
            return await waiting
        self._table.begin(request.id, self._clock.now_ms)
        answer = await self._claim_and_dispatch(request)
        self._table.finish(answer, self._clock.now_ms)
        for waiting in self._waiting.pop(request.id, []):
            waiting.callback(answer)
        return answer

    async def _claim_and_dispatch(self, request: Request) -> Answer:
        claimed = await self._claim_log.claim(request.id)
        if isinstance(claimed, Err):
            failure = claimed.err_value
            return not_run(request, failure.detail, failure.step, failure.peer)
        return await self._dispatcher.dispatch(request)
