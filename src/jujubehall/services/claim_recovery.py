"""Recovers a sealed owner's in-memory claims, or records their loss, before a takeover."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from result import Err
from result import Ok
from twisted.internet.defer import DeferredList

from jujubehall.core.requests.grants import MIN_GRANTERS
from jujubehall.core.requests.grants import PROMISE_VALIDITY_MS
from jujubehall.core.requests.grants import max_missing_granters
from jujubehall.entry_hosts.messages import GrantWithdrawn
from jujubehall.entry_hosts.messages import Surrendered
from jujubehall.entry_hosts.messages import SurrenderWanted
from jujubehall.entry_hosts.messages import WithdrawalWanted
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.claim_heads import mark_cleared
from jujubehall.services.claim_log import IN_MEMORY_CLAIM_LIMIT_MS
from jujubehall.services.outage_claims import PEER_REQUEST_TIMEOUT_MS
from jujubehall.services.outage_claims import member_from_granter

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.requests.claim_records import ClaimHead
    from jujubehall.core.requests.claim_records import Granter
    from jujubehall.core.requests.claim_table import ClaimTable
    from jujubehall.core.requests.grants import IssuedGrants
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import Incarnation
    from jujubehall.platform.interface import Platform
    from jujubehall.services.claim_log import ClaimLog
    from jujubehall.services.membership import Membership

log = structlog.get_logger()


class ClaimRecovery:
    """Clears the heads of sealed owners.

    A head is marked as cleared in one of these cases: it has too few granters for in-memory
    claims; enough granters withdrew and none granted its last sequence number; the owner handed
    over its in-memory claims; or their loss was recorded.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        platform: Platform,
        mesh: Mesh,
        membership: Membership,
        claim_log: ClaimLog,
        claim_table: ClaimTable,
        issued_grants: IssuedGrants,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._platform = platform
        self._mesh = mesh
        self._membership = membership
        self._claim_log = claim_log
        self._claim_table = claim_table
        self._issued_grants = issued_grants
        self._first_requested_at_ms: dict[Incarnation, int] = {}
        mesh.register(SurrenderWanted, self._on_surrender_wanted)
        mesh.register(WithdrawalWanted, self._on_withdrawal_wanted)

    async def clear(self, head: ClaimHead, epoch: Epoch) -> bool:
        """Clears ``head``, which was sealed for ``epoch``.

        Returns False if the head can't be cleared yet; the caller must try again.
        """
        if len(head.granters) < MIN_GRANTERS:
            return await self._mark_cleared(head)
        first_requested_at_ms = self._first_requested_at_ms.setdefault(
            head.incarnation, self._clock.now_ms
        )
        withdrawals = await self._request_withdrawals(head, epoch)
        sequences = [withdrawal.sequence for withdrawal in withdrawals]
        needed_withdrawals = max_missing_granters(len(head.granters)) + 1
        if len(withdrawals) >= needed_withdrawals and max(sequences) < head.sequence:
            return await self._mark_cleared(head)
        handed_over_claims = await self._request_in_memory_claims(head)
        if handed_over_claims is not None:
            return await self._inherit_claims(head, handed_over_claims)
        waited_ms = self._clock.now_ms - first_requested_at_ms
        restarted_count = (
            self._count_restarted(head, withdrawals) if waited_ms >= PROMISE_VALIDITY_MS else 0
        )
        if (
            len(withdrawals) + restarted_count < needed_withdrawals
            and waited_ms < IN_MEMORY_CLAIM_LIMIT_MS + PROMISE_VALIDITY_MS
        ):
            return False
        # A granter whose process ended may have given its last promise just before: wait until
        # that has expired.
        remaining_ms = [each.remaining_ms for each in withdrawals]
        await sleep(
            self._reactor,
            PROMISE_VALIDITY_MS if restarted_count or not remaining_ms else max(remaining_ms),
        )
        return await self._record_loss(head)

    async def _request_withdrawals(self, head: ClaimHead, epoch: Epoch) -> list[GrantWithdrawn]:
        pending = [
            run_in_background(self._request_withdrawal(each, head, epoch)) for each in head.granters
        ]
        results = await DeferredList(pending)
        return [response for _, response in results if isinstance(response, GrantWithdrawn)]

    async def _request_withdrawal(
        self, granter: Granter, head: ClaimHead, epoch: Epoch
    ) -> GrantWithdrawn | None:
        if granter.incarnation == head.incarnation:
            return None
        if granter.incarnation == self._membership.member.incarnation:
            return self._withdraw_grants(head.incarnation, epoch)
        request = WithdrawalWanted(head.incarnation, epoch)
        result = await self._mesh.request(
            member_from_granter(granter), request, PEER_REQUEST_TIMEOUT_MS
        )
        if isinstance(result, Err) or not isinstance(result.ok_value, GrantWithdrawn):
            return None
        response = result.ok_value
        return response if response.incarnation == granter.incarnation else None

    async def _request_in_memory_claims(self, head: ClaimHead) -> tuple[int, ...] | None:
        owner = next((g for g in head.granters if g.incarnation == head.incarnation), None)
        if owner is None:
            return None
        request = SurrenderWanted(head.incarnation)
        result = await self._mesh.request(
            member_from_granter(owner), request, PEER_REQUEST_TIMEOUT_MS
        )
        if isinstance(result, Err) or not isinstance(result.ok_value, Surrendered):
            return None
        response = result.ok_value
        return response.claims if response.incarnation == head.incarnation else None

    def _count_restarted(self, head: ClaimHead, withdrawals: list[GrantWithdrawn]) -> int:
        """Counts the granters whose process has ended: another incarnation holds their name."""
        responded = {withdrawal.incarnation for withdrawal in withdrawals}
        registered = {member.name: member.incarnation for member in self._membership.members}
        return sum(
            registered.get(granter.name, granter.incarnation) != granter.incarnation
            for granter in head.granters
            if granter.incarnation not in responded
        )

    async def _inherit_claims(self, head: ClaimHead, claims: tuple[int, ...]) -> bool:
        self._claim_table.add_recorded_claims(claims, self._clock.now_ms)
        if isinstance(await self._claim_log.archives.archive(claims), Err):
            return False
        return await self._mark_cleared(head)

    async def _record_loss(self, head: ClaimHead) -> bool:
        recorded = await self._claim_log.archives.record_loss(head.incarnation, head.shards)
        if isinstance(recorded, Err):
            return False
        self._claim_table.record_lost_claims(head.incarnation, head.shards, self._clock.now_ms)
        log.warning("in-memory claims lost", peer=head.name, shards=len(head.shards))
        return await self._mark_cleared(head)

    async def _mark_cleared(self, head: ClaimHead) -> bool:
        return isinstance(await mark_cleared(self._platform, head), Ok)

    async def _on_surrender_wanted(
        self, sender: EntryHostName, message: SurrenderWanted
    ) -> Message:
        own_incarnation = self._membership.member.incarnation
        claims = (
            self._claim_log.hand_over_in_memory_claims() if message.owner == own_incarnation else ()
        )
        return Surrendered(own_incarnation, claims)

    async def _on_withdrawal_wanted(
        self, sender: EntryHostName, message: WithdrawalWanted
    ) -> Message:
        return self._withdraw_grants(message.owner, message.epoch)

    def _withdraw_grants(self, owner: Incarnation, epoch: Epoch) -> GrantWithdrawn:
        remaining_ms, sequence = self._issued_grants.withdraw(owner, epoch, self._clock.now_ms)
        return GrantWithdrawn(self._membership.member.incarnation, remaining_ms, sequence)
