"""Leader election: the owner of the site holds a lease on a record in the store.

An owner whose heartbeats stop is replaced before its lease expires if the other entry hosts don't
receive them either: its record is then replaced by compare-and-swap. This is safe at any time,
since workers refuse lower fencing tokens and the owner's commits to the store are conditional on
its record. The waiting time only prevents needless changes of the owner. It starts anew for each
owner, since the silence of its predecessor shows nothing about it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import msgspec
import structlog

from result import Err

from jujubehall.clock import to_seconds
from jujubehall.errors import FailureKind
from jujubehall.identifiers import FencingToken
from jujubehall.metrics import OWNER_CHANGES
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import LeaseId
from jujubehall.platform.site_store import Precondition
from jujubehall.platform.site_store import Write
from jujubehall.services.async_utils import run_loop
from jujubehall.services.async_utils import sleep
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import OwnerRecord
from jujubehall.services.fleet.records import decode_record

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import Member
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import StoredItem

OWNER_LEASE_MS = 2_000
"""Worker leases of 6 s must outlast a crashed owner's lease and the takeover by a successor."""

LEASE_RENEWAL_INTERVAL_MS = 500
"""Three consecutive renewals may fail before the lease expires."""

STORE_RETRY_INTERVAL_MS = 200
MAX_ELECTION_JITTER_MS = 30
LARGER_HOST_PRECEDENCE_MS = 400
"""How long an entry host leaves an election to larger ones, which notice a missing owner within a
check interval, a campaign interval and a few store calls."""

HANDOVER_CHECK_INTERVAL_MS = 5_000
"""How often an owner looks for a larger entry host. A takeover takes about a second, so it must stay
rare even if the larger host soon fails again."""

OWNER_CHECK_INTERVAL_MS = 100
CAMPAIGN_INTERVAL_MS = 250
"""How often an entry host that knows of no owner reads the owner record. Bounds the time for which
the site has no owner."""

OWNER_SUSPICION_TIMEOUT_MS = 1_000
"""Time without a heartbeat after which an owner may be replaced: three missed heartbeats."""

STORE_OUTAGE_GRACE_MS = 6_000
"""How long an owner keeps acting without the store: the longest lease of a worker. After its
election, a successor waits this long, plus that lease, for workers that it can't reach."""

STAND_BACK_MS = 3_000
"""How long an entry host that gave up the ownership leaves it to the others: time for a campaign
and the first load of another one."""

MAX_UNFIT_MS = 300_000
"""Longest time for which an entry host that failed as owner is offered no ownership. The time
doubles from ``STAND_BACK_MS`` with each failure, so that hand-overs to a broken host become rare."""

PROCESS_PAUSE_THRESHOLD_MS = 600
"""A gap of this length between two pause checks shows that the process was suspended."""

PAUSE_CHECK_INTERVAL_MS = 100
COMMIT_TIMEOUT_MS = 1_000

log = structlog.get_logger()


async def _prepare_nothing() -> None:
    pass


class ElectionPeers(Protocol):
    """The other entry hosts, which are consulted before the owner changes."""

    async def query_owner_silence_ms(self, token: FencingToken) -> int | None:
        """Returns the shortest time since a peer heard of the owner; None if no peer knows it."""

    async def can_any_reach_store(self) -> bool:
        """Returns whether any peer can reach the store now."""

    def knows_larger_host(self) -> bool:
        """Returns whether an entry host with a larger capacity is registered."""

    async def can_larger_host_take_over(self) -> bool:
        """Returns whether a larger entry host responds, reaches the store and accepts the ownership."""

    def announce_resignation(self) -> None:
        """Tells all peers that this entry host resigns as the owner of the site."""


class Term(NamedTuple):
    """One period of ownership. The token is the store revision at which the election was won."""

    token: FencingToken
    owner_revision: Revision


class Ownership:
    """Campaigns for the ownership of the site and renews its lease."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        store: SiteStore,
        member: Member,
        random: Random,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._member = member
        self._random = random
        self._lease: LeaseId | None = None
        self._lease_renewed_ms = 0
        self._last_pause_check_ms = clock.now_ms
        self._must_verify_lease = False
        self._is_stopping = False
        # No owner has been heard of, so the owner record is read at once after the start.
        self._owner_heard_ms = clock.now_ms - OWNER_SUSPICION_TIMEOUT_MS
        self._owner_discovered_ms = self._owner_heard_ms
        self._resigned_token = FencingToken(0)
        self._stands_back_until_ms = 0
        self._failed_terms = 0
        """Terms in a row that this entry host gave up before it had taken over."""

        self._unfit_until_ms = 0
        self._next_handover_check_ms = 0
        self._campaigning_since_ms: int | None = None
        """When this entry host noticed that there is no owner; None while there is one."""

        self._peers: ElectionPeers | None = None
        self.term: Term | None = None
        self.highest_token = FencingToken(0)
        self._on_elected: Callable[[Term], None] = lambda term: None
        self._on_lost: Callable[[str], None] = lambda reason: None
        self._prepare_hand_over: Callable[[], Awaitable[None]] = _prepare_nothing

    @property
    def may_act(self) -> bool:
        """Whether commands may be sent under the current term."""
        now_ms = self._clock.now_ms
        return (
            self.term is not None
            and not self._must_verify_lease
            and now_ms - self._last_pause_check_ms < PROCESS_PAUSE_THRESHOLD_MS
            and now_ms - self._lease_renewed_ms < STORE_OUTAGE_GRACE_MS
        )

    @property
    def owner_silence_ms(self) -> int:
        """The time since a heartbeat of another owner, or a later owner's record, was received."""
        return self._clock.now_ms - max(self._owner_heard_ms, self._owner_discovered_ms)

    @property
    def can_take_over(self) -> bool:
        """Whether a smaller owner may hand over to this entry host."""
        return not self._is_stopping and self._clock.now_ms >= self._unfit_until_ms

    def set_peers(self, peers: ElectionPeers) -> None:
        """Sets the peers to consult about a silent owner and about the store."""
        self._peers = peers

    def note_resignation(self, token: FencingToken) -> None:
        """Records that the owner with ``token`` has resigned."""
        self._resigned_token = max(self._resigned_token, token)

    def set_callbacks(self, elected: Callable[[Term], None], lost: Callable[[str], None]) -> None:
        """Sets the callbacks for a won election and for the loss of the ownership."""
        self._on_elected = elected
        self._on_lost = lost

    def set_hand_over_preparation(self, prepare: Callable[[], Awaitable[None]]) -> None:
        """Sets what to wait for before a planned hand-over of the ownership."""
        self._prepare_hand_over = prepare

    def note_heartbeat(self, token: FencingToken) -> None:
        """Records a heartbeat of another entry host that owns the site with ``token``."""
        if token < self.highest_token:
            return
        self.highest_token = token
        self._owner_heard_ms = self._clock.now_ms
        if self.term is not None and token > self.term.token:
            self._end_term("heartbeat of a later owner received")

    def abandon_term(self, reason: str) -> None:
        """Ends the current term; the lease is left to expire."""
        if self.term is not None:
            self._end_term(reason)

    def note_taken_over(self) -> None:
        """Records that this entry host has loaded the records of its term."""
        self._failed_terms = 0
        self._unfit_until_ms = 0

    async def give_up(self, reason: str) -> None:
        """Resigns a term that could not take over and leaves the ownership to the other hosts."""
        unfit_ms = min(STAND_BACK_MS * 2**self._failed_terms, MAX_UNFIT_MS)
        self._failed_terms += 1
        self._unfit_until_ms = self._clock.now_ms + unfit_ms
        await self._stand_back(reason)

    async def _stand_back(self, reason: str) -> None:
        self._stands_back_until_ms = self._clock.now_ms + STAND_BACK_MS
        await self._resign(reason)

    async def run(self) -> None:
        """Campaigns for the ownership and renews the lease until ``stop`` is called."""
        self._check_for_pause()
        await run_loop(self._reactor, "ownership", self._step, lambda: self._is_stopping)

    async def _step(self) -> None:
        if self.term is not None:
            self._campaigning_since_ms = None
            await self._renew()
        elif self._is_owner_alive() or self._clock.now_ms < self._stands_back_until_ms:
            self._campaigning_since_ms = None
            await sleep(self._reactor, OWNER_CHECK_INTERVAL_MS)
        else:
            if self._campaigning_since_ms is None:
                self._campaigning_since_ms = self._clock.now_ms
            await self._campaign()

    async def stop(self) -> None:
        """Resigns at once, so that another entry host can take over."""
        self._is_stopping = True
        await self._prepare_hand_over()
        await self._resign("planned stop")

    async def _resign(self, reason: str) -> None:
        lease = self._lease
        if self.term is None or lease is None:
            return
        if self._peers is not None:
            self._peers.announce_resignation()
        self._end_term(reason)
        await self._store.end_lease(lease)

    def _is_owner_alive(self) -> bool:
        if self._resigned_token and self._resigned_token >= self.highest_token:
            return False
        return self.owner_silence_ms < OWNER_SUSPICION_TIMEOUT_MS

    def _check_for_pause(self) -> None:
        now_ms = self._clock.now_ms
        if (
            now_ms - self._last_pause_check_ms >= PROCESS_PAUSE_THRESHOLD_MS
            and self.term is not None
        ):
            log.warning("process stood still", gap_ms=now_ms - self._last_pause_check_ms)
            self._must_verify_lease = True
        self._last_pause_check_ms = now_ms
        self._reactor.callLater(to_seconds(PAUSE_CHECK_INTERVAL_MS), self._check_for_pause)

    async def _renew(self) -> None:
        lease = self._lease
        assert lease is not None
        requested_ms = self._clock.now_ms
        renewed = await self._store.renew_lease(lease)
        if self.term is None:
            return
        if not isinstance(renewed, Err):
            self._lease_renewed_ms = requested_ms
            self._must_verify_lease = False
            if await self._should_hand_over():
                await self._prepare_hand_over()
                await self._stand_back("a larger entry host can take over")
            else:
                await sleep(self._reactor, LEASE_RENEWAL_INTERVAL_MS)
        elif renewed.err_value.kind is FailureKind.NOT_FOUND:
            self._end_term("lease expired")
        elif self._clock.now_ms - self._lease_renewed_ms >= STORE_OUTAGE_GRACE_MS:
            await self._resign("store unreachable for too long")
        elif self._peers is not None and await self._peers.can_any_reach_store():
            await self._resign("peers can reach the store")
        else:
            await sleep(self._reactor, STORE_RETRY_INTERVAL_MS)

    async def _should_hand_over(self) -> bool:
        now_ms = self._clock.now_ms
        if self._peers is None or now_ms < self._next_handover_check_ms:
            return False
        self._next_handover_check_ms = now_ms + HANDOVER_CHECK_INTERVAL_MS
        return await self._peers.can_larger_host_take_over()

    async def _campaign(self) -> None:
        found = await self._store.get(OWNER_KEY)
        if isinstance(found, Err):
            await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)
        elif found.ok_value is None:
            await self._run_for_election(None, None)
        else:
            await self._replace_or_wait(found.ok_value)

    async def _replace_or_wait(self, item: StoredItem) -> None:
        """Replaces an owner that has resigned, restarted or is very likely unreachable.

        Otherwise waits, so that the owner's lease may expire.
        """
        record: OwnerRecord | None = decode_record(item.key, item.value, OwnerRecord)
        token = FencingToken(item.revision)
        if token > self.highest_token:
            self.highest_token = token
            self._owner_discovered_ms = self._clock.now_ms
        if record is not None and record.member.incarnation == self._member.incarnation:
            if self._lease is not None and record.lease == self._lease:
                # An earlier election was won, but the answer to its commit was lost.
                self._begin_term(Term(token, item.revision))
                return
        elif record is not None and (
            record.member.name == self._member.name
            or token <= self._resigned_token
            or (
                self.owner_silence_ms >= OWNER_SUSPICION_TIMEOUT_MS
                and await self._is_unheard_by_peers(token)
            )
        ):
            await self._run_for_election(item, record)
            return
        await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)

    def _must_wait_for_larger_host(self) -> bool:
        """Returns whether a larger entry host may still take over before this one."""
        return (
            self._campaigning_since_ms is not None
            and self._clock.now_ms - self._campaigning_since_ms < LARGER_HOST_PRECEDENCE_MS
            and self._peers is not None
            and self._peers.knows_larger_host()
        )

    async def _is_unheard_by_peers(self, token: FencingToken) -> bool:
        if self._peers is None:
            return False
        owner_silence_ms = await self._peers.query_owner_silence_ms(token)
        return owner_silence_ms is not None and owner_silence_ms >= OWNER_SUSPICION_TIMEOUT_MS

    async def _run_for_election(
        self, existing: StoredItem | None, record: OwnerRecord | None
    ) -> None:
        if self._must_wait_for_larger_host():
            await sleep(self._reactor, OWNER_CHECK_INTERVAL_MS)
            return
        # The random delay spreads candidates that detect a missing owner at the same time.
        await sleep(self._reactor, self._random.randint(0, MAX_ELECTION_JITTER_MS))
        granted = await self._store.grant_lease(OWNER_LEASE_MS)
        if isinstance(granted, Err) or self._is_stopping:
            await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)
            return
        self._lease = lease = granted.ok_value
        self._lease_renewed_ms = self._clock.now_ms
        committed = await self._store.commit(
            [Precondition(OWNER_KEY, ABSENT if existing is None else existing.revision)],
            [Write(OWNER_KEY, msgspec.json.encode(OwnerRecord(self._member, lease)), lease)],
            [],
            COMMIT_TIMEOUT_MS,
        )
        if isinstance(committed, Err):
            # The next read of the record shows whether the commit took effect.
            await sleep(self._reactor, STORE_RETRY_INTERVAL_MS)
        elif isinstance(committed.ok_value, Conflict):
            self._lease = None
            await self._store.end_lease(lease)
            await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)
        else:
            self._begin_term(Term(FencingToken(committed.ok_value), committed.ok_value))
            if record is not None:
                # The replaced owner learns from its expired lease that its term has ended.
                await self._store.end_lease(LeaseId(record.lease))

    def _begin_term(self, term: Term) -> None:
        if self._is_stopping:
            return
        self.term = term
        self.highest_token = max(self.highest_token, term.token)
        self._must_verify_lease = False
        self._next_handover_check_ms = self._clock.now_ms + HANDOVER_CHECK_INTERVAL_MS
        OWNER_CHANGES.inc({"change": "won"})
        log.info("elected owner", token=term.token)
        self._on_elected(term)

    def _end_term(self, reason: str) -> None:
        token = self.term.token if self.term is not None else 0
        self.term = None
        self._lease = None
        OWNER_CHANGES.inc({"change": "lost"})
        log.warning("ownership lost", token=token, reason=reason)
        self._on_lost(reason)
