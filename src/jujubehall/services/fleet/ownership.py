"""Election of the owner of the site by a lease in the store.

An owner that is silent is replaced before its lease ends if no other entry host hears it either:
its record is then exchanged by compare-and-swap. That is safe at any moment, since workers refuse
the lower token and the store's commits are conditioned on the owner's record; the wait only keeps
the site from changing owners for nothing.
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
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import OwnerRecord
from jujubehall.services.fleet.records import decode_record
from jujubehall.services.timing import repeat
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import Member
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.platform.site_store import StoredItem

LEASE_MS = 2_000
"""Worker leases of 6 s must outlast a dead owner's lease and the take-over."""

RENEW_INTERVAL_MS = 500
"""Three renewals may fail before the lease ends."""

RETRY_INTERVAL_MS = 200
ELECTION_JITTER_MS = 30
CHECK_INTERVAL_MS = 100
CAMPAIGN_INTERVAL_MS = 250
"""How often an entry host without an owner looks for one; bounds the time without an owner."""

SUSPECT_MS = 1_000
"""Silence after which an owner may be replaced: three heartbeats."""

OUTAGE_GRACE_MS = 6_000
"""How long an owner goes on without the store: a worker's longest lease. A successor waits this
long for workers that it can't reach."""

PAUSE_MS = 600
"""A gap between two ticks that shows that the process stood still."""

TICK_MS = 100
COMMIT_TIMEOUT_MS = 1_000

log = structlog.get_logger()


class Witnesses(Protocol):
    """The other entry hosts, as far as an election needs them."""

    async def heard_owner_ms_ago(self, token: FencingToken) -> int | None:
        """The least time since any of those that answer heard of the owner; None if none does."""

    async def reach_store(self) -> bool:
        """Whether any of them reaches the store now."""

    def announce_resignation(self) -> None:
        """Tells all of them that this entry host gives the site up."""


class Term(NamedTuple):
    """One period of ownership. The token is the revision of the election in the store."""

    token: FencingToken
    owner_revision: Revision


class Ownership:
    """Campaigns for the ownership of the site and keeps it."""

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
        self._renewed_ms = 0
        self._ticked_ms = clock.now_ms
        self._must_verify = False
        self._is_stopping = False
        # Unheard of since the start: a record that is found is looked into at once.
        self._heard_ms = clock.now_ms - SUSPECT_MS
        self._resigned_token = FencingToken(0)
        self._witnesses: Witnesses | None = None
        self.term: Term | None = None
        self.highest_token = FencingToken(0)
        self._on_elected: Callable[[Term], None] = lambda term: None
        self._on_lost: Callable[[str], None] = lambda reason: None

    @property
    def may_act(self) -> bool:
        """Whether orders may be given under the present term."""
        now_ms = self._clock.now_ms
        return (
            self.term is not None
            and not self._must_verify
            and now_ms - self._ticked_ms < PAUSE_MS
            and now_ms - self._renewed_ms < OUTAGE_GRACE_MS
        )

    @property
    def heard_ms_ago(self) -> int:
        """How long ago another owner was heard of."""
        return self._clock.now_ms - self._heard_ms

    def ask(self, witnesses: Witnesses) -> None:
        """Sets whom to ask about a silent owner and about the store."""
        self._witnesses = witnesses

    def heard_resignation(self, token: FencingToken) -> None:
        """Notes that the owner under ``token`` has given the site up."""
        self._resigned_token = max(self._resigned_token, token)

    def on_change(self, elected: Callable[[Term], None], lost: Callable[[str], None]) -> None:
        """Sets what is called after an election is won and after the ownership is lost."""
        self._on_elected = elected
        self._on_lost = lost

    def heard_owner(self, token: FencingToken) -> None:
        """Notes that another entry host owns the site under ``token``."""
        if token < self.highest_token:
            return
        self.highest_token = token
        self._heard_ms = self._clock.now_ms
        if self.term is not None and token > self.term.token:
            self._lose("a later owner was heard of")

    def give_up(self, reason: str) -> None:
        """Ends the present term; the lease is left to end by itself."""
        if self.term is not None:
            self._lose(reason)

    async def run(self) -> None:
        """Campaigns and renews until ``stop``."""
        self._tick()
        await repeat(self._reactor, "ownership", self._step, lambda: self._is_stopping)

    async def _step(self) -> None:
        if self.term is not None:
            await self._renew()
        elif self._is_owner_present():
            await sleep(self._reactor, CHECK_INTERVAL_MS)
        else:
            await self._campaign()

    async def stop(self) -> None:
        """Gives the ownership up at once, so that another entry host can take over."""
        self._is_stopping = True
        await self._resign("planned stop")

    async def _resign(self, reason: str) -> None:
        lease = self._lease
        if self.term is None or lease is None:
            return
        if self._witnesses is not None:
            self._witnesses.announce_resignation()
        self._lose(reason)
        await self._store.end_lease(lease)

    def _is_owner_present(self) -> bool:
        if self._resigned_token and self._resigned_token >= self.highest_token:
            return False
        return self.heard_ms_ago < SUSPECT_MS

    def _tick(self) -> None:
        now_ms = self._clock.now_ms
        if now_ms - self._ticked_ms >= PAUSE_MS and self.term is not None:
            log.warning("process stood still", gap_ms=now_ms - self._ticked_ms)
            self._must_verify = True
        self._ticked_ms = now_ms
        self._reactor.callLater(to_seconds(TICK_MS), self._tick)

    async def _renew(self) -> None:
        lease = self._lease
        assert lease is not None
        asked_ms = self._clock.now_ms
        renewed = await self._store.renew_lease(lease)
        if self.term is None:
            return
        if not isinstance(renewed, Err):
            self._renewed_ms = asked_ms
            self._must_verify = False
            await sleep(self._reactor, RENEW_INTERVAL_MS)
        elif renewed.err_value.kind is FailureKind.NOT_FOUND:
            self._lose("the lease has ended")
        elif self._clock.now_ms - self._renewed_ms >= OUTAGE_GRACE_MS:
            await self._resign("the store was out of reach for too long")
        elif self._witnesses is not None and await self._witnesses.reach_store():
            await self._resign("others reach the store")
        else:
            await sleep(self._reactor, RETRY_INTERVAL_MS)

    async def _campaign(self) -> None:
        found = await self._store.get(OWNER_KEY)
        if isinstance(found, Err):
            await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)
        elif found.ok_value is None:
            await self._stand_for_election(None, None)
        else:
            await self._challenge(found.ok_value)

    async def _challenge(self, item: StoredItem) -> None:
        """Replaces an owner that is surely or very likely gone; otherwise waits for its lease."""
        record: OwnerRecord | None = decode_record(item.key, item.value, OwnerRecord)
        token = FencingToken(item.revision)
        if record is None or token > self.highest_token:
            self.highest_token = max(self.highest_token, token)
        if record is not None and record.member.incarnation == self._member.incarnation:
            if self._lease is not None and record.lease == self._lease:
                # An election whose answer was lost.
                self._win(Term(token, item.revision))
                return
        elif record is not None and (
            record.member.name == self._member.name
            or token <= self._resigned_token
            or (self.heard_ms_ago >= SUSPECT_MS and await self._is_silent_elsewhere(token))
        ):
            await self._stand_for_election(item, record)
            return
        await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)

    async def _is_silent_elsewhere(self, token: FencingToken) -> bool:
        if self._witnesses is None:
            return False
        heard_ms_ago = await self._witnesses.heard_owner_ms_ago(token)
        return heard_ms_ago is not None and heard_ms_ago >= SUSPECT_MS

    async def _stand_for_election(
        self, present: StoredItem | None, record: OwnerRecord | None
    ) -> None:
        # Spreads candidates that notice an absent owner at the same moment.
        await sleep(self._reactor, self._random.randint(0, ELECTION_JITTER_MS))
        granted = await self._store.grant_lease(LEASE_MS)
        if isinstance(granted, Err) or self._is_stopping:
            await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)
            return
        self._lease = lease = granted.ok_value
        self._renewed_ms = self._clock.now_ms
        won = await self._store.commit(
            [Precondition(OWNER_KEY, ABSENT if present is None else present.revision)],
            [Write(OWNER_KEY, msgspec.json.encode(OwnerRecord(self._member, lease)), lease)],
            [],
            COMMIT_TIMEOUT_MS,
        )
        if isinstance(won, Err):
            # The next look at the record shows whether it took effect.
            await sleep(self._reactor, RETRY_INTERVAL_MS)
        elif isinstance(won.ok_value, Conflict):
            self._lease = None
            await self._store.end_lease(lease)
            await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)
        else:
            self._win(Term(FencingToken(won.ok_value), won.ok_value))
            if record is not None:
                # The replaced owner learns by this that its time is over.
                await self._store.end_lease(LeaseId(record.lease))

    def _win(self, term: Term) -> None:
        if self._is_stopping:
            return
        self.term = term
        self.highest_token = max(self.highest_token, term.token)
        self._must_verify = False
        OWNER_CHANGES.inc({"change": "won"})
        log.info("elected owner", token=term.token)
        self._on_elected(term)

    def _lose(self, reason: str) -> None:
        token = self.term.token if self.term is not None else 0
        self.term = None
        self._lease = None
        OWNER_CHANGES.inc({"change": "lost"})
        log.warning("ownership lost", token=token, reason=reason)
        self._on_lost(reason)
