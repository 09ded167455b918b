"""Registers this entry host and proposes ownership records that match the live members."""

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
from jujubehall.core.ownership.retention import with_expired_members
from jujubehall.core.ownership.scopes import ZONE_SCOPE_PREFIX
from jujubehall.core.ownership.scopes import all_scopes
from jujubehall.errors import FailureKind
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import ZoneName
from jujubehall.services.async_utils import BackOff
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Reactor
    from jujubehall.identifiers import EntryHostName
    from jujubehall.platform.interface import Platform
    from jujubehall.services.state_cache import StateCache

LEASE_TTL_MS = 3_000
LEASE_RENEWAL_INTERVAL_MS = 800
RECORD_CHECK_INTERVAL_MS = 100
PROPOSAL_DELAY_PER_RANK_MS = 300
"""How much longer each member waits to propose a record than the one before it by name."""

HAND_OVER_CHECK_INTERVAL_MS = 50

OUTAGE_RECOVERY_GRACE_MS = 10_000
"""How long after an outage live members keep their scopes although their leases expired."""

FIRST_HEARTBEAT_GRACE_MS = 2_500
"""How long after an outage a member counts as live before its first heartbeat arrives."""

MAX_HEARTBEAT_AGE_MS = 3_500
"""How recent a heartbeat must be for a member without a registration to count as live."""

PROCESS_PAUSE_THRESHOLD_MS = 1_000
"""A longer gap between two record checks counts as a pause of this process."""

log = structlog.get_logger()


class Membership:
    """Maintains this entry host's registration and its view of the ownership record."""

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
        self._latest_record = EMPTY_RECORD
        self._change_due_since_ms: int | None = None
        self._connected_since_ms: int | None = None
        self._last_check_ms = self._now_ms
        self._settled_inputs: object = None
        self._has_heard: Callable[[EntryHostName, int], bool] = lambda name, within_ms: False

    @property
    def member(self) -> Member:
        """This entry host as it is registered."""
        return self._member

    @property
    def record(self) -> OwnershipRecord:
        """The latest known ownership record; its epoch never decreases."""
        known = self._cache.read(OWNERSHIP_KEY, OwnershipRecord)
        if known is not None and known.epoch > self._latest_record.epoch:
            self._latest_record = known
        return self._latest_record

    @property
    def members(self) -> list[Member]:
        """The entry hosts that are registered at present."""
        return self._cache.read_all(MEMBERS_PREFIX, Member)

    @property
    def is_member(self) -> bool:
        """Whether the current record lists this incarnation as a member."""
        member = self.record.member(self._member.name)
        return member is not None and member.incarnation == self._member.incarnation

    @property
    def is_replaced(self) -> bool:
        """Whether a later incarnation took this entry host's name; this process must then exit."""
        return self._is_replaced

    def owns(self, scope: str) -> bool:
        """Whether the current record assigns ``scope`` to this incarnation."""
        owner = self.record.owner_of(scope)
        return owner is not None and owner.incarnation == self._member.incarnation

    def set_heartbeat_check(self, has_heard: Callable[[EntryHostName, int], bool]) -> None:
        """Sets the function that tells which members are alive when their leases have expired.

        ``has_heard(name, within_ms)`` returns whether a heartbeat of that entry host arrived
        within the last ``within_ms`` milliseconds.
        """
        self._has_heard = has_heard

    def on_replaced(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` once if a later incarnation replaces this one."""
        self._replaced_listeners.append(listener)

    async def run(self) -> None:
        """Registers, renews the registration and proposes ownership records until stopped."""
        proposal_loop = run_in_background(self._propose_records())
        while self._running:
            if proposal_loop.called:
                # The proposal loop ends early only by an exception, which must end the service.
                await proposal_loop
            if self._lease:
                # Not awaited: the next renewal must be sent on time even if this response is lost.
                run_in_background(self._renew(self._lease))
                await sleep(self._reactor, LEASE_RENEWAL_INTERVAL_MS)
            elif await self._register():
                self._back_off.reset()
                await sleep(self._reactor, LEASE_RENEWAL_INTERVAL_MS)
            else:
                await sleep(self._reactor, self._back_off.next_delay_ms())

    async def drain(self) -> None:
        """Marks this entry host as draining, so that its scopes move to other entry hosts."""
        self._member = msgspec.structs.replace(self._member, draining=True)
        await self._write_registration()

    async def wait_for_hand_over(self, timeout_ms: int) -> bool:
        """Waits until other entry hosts own all scopes of this draining one.

        Returns False after ``timeout_ms`` milliseconds, or at once if no other entry host can
        take the scopes.
        """
        deadline_at_ms = self._now_ms + timeout_ms
        while self._owns_any():
            if self._now_ms >= deadline_at_ms or not self._has_successor():
                return False
            await sleep(self._reactor, HAND_OVER_CHECK_INTERVAL_MS)
        return True

    async def deregister(self) -> None:
        """Stops the renewal and revokes the registration's lease."""
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
    def _is_lease_valid(self) -> bool:
        renewed_at_ms = self._renewed_at_ms
        return renewed_at_ms is not None and self._now_ms - renewed_at_ms < LEASE_TTL_MS

    async def _renew(self, lease: str) -> None:
        sent_at_ms = self._now_ms
        renewed = await self._platform.renew_lease(lease)
        if lease != self._lease or not self._running:
            return
        if isinstance(renewed, Ok):
            self._renewed_at_ms = sent_at_ms
            if not self._is_registered:
                await self._write_registration()
        elif renewed.err_value.kind is FailureKind.NOT_FOUND:
            self._lease = ""
            self._renewed_at_ms = None
            await self._register()

    async def _register(self) -> bool:
        sent_at_ms = self._now_ms
        granted = await self._platform.grant_lease(LEASE_TTL_MS)
        if isinstance(granted, Err) or not self._running:
            return False
        self._lease = granted.ok_value
        self._renewed_at_ms = sent_at_ms
        return await self._write_registration()

    @property
    def _registration_key(self) -> str:
        return MEMBERS_PREFIX + self._member.name

    @property
    def _is_registered(self) -> bool:
        return bool(self._cache.read(self._registration_key, Member) == self._member)

    async def _write_registration(self) -> bool:
        if not self._cache.is_loaded or not self._running:
            return False
        known: Member | None = self._cache.read(self._registration_key, Member)
        if known is not None and known.incarnation != self._member.incarnation:
            # An incarnation's first registration replaces the other one regardless of start times,
            # since wall clocks may differ.
            if self._was_registered and known.is_later_than(self._member):
                self._step_down(known)
                return False
            log.info("replacing registration of another incarnation", other=known.incarnation)
        version = self._cache.version(self._registration_key)
        lease = self._lease
        written = await self._cache.put(self._registration_key, self._member, version, lease)
        if isinstance(written, Ok):
            self._was_registered = True
        return isinstance(written, Ok)

    def _step_down(self, other: Member) -> None:
        # If two processes kept replacing each other, the record would change forever.
        log.error("replaced by a later incarnation", other=other.incarnation)
        self._running = False
        self._is_replaced = True
        for listener in self._replaced_listeners:
            listener()

    async def _propose_records(self) -> None:
        while self._running:
            await sleep(self._reactor, RECORD_CHECK_INTERVAL_MS)
            self._update_connected_since()
            if self._connected_since_ms is not None and self._is_registered:
                await self._propose_record()

    def _update_connected_since(self) -> None:
        # After a long pause of this process, its cached state is out of date.
        paused = self._now_ms - self._last_check_ms > PROCESS_PAUSE_THRESHOLD_MS
        self._last_check_ms = self._now_ms
        if paused or not self._is_lease_valid or not self._cache.is_connected:
            self._connected_since_ms = None
        elif self._connected_since_ms is None:
            self._connected_since_ms = self._now_ms

    def _may_reregister(self, member: Member) -> bool:
        assert self._connected_since_ms is not None
        connected_ms = self._now_ms - self._connected_since_ms
        if connected_ms >= OUTAGE_RECOVERY_GRACE_MS:
            return False
        return connected_ms < FIRST_HEARTBEAT_GRACE_MS or self._has_heard(
            member.name, MAX_HEARTBEAT_AGE_MS
        )

    async def _propose_record(self) -> None:
        record = self.record
        proposal = self._next_record(record)
        if proposal is None:
            self._change_due_since_ms = None
            return
        if self._change_due_since_ms is None:
            self._change_due_since_ms = self._now_ms
        # Each member waits in proportion to its rank, so that usually only one proposes a change.
        rank = [member.name for member in self.members].index(self._member.name)
        if self._now_ms - self._change_due_since_ms < rank * PROPOSAL_DELAY_PER_RANK_MS:
            return
        assert proposal.epoch > record.epoch, "a proposed record must have a higher epoch"
        version = self._cache.version(OWNERSHIP_KEY)
        written = await self._cache.put(OWNERSHIP_KEY, proposal, version)
        if isinstance(written, Ok):
            members = len(proposal.members)
            log.info("ownership changed", epoch=proposal.epoch, members=members)
        self._change_due_since_ms = None

    def _next_record(self, record: OwnershipRecord) -> OwnershipRecord | None:
        members = with_expired_members(record, self.members, self._may_reregister)
        stored = self._cache.version(OWNERSHIP_KEY)
        inputs = (record.epoch, stored, members, self._zones())
        if inputs == self._settled_inputs:
            return None
        proposal = next_record(record, members, all_scopes(self._scoped_zones(record)))
        if proposal is None and self._is_record_lost(record):
            return msgspec.structs.replace(record, epoch=Epoch(record.epoch + 1))
        if proposal is None:
            self._settled_inputs = inputs
        return proposal

    def _scoped_zones(self, record: OwnershipRecord) -> set[ZoneName]:
        # A host list that is empty, outdated or lacks an unreachable zone must not remove the
        # owner of a zone.
        owned = {
            ZoneName(scope.removeprefix(ZONE_SCOPE_PREFIX))
            for scope in record.owners
            if scope.startswith(ZONE_SCOPE_PREFIX)
        }
        return owned | set(self._zones())

    def _is_record_lost(self, record: OwnershipRecord) -> bool:
        stored = self._cache.read(OWNERSHIP_KEY, OwnershipRecord)
        return record.epoch > 0 and (stored is None or stored.epoch < record.epoch)
