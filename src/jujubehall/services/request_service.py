"""Serves callers' requests: directly if idempotent, otherwise through the owner of the shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.core.ownership.scopes import request_scope
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import not_run
from jujubehall.core.requests.request import unknown
from jujubehall.core.requests.tickets import Ticket
from jujubehall.core.requests.tickets import parse_ticket
from jujubehall.entry_hosts.messages import ForwardedAnswer
from jujubehall.entry_hosts.messages import ForwardedRequest

if TYPE_CHECKING:
    from typing import Any

    from result import Result

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import Member
    from jujubehall.core.requests.claim_table import ClaimTable
    from jujubehall.core.requests.request import Answer
    from jujubehall.core.requests.request import Request
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.errors import Failure
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import RequestId
    from jujubehall.services.claim_log import ClaimLog
    from jujubehall.services.dispatcher import Dispatcher
    from jujubehall.services.membership import Membership
    from jujubehall.services.outage_claims import OutageClaims
    from jujubehall.services.shard_takeover import ShardTakeover

FORWARD_MARGIN_MS = 500

log = structlog.get_logger()


class RequestService:
    """Gives every request exactly one truthful answer."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        mesh: Mesh,
        membership: Membership,
        takeover: ShardTakeover,
        claim_log: ClaimLog,
        table: ClaimTable,
        dispatcher: Dispatcher,
        outage_claims: OutageClaims,
    ) -> None:
        self._reactor: Any = reactor
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._takeover = takeover
        self._claim_log = claim_log
        self._table = table
        self._dispatcher = dispatcher
        self._outage_claims = outage_claims
        self._waiting: dict[RequestId, list[Deferred[Answer]]] = {}
        self._in_progress = 0
        self._tickets = 0
        self._draining = False
        mesh.register(ForwardedRequest, self._on_forwarded)

    @property
    def in_progress(self) -> int:
        """The number of callers' and other entry hosts' requests not answered yet."""
        return self._in_progress

    def drain(self) -> None:
        """Refuses new requests from callers; those in progress go on."""
        self._draining = True

    def issue_tickets(self, count: int) -> list[RequestId]:
        """Makes tickets for requests that only this process may run."""
        first = self._tickets
        self._tickets += count
        incarnation = self._membership.member.incarnation
        now_ms = self._clock.now_ms
        return [Ticket(incarnation, now_ms, first + number).id for number in range(count)]

    async def serve(self, request: Request) -> Answer:
        """Answers a caller's request."""
        if self._draining:
            return not_run(request, "this entry host is stopping", "admit")
        self._in_progress += 1
        try:
            return await self._serve(request)
        finally:
            self._in_progress -= 1

    async def _serve(self, request: Request) -> Answer:
        give_up_at_ms = self._clock.now_ms + request.deadline_ms
        if request.idempotent:
            return await self._dispatcher.dispatch(request, give_up_at_ms)
        ticket = parse_ticket(request.id)
        if ticket is not None:
            return await self._serve_ticket(request, ticket, give_up_at_ms)
        scope = request_scope(request.id)
        if self._may_claim(scope):
            return await self._run_once(request, give_up_at_ms, durable=True)
        owner = self._membership.record.owner_of(scope)
        if owner is None or self._membership.owns(scope):
            return not_run(request, "the owner of the request's shard is not ready", "find owner")
        return await self._forward(request, owner)

    def _may_claim(self, scope: str) -> bool:
        if self._takeover.is_ready(scope):
            return True
        return self._outage_claims.is_outage and self._takeover.was_ready(scope)

    async def _serve_ticket(self, request: Request, ticket: Ticket, give_up_at_ms: int) -> Answer:
        if ticket.incarnation == self._membership.member.incarnation:
            return await self._run_ticket(request, ticket, give_up_at_ms)
        issuer = self._issuer(ticket)
        if issuer is None:
            return unknown(request, "the ticket's issuer is gone", "find issuer", "entry host")
        return await self._forward(request, issuer)

    def _issuer(self, ticket: Ticket) -> Member | None:
        known = (*self._membership.members, *self._membership.record.members)
        return next((each for each in known if each.incarnation == ticket.incarnation), None)

    async def _run_ticket(self, request: Request, ticket: Ticket, give_up_at_ms: int) -> Answer:
        is_known = self._table.known_answer(request) is not None
        is_known = is_known or self._table.is_in_progress(request.id)
        if not is_known and not ticket.is_usable(self._clock.now_ms):
            return unknown(request, "the ticket has expired", "check ticket", "entry host")
        return await self._run_once(request, give_up_at_ms, durable=False)

    async def _forward(self, request: Request, owner: Member) -> Answer:
        message = ForwardedRequest(request, self._membership.record.epoch)
        timeout_ms = request.deadline_ms + FORWARD_MARGIN_MS
        answered = await self._mesh.ask(owner, message, timeout_ms)
        if isinstance(answered, Err):
            failure = answered.err_value
            if failure.may_have_taken_effect:
                return unknown(request, failure.detail, "forward request", owner.name)
            return not_run(request, failure.detail, "forward request", owner.name)
        reply = answered.ok_value
        if not isinstance(reply, ForwardedAnswer) or reply.answer.id != request.id:
            return unknown(request, "unexpected answer", "forward request", owner.name)
        return reply.answer

    async def _on_forwarded(self, sender: EntryHostName, message: ForwardedRequest) -> Message:
        self._in_progress += 1
        try:
            return ForwardedAnswer(await self._serve_forwarded(message.request))
        finally:
            self._in_progress -= 1

    async def _serve_forwarded(self, request: Request) -> Answer:
        give_up_at_ms = self._clock.now_ms + request.deadline_ms
        ticket = parse_ticket(request.id)
        if ticket is not None:
            if ticket.incarnation != self._membership.member.incarnation:
                return unknown(request, "the ticket's issuer is gone", "find issuer", "entry host")
            return await self._run_ticket(request, ticket, give_up_at_ms)
        if not self._may_claim(request_scope(request.id)):
            return not_run(request, "not the owner of its shard", "find owner")
        return await self._run_once(request, give_up_at_ms, durable=True)

    async def _run_once(self, request: Request, give_up_at_ms: int, *, durable: bool) -> Answer:
        known = self._table.known_answer(request)
        if known is not None:
            return known
        if self._table.is_in_progress(request.id):
            return await self._join(request, give_up_at_ms)
        if durable and self._table.may_be_lost(request.id):
            return unknown(request, "its claim may be lost", "claim", "entry host")
        refused = self._dispatcher.admit(request, give_up_at_ms)
        if refused is not None:
            return refused
        self._table.begin(request, self._clock.now_ms)
        try:
            answer = await self._claim_and_dispatch(request, give_up_at_ms, durable=durable)
        except Exception as error:
            log.error("request failed", step="run request", error=repr(error))
            answer = unknown(request, "internal error", "run request", "entry host")
        self._table.finish(answer, self._clock.now_ms)
        if durable and answer.outcome is Outcome.NOT_RUN:
            self._claim_log.release(request.id)
        for waiting in self._waiting.pop(request.id, []):
            if not waiting.called:
                waiting.callback(answer)
        return answer

    async def _join(self, request: Request, give_up_at_ms: int) -> Answer:
        """Waits for the attempt in progress, but no longer than this attempt's deadline."""
        waiting: Deferred[Answer] = Deferred()
        self._waiting.setdefault(request.id, []).append(waiting)
        left_ms = max(0, give_up_at_ms - self._clock.now_ms)
        late = unknown(request, "an earlier attempt is in progress", "join attempt", "entry host")
        timer = self._reactor.callLater(to_seconds(left_ms), _answer_late, waiting, late)
        answer = await waiting
        if timer.active():
            timer.cancel()
        return answer

    async def _claim_and_dispatch(
        self, request: Request, give_up_at_ms: int, *, durable: bool
    ) -> Answer:
        if durable:
            claimed = await self._claim(request)
            if isinstance(claimed, Err):
                failure = claimed.err_value
                return not_run(request, failure.detail, failure.step, failure.peer)
        return await self._dispatcher.dispatch(request, give_up_at_ms)

    async def _claim(self, request: Request) -> Result[None, Failure]:
        if self._outage_claims.is_outage:
            return await self._outage_claims.claim(request.id)
        return await self._claim_log.claim(request.id)


def _answer_late(waiting: Deferred[Answer], answer: Answer) -> None:
    if not waiting.called:
        waiting.callback(answer)
