"""Registers this entry host, and keeps the ownership record in step with the live members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from result import Err
from result import Ok

from jujubehall.clock import MS_PER_SECOND
from jujubehall.core.ownership.assignment import next_record
from jujubehall.core.ownership.record import EMPTY_RECORD
from jujubehall.core.ownership.record import MEMBERS_PREFIX
from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.ownership.record import Member
from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.core.ownership.retention import with_retained
from jujubehall.core.ownership.scopes import ZONE_SCOPE_PREFIX
from jujubehall.core.ownership.scopes import all_scopes
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import ZoneName
from jujubehall.services.timing import BackOff
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Reactor
    from jujubehall.identifiers import EntryHostName
    from jujubehall.platform.interface import Platform
    from jujubehall.services.state_cache import StateCache

LEASE_TTL_MS = 3_000
RENEWAL_INTERVAL_MS = 800
RECORD_CHECK_INTERVAL_MS = 100
TURN_DELAY_MS = 300
HAND_OVER_CHECK_INTERVAL_MS = 50

RETURN_GRACE_MS = 10_000
"""How long after an outage lapsed members that are alive keep their scopes."""

FIRST_HEARTBEAT_MS = 2_500
"""How long after an outage a member may be alive although it wasn't heard yet."""

HEARD_WITHIN_MS = 3_500
LONG_PAUSE_MS = 1_000

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
        self._renewed_at_ms: int | None = None
        self._was_registered = False
        self._is_replaced = False
        self._replaced_listeners: list[Callable[[], None]] = []
        self._highest = EMPTY_RECORD
        self._mismatched_since_ms: int | None = None
        self._contact_since_ms: int | None = None
        self._last_check_ms = self._now_ms
        self._settled: object = None
        self._has_heard: Callable[[EntryHostName, int], bool] = lambda name, within_ms: False

    @property
    def member(self) -> Member:
        """This entry host."""
        return self._member

    @property
    def record(self) -> OwnershipRecord:
        """The latest known ownership record; its epoch never falls."""
        known = self._cache.read(OWNERSHIP_KEY, OwnershipRecord)
        if known is not None and known.epoch > self._highest.epoch:
            self._highest = known
        return self._highest

    @property
    def members(self) -> list[Member]:
        """The registered entry hosts."""
        return self._cache.read_all(MEMBERS_PREFIX, Member)

    @property
    def is_member(self) -> bool:
        """Whether the record in force names this incarnation."""
        member = self.record.member(self._member.name)
        return member is not None and member.incarnation == self._member.incarnation

    @property
    def is_replaced(self) -> bool:
        """Whether another incarnation took this one's name; this process must end."""
        return self._is_replaced

    def owns(self, scope: str) -> bool:
        """Whether the record in force gives ``scope`` to this incarnation."""
        owner = self.record.owner_of(scope)
        return owner is not None and owner.incarnation == self._member.incarnation

    def follow_peers(self, has_heard: Callable[[EntryHostName, int], bool]) -> None:
        """Has the direct heartbeats tell which members live on while the platform is down."""
        self._has_heard = has_heard

    def on_replaced(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` once if another incarnation takes this one's name."""
        self._replaced_listeners.append(listener)

    async def run(self) -> None:
        """Registers, renews the registration and proposes records until stopped."""
        proposals = start(self._propose_records())
        while self._running:
            if proposals.called:
                # Only an exception ends the proposals while this runs: it ends the service.
                await proposals
            if self._lease:
                # Not awaited: the next renewal goes out in time also if this answer is lost.
                start(self._renew(self._lease))
                await sleep(self._reactor, RENEWAL_INTERVAL_MS)
            elif await self._acquire():
                self._back_off.reset()
                await sleep(self._reactor, RENEWAL_INTERVAL_MS)
            else:
                await sleep(self._reactor, self._back_off.next_ms())

    async def drain(self) -> None:
        """Announces that this entry host is leaving, so that its scopes move to others."""
        self._member = msgspec.structs.replace(self._member, draining=True)
        await self._write_member()

    async def hand_over(self, timeout_ms: int) -> bool:
        """Waits until others own the scopes of this draining host; returns whether they do."""
        give_up_at_ms = self._now_ms + timeout_ms
        while self._owns_any():
            if self._now_ms >= give_up_at_ms or not self._has_successor():
                return False
            await sleep(self._reactor, HAND_OVER_CHECK_INTERVAL_MS)
        return True

    async def leave(self) -> None:
        """Ends the registration."""
        self._running = False
        if self._lease:
            await self._platform.revoke_lease(self._lease)

    @property
    def _now_ms(self) -> int:
        return round(self._reactor.seconds() * MS_PER_SECOND)

    def _owns_any(self) -> bool:
        return self.is_member and self._member.name in self.record.owners.values()

    def _has_successor(self) -> bool:
        return any(not m.draining for m in self.members if m.name != self._member.name)

    @property
    def _is_renewed(self) -> bool:
        renewed_ms = self._renewed_at_ms
        return renewed_ms is not None and self._now_ms - renewed_ms < LEASE_TTL_MS

    async def _renew(self, lease: str) -> None:
        sent_at_ms = self._now_ms
        renewed = await self._platform.renew_lease(lease)
        if lease != self._lease or not self._running:
            return
        if isinstance(renewed, Ok):
            self._renewed_at_ms = sent_at_ms
            if not self._is_registered:
                await self._write_member()
        elif renewed.err_value.kind is FailureKind.NOT_FOUND:
            self._lease = ""
            self._renewed_at_ms = None
            await self._acquire()

    async def _acquire(self) -> bool:
        sent_at_ms = self._now_ms
        granted = await self._platform.grant_lease(LEASE_TTL_MS)
        if isinstance(granted, Err) or not self._running:
            return False
        self._lease = granted.ok_value
        self._renewed_at_ms = sent_at_ms
        return await self._write_member()

    @property
    def _key(self) -> str:
        return MEMBERS_PREFIX + self._member.name

    @property
    def _is_registered(self) -> bool:
        return bool(self._cache.read(self._key, Member) == self._member)

    async def _write_member(self) -> bool:
        if not self._cache.is_loaded or not self._running:
            return False
        known: Member | None = self._cache.read(self._key, Member)
        if known is not None and known.incarnation != self._member.incarnation:
            # At its first registration, an incarnation takes the name whatever its clock says.
            if self._was_registered and known.is_later_than(self._member):
                self._step_down(known)
                return False
            log.info("registration of another incarnation replaced", other=known.incarnation)
        version = self._cache.version(self._key)
        lease = self._lease
        written = await self._cache.put(self._key, self._member, version, lease)
        if isinstance(written, Ok):
            self._was_registered = True
        return isinstance(written, Ok)

    def _step_down(self, other: Member) -> None:
        # Two processes that took the name from each other would change the record for ever.
        log.error("replaced by another incarnation", other=other.incarnation)
        self._running = False
        self._is_replaced = True
        for listener in self._replaced_listeners:
            listener()

    async def _propose_records(self) -> None:
        while self._running:
            await sleep(self._reactor, RECORD_CHECK_INTERVAL_MS)
            self._note_contact()
            if self._contact_since_ms is not None and self._is_registered:
                await self._propose_record()

    def _note_contact(self) -> None:
        # After a long pause of this process, nothing that it believes to know is recent.
        paused = self._now_ms - self._last_check_ms > LONG_PAUSE_MS
        self._last_check_ms = self._now_ms
        if paused or not self._is_renewed or not self._cache.is_connected:
            self._contact_since_ms = None
        elif self._contact_since_ms is None:
            self._contact_since_ms = self._now_ms

    def _may_return(self, member: Member) -> bool:
        assert self._contact_since_ms is not None
        contact_ms = self._now_ms - self._contact_since_ms
        if contact_ms >= RETURN_GRACE_MS:
            return False
        return contact_ms < FIRST_HEARTBEAT_MS or self._has_heard(member.name, HEARD_WITHIN_MS)

    async def _propose_record(self) -> None:
        record = self.record
        proposal = self._next_record(record)
        if proposal is None:
            self._mismatched_since_ms = None
            return
        if self._mismatched_since_ms is None:
            self._mismatched_since_ms = self._now_ms
        # Members take turns, so that a change is normally proposed by one of them only.
        turn = [member.name for member in self.members].index(self._member.name)
        if self._now_ms - self._mismatched_since_ms < turn * TURN_DELAY_MS:
            return
        assert proposal.epoch > record.epoch, "the epoch rises with each record"
        version = self._cache.version(OWNERSHIP_KEY)
        written = await self._cache.put(OWNERSHIP_KEY, proposal, version)
        if isinstance(written, Ok):
            members = len(proposal.members)
            log.info("ownership changed", epoch=proposal.epoch, members=members)
        self._mismatched_since_ms = None

    def _next_record(self, record: OwnershipRecord) -> OwnershipRecord | None:
        members = with_retained(record, self.members, self._may_return)
        stored = self._cache.version(OWNERSHIP_KEY)
        inputs = (record.epoch, stored, members, self._zones())
        if inputs == self._settled:
            return None
        proposal = next_record(record, members, all_scopes(self._scoped_zones(record)))
        if proposal is None and self._is_record_lost(record):
            return msgspec.structs.replace(record, epoch=Epoch(record.epoch + 1))
        if proposal is None:
            self._settled = inputs
        return proposal

    def _scoped_zones(self, record: OwnershipRecord) -> set[ZoneName]:
        # A list of hosts that is empty, lags or misses a lost zone takes no zone its owner.
        owned = {
            ZoneName(scope.removeprefix(ZONE_SCOPE_PREFIX))
            for scope in record.owners
            if scope.startswith(ZONE_SCOPE_PREFIX)
        }
        return owned | set(self._zones())

    def _is_record_lost(self, record: OwnershipRecord) -> bool:
        stored = self._cache.read(OWNERSHIP_KEY, OwnershipRecord)
        return record.epoch > 0 and (stored is None or stored.epoch < record.epoch)
