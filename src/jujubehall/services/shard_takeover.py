"""Prepares an entry host to serve the request shards that it owns in an epoch."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import structlog

from result import Err
from result import Ok

from jujubehall.core.ownership.scopes import REQUEST_SHARDS
from jujubehall.core.ownership.scopes import shard_scope
from jujubehall.core.requests.claim_records import ARCHIVES_PREFIX
from jujubehall.core.requests.claim_records import HEADS_PREFIX
from jujubehall.core.requests.claim_records import LOST_PREFIX
from jujubehall.core.requests.claim_records import ClaimArchive
from jujubehall.core.requests.claim_records import ClaimHead
from jujubehall.core.requests.claim_records import Granter
from jujubehall.core.requests.claim_records import LostClaims
from jujubehall.core.requests.claim_records import head_key
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Epoch
from jujubehall.services.async_utils import BackOff
from jujubehall.services.async_utils import sleep
from jujubehall.services.claim_heads import seal_head

if TYPE_CHECKING:
    from random import Random

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import OwnershipRecord
    from jujubehall.core.requests.claim_table import ClaimTable
    from jujubehall.platform.interface import Platform
    from jujubehall.services.claim_log import ClaimLog
    from jujubehall.services.claim_recovery import ClaimRecovery
    from jujubehall.services.membership import Membership

CHECK_INTERVAL_MS = 50
LIVE_MEMBER_WAIT_MS = 1_000
"""How long live members get to open their logs for a new epoch before their heads are sealed."""

log = structlog.get_logger()


class ShardTakeover:
    """Takes over request shards as the ownership record changes.

    A shard is served only once all earlier owners are fenced. In each epoch this entry host opens
    its claim log for that epoch. Before it serves a newly assigned shard, every other entry
    host's head must be open for that epoch or sealed; then the recorded claims are inherited.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        platform: Platform,
        membership: Membership,
        claim_log: ClaimLog,
        claim_table: ClaimTable,
        claim_recovery: ClaimRecovery,
        random: Random,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._platform = platform
        self._membership = membership
        self._claim_log = claim_log
        self._claim_table = claim_table
        self._claim_recovery = claim_recovery
        self._back_off = BackOff(random)
        self._ready_epochs: dict[str, Epoch] = {}
        self._completed_epoch = Epoch(0)
        self._running = True

    def is_ready(self, scope: str) -> bool:
        """Whether this entry host owns ``scope`` and may claim its requests durably."""
        record = self._membership.record
        return (
            self._membership.owns(scope)
            and self._claim_log.epoch == record.epoch
            and self._ready_epochs.get(scope) == record.owned_since.get(scope)
        )

    def may_claim_in_memory(self, scope: str) -> bool:
        """Whether in-memory claims are allowed for ``scope``, given enough grants.

        True if this entry host owns ``scope``, has taken it over, and last opened its claim log
        for the current epoch. The log needn't be open now, because grants make such claims safe.
        """
        record = self._membership.record
        return (
            self._membership.owns(scope)
            and self._claim_log.last_opened_epoch == record.epoch
            and self._ready_epochs.get(scope) == record.owned_since.get(scope)
        )

    def stop(self) -> None:
        """Stops following the ownership record."""
        self._running = False

    async def run(self) -> None:
        """Takes over the shards that the record assigns to this entry host, until stopped."""
        while self._running:
            if await self._update():
                self._back_off.reset()
                await sleep(self._reactor, CHECK_INTERVAL_MS)
            else:
                await sleep(self._reactor, self._back_off.next_delay_ms())

    async def _update(self) -> bool:
        self._claim_table.expire(self._clock.now_ms)
        record = self._membership.record
        if not self._membership.is_member:
            return True
        if self._claim_log.epoch != record.epoch and not await self._open_claim_log(record):
            return False
        if isinstance(await self._claim_log.flush(), Err):
            return False
        if self._completed_epoch == record.epoch:
            return True
        gained_scopes = [scope for scope in self._owned_scopes() if not self.is_ready(scope)]
        if gained_scopes and not await self._take_over(record, gained_scopes):
            return False
        if self._membership.record.epoch == record.epoch:
            self._completed_epoch = record.epoch
        return True

    async def _take_over(self, record: OwnershipRecord, gained_scopes: list[str]) -> bool:
        if not await self._fence_others(record.epoch) or not await self._inherit_claims():
            return False
        if self._membership.record.epoch != record.epoch:
            return True
        for scope in gained_scopes:
            self._ready_epochs[scope] = record.owned_since[scope]
        log.info("request shards taken over", epoch=record.epoch, shards=len(gained_scopes))
        return True

    async def _open_claim_log(self, record: OwnershipRecord) -> bool:
        if not await self._clear_earlier_incarnation(record.epoch):
            return False
        own = self._membership.member.name
        shards = tuple(n for n in range(REQUEST_SHARDS) if record.owners[shard_scope(n)] == own)
        granters = tuple(
            Granter(each.name, each.incarnation, each.mesh_address) for each in record.members
        )
        return isinstance(await self._claim_log.open(record.epoch, shards, granters), Ok)

    async def _clear_earlier_incarnation(self, epoch: Epoch) -> bool:
        if self._claim_log.last_opened_epoch:
            return True
        name = self._membership.member.name
        found = await self._platform.get(head_key(name))
        if isinstance(found, Err):
            return found.err_value.kind is FailureKind.NOT_FOUND
        head = msgspec.convert(found.ok_value.value, ClaimHead)
        if head.cleared or head.incarnation == self._membership.member.incarnation:
            return True
        if isinstance(await seal_head(self._platform, name, epoch), Err):
            return False
        return await self._claim_recovery.clear(head, epoch)

    def _owned_scopes(self) -> list[str]:
        scopes = [shard_scope(shard) for shard in range(REQUEST_SHARDS)]
        return [scope for scope in scopes if self._membership.owns(scope)]

    async def _fence_others(self, epoch: Epoch) -> bool:
        waited_ms = 0
        while True:
            heads = await self._read_all(HEADS_PREFIX, ClaimHead)
            if heads is None:
                return False
            unfenced = [head for head in heads if not head.blocks_claims_before(epoch)]
            if not unfenced:
                return await self._clear_sealed_heads(heads, epoch)
            # A live member normally opens its log for the new epoch within a moment.
            if waited_ms >= LIVE_MEMBER_WAIT_MS or not any(
                self._is_live(head) for head in unfenced
            ):
                for head in unfenced:
                    await seal_head(self._platform, head.name, epoch)
            else:
                await sleep(self._reactor, CHECK_INTERVAL_MS)
                waited_ms += CHECK_INTERVAL_MS

    async def _clear_sealed_heads(self, heads: list[ClaimHead], epoch: Epoch) -> bool:
        cleared = True
        for head in heads:
            if head.sealed and not head.cleared:
                cleared = await self._claim_recovery.clear(head, epoch) and cleared
        return cleared

    def _is_live(self, head: ClaimHead) -> bool:
        member = self._membership.record.member(head.name)
        return member is not None and member.incarnation == head.incarnation

    async def _inherit_claims(self) -> bool:
        heads = await self._read_all(HEADS_PREFIX, ClaimHead)
        archives = await self._read_all(ARCHIVES_PREFIX, ClaimArchive)
        losses = await self._read_all(LOST_PREFIX, LostClaims)
        if heads is None or archives is None or losses is None:
            return False
        for loss in losses:
            self._claim_table.record_lost_claims(loss.incarnation, loss.shards, self._clock.now_ms)
        own = self._membership.member.incarnation
        self._claim_table.add_recorded_claims(self._claim_log.recovered_claims, self._clock.now_ms)
        for record in (*heads, *archives):
            # The claims of this incarnation are already in the table, with their answers.
            if record.incarnation != own:
                self._claim_table.add_recorded_claims(record.claims, self._clock.now_ms)
        return True

    async def _read_all(self, prefix: str, type_: type[Any]) -> list[Any] | None:
        listed = await self._platform.list_entries(prefix)
        if isinstance(listed, Ok):
            return [msgspec.convert(entry.value, type_) for entry in listed.ok_value.entries]
        return None
