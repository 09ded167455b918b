"""Serves callers' requests.

Idempotent requests are dispatched directly, others by the owner of their shard or by the issuer
of their ticket.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.core.ownership.scopes import request_scope
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import not_run_answer
from jujubehall.core.requests.request import unknown_answer
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

FORWARD_TIMEOUT_MARGIN_MS = 500
"""Added to a request's deadline as the timeout for the answer of another entry host."""

log = structlog.get_logger()


class RequestService:
    """Answers callers' requests and requests forwarded by other entry hosts.

    A non-idempotent request runs at most once: its identifier is claimed before it is dispatched,
    and a retry gets the answer of the first attempt. The answer is "unknown" if it can't be
    determined whether the request ran.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        mesh: Mesh,
        membership: Membership,
        takeover: ShardTakeover,
        claim_log: ClaimLog,
        claim_table: ClaimTable,
        dispatcher: Dispatcher,
        outage_claims: OutageClaims,
    ) -> None:
        self._reactor: Any = reactor
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._takeover = takeover
        self._claim_log = claim_log
        self._claim_table = claim_table
        self._dispatcher = dispatcher
        self._outage_claims = outage_claims
        self._waiters: dict[RequestId, list[Deferred[Answer]]] = {}
        self._in_progress = 0
        self._issued_ticket_count = 0
        self._draining = False
        mesh.register(ForwardedRequest, self._on_forwarded)

    @property
    def in_progress(self) -> int:
        """The number of unanswered requests from callers and from other entry hosts."""
        return self._in_progress

    def drain(self) -> None:
        """Refuses new requests from callers; requests in progress continue."""
        self._draining = True

    def issue_tickets(self, count: int) -> list[RequestId]:
        """Issues tickets: request identifiers that only this process may run."""
        first = self._issued_ticket_count
        self._issued_ticket_count += count
        incarnation = self._membership.member.incarnation
        now_ms = self._clock.now_ms
        return [Ticket(incarnation, now_ms, first + number).id for number in range(count)]

    async def serve(self, request: Request) -> Answer:
        """Answers a caller's request."""
        if self._draining:
            return not_run_answer(request, "this entry host is stopping", "admit")
        self._in_progress += 1
        try:
            return await self._serve(request)
        finally:
            self._in_progress -= 1

    async def _serve(self, request: Request) -> Answer:
        deadline_at_ms = self._clock.now_ms + request.deadline_ms
        if request.idempotent:
            return await self._dispatcher.dispatch(request, deadline_at_ms)
        ticket = parse_ticket(request.id)
        if ticket is not None:
            return await self._serve_ticket(request, ticket, deadline_at_ms)
        scope = request_scope(request.id)
        if self._may_claim(scope):
            return await self._run_once(request, deadline_at_ms, durable=True)
        owner = self._membership.record.owner_of(scope)
        if owner is None or self._membership.owns(scope):
            return not_run_answer(
                request, "the owner of the request's shard is not ready; try again", "find owner"
            )
        return await self._forward(request, owner)

    def _may_claim(self, scope: str) -> bool:
        if self._takeover.is_ready(scope):
            return True
        return self._outage_claims.is_outage and self._takeover.may_claim_in_memory(scope)

    async def _serve_ticket(self, request: Request, ticket: Ticket, deadline_at_ms: int) -> Answer:
        if ticket.incarnation == self._membership.member.incarnation:
            return await self._run_ticket(request, ticket, deadline_at_ms)
        issuer = self._find_issuer(ticket)
        if issuer is None:
            return unknown_answer(
                request,
                "the process that issued the ticket is no longer running",
                "find issuer",
                "entry host",
            )
        return await self._forward(request, issuer)

    def _find_issuer(self, ticket: Ticket) -> Member | None:
        known = (*self._membership.members, *self._membership.record.members)
        return next((each for each in known if each.incarnation == ticket.incarnation), None)

    async def _run_ticket(self, request: Request, ticket: Ticket, deadline_at_ms: int) -> Answer:
        is_known = self._claim_table.known_answer(request) is not None
        is_known = is_known or self._claim_table.is_in_progress(request.id)
        if not is_known and not ticket.is_usable(self._clock.now_ms):
            return unknown_answer(request, "the ticket has expired", "check ticket", "entry host")
        return await self._run_once(request, deadline_at_ms, durable=False)

    async def _forward(self, request: Request, owner: Member) -> Answer:
        message = ForwardedRequest(request, self._membership.record.epoch)
        timeout_ms = request.deadline_ms + FORWARD_TIMEOUT_MARGIN_MS
        result = await self._mesh.request(owner, message, timeout_ms)
        if isinstance(result, Err):
            failure = result.err_value
            if failure.may_have_taken_effect:
                return unknown_answer(request, failure.detail, "forward request", owner.name)
            return not_run_answer(request, failure.detail, "forward request", owner.name)
        response = result.ok_value
        if not isinstance(response, ForwardedAnswer) or response.answer.id != request.id:
            return unknown_answer(
                request,
                "unexpected response type or request identifier",
                "forward request",
                owner.name,
            )
        return response.answer

    async def _on_forwarded(self, sender: EntryHostName, message: ForwardedRequest) -> Message:
        self._in_progress += 1
        try:
            return ForwardedAnswer(await self._serve_forwarded(message.request))
        finally:
            self._in_progress -= 1

    async def _serve_forwarded(self, request: Request) -> Answer:
        deadline_at_ms = self._clock.now_ms + request.deadline_ms
        ticket = parse_ticket(request.id)
        if ticket is not None:
            if ticket.incarnation != self._membership.member.incarnation:
                return unknown_answer(
                    request,
                    "the process that issued the ticket is no longer running",
                    "find issuer",
                    "entry host",
                )
            return await self._run_ticket(request, ticket, deadline_at_ms)
        if not self._may_claim(request_scope(request.id)):
            return not_run_answer(
                request,
                "this entry host is not the ready owner of the request's shard",
                "find owner",
            )
        return await self._run_once(request, deadline_at_ms, durable=True)

    async def _run_once(self, request: Request, deadline_at_ms: int, *, durable: bool) -> Answer:
        known = self._claim_table.known_answer(request)
        if known is not None:
            return known
        if self._claim_table.is_in_progress(request.id):
            return await self._await_attempt(request, deadline_at_ms)
        if durable and self._claim_table.may_have_lost_claim(request.id):
            return unknown_answer(
                request, "an earlier claim on the request may have been lost", "claim", "entry host"
            )
        refused = self._dispatcher.admit(request, deadline_at_ms)
        if refused is not None:
            return refused
        self._claim_table.begin(request, self._clock.now_ms)
        try:
            answer = await self._claim_and_dispatch(request, deadline_at_ms, durable=durable)
        except Exception as error:
            log.error(
                "unexpected error while running request", step="run request", error=repr(error)
            )
            answer = unknown_answer(request, "internal error", "run request", "entry host")
        self._claim_table.finish(answer, self._clock.now_ms)
        if durable and answer.outcome is Outcome.NOT_RUN:
            self._claim_log.release(request.id)
        for waiter in self._waiters.pop(request.id, []):
            if not waiter.called:
                waiter.callback(answer)
        return answer

    async def _await_attempt(self, request: Request, deadline_at_ms: int) -> Answer:
        """Waits for the attempt in progress, at most until this attempt's own deadline."""
        waiter: Deferred[Answer] = Deferred()
        self._waiters.setdefault(request.id, []).append(waiter)
        remaining_ms = max(0, deadline_at_ms - self._clock.now_ms)
        timeout_answer = unknown_answer(
            request, "an earlier attempt is still in progress", "join attempt", "entry host"
        )
        timer = self._reactor.callLater(
            to_seconds(remaining_ms), _answer_on_timeout, waiter, timeout_answer
        )
        answer = await waiter
        if timer.active():
            timer.cancel()
        return answer

    async def _claim_and_dispatch(
        self, request: Request, deadline_at_ms: int, *, durable: bool
    ) -> Answer:
        if durable:
            claimed = await self._claim(request)
            if isinstance(claimed, Err):
                failure = claimed.err_value
                return not_run_answer(request, failure.detail, failure.step, failure.peer)
        return await self._dispatcher.dispatch(request, deadline_at_ms)

    async def _claim(self, request: Request) -> Result[None, Failure]:
        if self._outage_claims.is_outage:
            return await self._outage_claims.claim(request.id)
        return await self._claim_log.claim(request.id)


def _answer_on_timeout(waiter: Deferred[Answer], answer: Answer) -> None:
    if not waiter.called:
        waiter.callback(answer)
