"""Registers this entry host, and keeps the ownership record in step with the live members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from result import Err
from result import Ok

from jujubehall.core.ownership.assignment import next_record
from jujubehall.core.ownership.record import EMPTY_RECORD
from jujubehall.core.ownership.record import MEMBERS_PREFIX
from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.ownership.record import Member
from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.core.ownership.scopes import all_scopes
from jujubehall.errors import FailureKind
from jujubehall.services.timing import BackOff
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Reactor
    from jujubehall.identifiers import ZoneName
    from jujubehall.platform.interface import Platform
    from jujubehall.services.state_cache import StateCache

LEASE_TTL_MS = 3_000
RENEWAL_INTERVAL_MS = 1_000
RECORD_CHECK_INTERVAL_MS = 100
TURN_DELAY_MS = 300

log = structlog.get_logger()


class Membership:
    """This entry host's membership and its view of who owns what."""

    def __init__(
        self,
        reactor: Reactor,
        platform: Platform,
        cache: StateCache,
        member: Member,
        zones: Callable[[], list[ZoneName]],
        random: Random,
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._cache = cache
        self._member = member
        self._zones = zones
        self._back_off = BackOff(random)
        self._lease = ""
        self._running = True
        self._mismatched_for_ms = 0

    @property
    def member(self) -> Member:
        """This entry host."""
        return self._member

    @property
    def record(self) -> OwnershipRecord:
        """The latest known ownership record."""
        record = self._cache.read(OWNERSHIP_KEY, OwnershipRecord)
        return EMPTY_RECORD if record is None else record

    @property
    def members(self) -> list[Member]:
        """The registered entry hosts."""
        return self._cache.read_all(MEMBERS_PREFIX, Member)

    @property
    def is_member(self) -> bool:
        """Whether the record in force names this incarnation."""
        member = self.record.member(self._member.name)
        return member is not None and member.incarnation == self._member.incarnation

    def owns(self, scope: str) -> bool:
        """Whether the record in force gives ``scope`` to this incarnation."""
        owner = self.record.owner_of(scope)
        return owner is not None and owner.incarnation == self._member.incarnation

    async def run(self) -> None:
        """Registers, renews the registration and proposes records until stopped."""
        start(self._propose_records())
        while self._running:
            if await self._register():
                self._back_off.reset()
                await sleep(self._reactor, RENEWAL_INTERVAL_MS)
            else:
                await sleep(self._reactor, self._back_off.next_ms())

    async def drain(self) -> None:
        """Announces that this entry host is leaving, so that its scopes move to others."""
        self._member = msgspec.structs.replace(self._member, draining=True)
        await self._write_member()

    async def leave(self) -> None:
        """Ends the registration."""
        self._running = False
        if self._lease:
            await self._platform.revoke_lease(self._lease)

    async def _register(self) -> bool:
        if self._lease:
            renewed = await self._platform.renew_lease(self._lease)
            if isinstance(renewed, Ok):
                return self._is_registered or await self._write_member()
            if renewed.err_value.kind is not FailureKind.NOT_FOUND:
                return False
            self._lease = ""
        granted = await self._platform.grant_lease(LEASE_TTL_MS)
        if isinstance(granted, Err):
            return False
        self._lease = granted.ok_value
        return await self._write_member()

    @property
    def _key(self) -> str:
        return MEMBERS_PREFIX + self._member.name

    @property
    def _is_registered(self) -> bool:
        return bool(self._cache.read(self._key, Member) == self._member)

    async def _write_member(self) -> bool:
        if not self._cache.is_loaded:
            return False
        # An earlier incarnation's registration may still be there: its name is ours now.
        version = self._cache.version(self._key)
        written = await self._cache.put(self._key, self._member, version, self._lease)
        return isinstance(written, Ok)

    async def _propose_records(self) -> None:
        while self._running:
            await sleep(self._reactor, RECORD_CHECK_INTERVAL_MS)
            if self._cache.is_connected and self._is_registered:
                await self._propose_record()

    async def _propose_record(self) -> None:
        record = self.record
        members = self.members
        proposal = next_record(record, members, all_scopes(self._zones()))
        if proposal is None:
            self._mismatched_for_ms = 0
            return
        # Members take turns, so that a change is normally proposed by one of them only.
        self._mismatched_for_ms += RECORD_CHECK_INTERVAL_MS
        turn = [member.name for member in members].index(self._member.name)
        if self._mismatched_for_ms < turn * TURN_DELAY_MS:
            return
        version = self._cache.version(OWNERSHIP_KEY)
        written = await self._cache.put(OWNERSHIP_KEY, proposal, version)
        if isinstance(written, Ok):
            log.info("ownership changed", epoch=proposal.epoch, members=len(members))
        self._mismatched_for_ms = 0
