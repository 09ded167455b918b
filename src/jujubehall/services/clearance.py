"""Settles what became of a sealed owner's claims in memory, before anyone succeeds it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err
from result import Ok
from twisted.internet.defer import DeferredList

from jujubehall.core.requests.grants import MIN_GRANTERS
from jujubehall.core.requests.grants import PROMISE_MS
from jujubehall.core.requests.grants import tolerated_absences
from jujubehall.entry_hosts.messages import GrantWithdrawn
from jujubehall.entry_hosts.messages import Surrendered
from jujubehall.entry_hosts.messages import SurrenderWanted
from jujubehall.entry_hosts.messages import WithdrawalWanted
from jujubehall.services.claim_heads import mark_cleared
from jujubehall.services.claim_log import OUTAGE_LIMIT_MS
from jujubehall.services.outage_claims import ASK_TIMEOUT_MS
from jujubehall.services.outage_claims import as_member
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.requests.claim_records import ClaimHead
    from jujubehall.core.requests.claim_records import Granter
    from jujubehall.core.requests.claim_table import ClaimTable
    from jujubehall.core.requests.grants import GrantBook
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import Incarnation
    from jujubehall.platform.interface import Platform
    from jujubehall.services.claim_log import ClaimLog
    from jujubehall.services.membership import Membership

log = structlog.get_logger()


class Clearance:
    """Asks a sealed owner for its claims in memory, or else its granters to withdraw."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        platform: Platform,
        mesh: Mesh,
        membership: Membership,
        claim_log: ClaimLog,
        table: ClaimTable,
        grants: GrantBook,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._platform = platform
        self._mesh = mesh
        self._membership = membership
        self._claim_log = claim_log
        self._table = table
        self._grants = grants
        self._first_asked_at_ms: dict[Incarnation, int] = {}
        mesh.register(SurrenderWanted, self._on_surrender_wanted)
        mesh.register(WithdrawalWanted, self._on_withdrawal_wanted)

    async def clear(self, head: ClaimHead, epoch: Epoch) -> bool:
        """Makes sure that ``head``, sealed for ``epoch``, hides no claim; False to try again."""
        if len(head.granters) < MIN_GRANTERS:
            return await self._mark(head)
        first_asked_at_ms = self._first_asked_at_ms.setdefault(head.incarnation, self._clock.now_ms)
        withdrawals = await self._withdrawals(head, epoch)
        sequences = [withdrawal.sequence for withdrawal in withdrawals]
        needed = tolerated_absences(len(head.granters)) + 1
        if len(withdrawals) >= needed and max(sequences) < head.sequence:
            return await self._mark(head)
        surrendered = await self._surrender(head)
        if surrendered is not None:
            return await self._take_over_claims(head, surrendered)
        waited_ms = self._clock.now_ms - first_asked_at_ms
        restarted = self._restarted(head, withdrawals) if waited_ms >= PROMISE_MS else 0
        if len(withdrawals) + restarted < needed and waited_ms < OUTAGE_LIMIT_MS + PROMISE_MS:
            return False
        # A granter that is gone may have given its last promise just before.
        remaining_ms = [each.remaining_ms for each in withdrawals]
        await sleep(
            self._reactor, PROMISE_MS if restarted or not remaining_ms else max(remaining_ms)
        )
        return await self._give_up_claims(head)

    async def _withdrawals(self, head: ClaimHead, epoch: Epoch) -> list[GrantWithdrawn]:
        asked = [start(self._ask_withdrawal(each, head, epoch)) for each in head.granters]
        answered = await DeferredList(asked)
        return [answer for _, answer in answered if isinstance(answer, GrantWithdrawn)]

    async def _ask_withdrawal(
        self, granter: Granter, head: ClaimHead, epoch: Epoch
    ) -> GrantWithdrawn | None:
        if granter.incarnation == head.incarnation:
            return None
        if granter.incarnation == self._membership.member.incarnation:
            return self._withdraw(head.incarnation, epoch)
        wanted = WithdrawalWanted(head.incarnation, epoch)
        answered = await self._mesh.ask(as_member(granter), wanted, ASK_TIMEOUT_MS)
        if isinstance(answered, Err) or not isinstance(answered.ok_value, GrantWithdrawn):
            return None
        answer = answered.ok_value
        return answer if answer.incarnation == granter.incarnation else None

    async def _surrender(self, head: ClaimHead) -> tuple[int, ...] | None:
        owner = next((g for g in head.granters if g.incarnation == head.incarnation), None)
        if owner is None:
            return None
        wanted = SurrenderWanted(head.incarnation)
        answered = await self._mesh.ask(as_member(owner), wanted, ASK_TIMEOUT_MS)
        if isinstance(answered, Err) or not isinstance(answered.ok_value, Surrendered):
            return None
        answer = answered.ok_value
        return answer.claims if answer.incarnation == head.incarnation else None

    def _restarted(self, head: ClaimHead, withdrawals: list[GrantWithdrawn]) -> int:
        """Counts the granters whose process is gone, since another one has taken its name."""
        answered = {withdrawal.incarnation for withdrawal in withdrawals}
        present = {member.name: member.incarnation for member in self._membership.members}
        return sum(
            present.get(granter.name, granter.incarnation) != granter.incarnation
            for granter in head.granters
            if granter.incarnation not in answered
        )

    async def _take_over_claims(self, head: ClaimHead, claims: tuple[int, ...]) -> bool:
        self._table.inherit(claims, self._clock.now_ms)
        if isinstance(await self._claim_log.archives.archive(claims), Err):
            return False
        return await self._mark(head)

    async def _give_up_claims(self, head: ClaimHead) -> bool:
        recorded = await self._claim_log.archives.record_loss(head.incarnation, head.shards)
        if isinstance(recorded, Err):
            return False
        self._table.lose(head.incarnation, head.shards, self._clock.now_ms)
        log.warning("claims in memory lost", peer=head.name, shards=len(head.shards))
        return await self._mark(head)

    async def _mark(self, head: ClaimHead) -> bool:
        return isinstance(await mark_cleared(self._platform, head), Ok)

    async def _on_surrender_wanted(
        self, sender: EntryHostName, message: SurrenderWanted
    ) -> Message:
        own = self._membership.member.incarnation
        claims = self._claim_log.surrender() if message.owner == own else ()
        return Surrendered(own, claims)

    async def _on_withdrawal_wanted(
        self, sender: EntryHostName, message: WithdrawalWanted
    ) -> Message:
        return self._withdraw(message.owner, message.epoch)

    def _withdraw(self, owner: Incarnation, epoch: Epoch) -> GrantWithdrawn:
        remaining_ms, sequence = self._grants.withdraw(owner, epoch, self._clock.now_ms)
        return GrantWithdrawn(self._membership.member.incarnation, remaining_ms, sequence)
