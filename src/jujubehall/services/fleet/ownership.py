"""Election of the owner of the site by a lease in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import structlog

from result import Err

from jujubehall.clock import to_seconds
from jujubehall.errors import FailureKind
from jujubehall.identifiers import FencingToken
from jujubehall.platform.site_store import ABSENT
from jujubehall.platform.site_store import Conflict
from jujubehall.platform.site_store import Precondition
from jujubehall.platform.site_store import Write
from jujubehall.services.fleet.records import OWNER_KEY
from jujubehall.services.fleet.records import OwnerRecord
from jujubehall.services.fleet.records import decode_record
from jujubehall.services.timing import sleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import Member
    from jujubehall.platform.site_store import LeaseId
    from jujubehall.platform.site_store import Revision
    from jujubehall.platform.site_store import SiteStore

LEASE_MS = 2_000
"""Worker leases of 6 s must outlast a dead owner's lease and the take-over."""

RENEW_INTERVAL_MS = 500
"""Three renewals may fail before the lease ends."""

RETRY_INTERVAL_MS = 200
CAMPAIGN_INTERVAL_MS = 250
"""How often an entry host without an owner looks for one; bounds the time without an owner."""

OUTAGE_GRACE_MS = 6_000
"""How long an owner goes on without the store: a worker's longest lease. A successor waits this
long for workers that it can't reach."""

PAUSE_MS = 600
"""A gap between two ticks that shows that the process stood still."""

TICK_MS = 100
COMMIT_TIMEOUT_MS = 1_000

log = structlog.get_logger()


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
        self._heard_ms = -LEASE_MS
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
        while not self._is_stopping:
            if self.term is not None:
                await self._renew()
            elif self._clock.now_ms - self._heard_ms < LEASE_MS // 2:
                await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)
            else:
                await self._campaign()

    async def stop(self) -> None:
        """Gives the ownership up at once, so that another entry host can take over."""
        self._is_stopping = True
        lease = self._lease
        if self.term is not None:
            self._lose("planned stop")
        if lease is not None:
            await self._store.end_lease(lease)

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
            self._lose("the store was out of reach for too long")
        else:
            await sleep(self._reactor, RETRY_INTERVAL_MS)

    async def _campaign(self) -> None:
        found = await self._store.get(OWNER_KEY)
        if isinstance(found, Err):
            await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)
        elif found.ok_value is not None:
            self._heard_of(found.ok_value.value, found.ok_value.revision)
            await sleep(self._reactor, CAMPAIGN_INTERVAL_MS)
        elif not await self._stand_for_election():
            await sleep(self._reactor, self._random.randint(10, CAMPAIGN_INTERVAL_MS))

    def _heard_of(self, value: bytes, revision: Revision) -> None:
        record: OwnerRecord | None = decode_record(OWNER_KEY, value, OwnerRecord)
        if record is None:
            return
        if record.member.incarnation == self._member.incarnation and self._lease is not None:
            # An election whose answer was lost.
            self._win(Term(FencingToken(revision), revision))
        else:
            self.highest_token = max(self.highest_token, FencingToken(revision))

    async def _stand_for_election(self) -> bool:
        granted = await self._store.grant_lease(LEASE_MS)
        if isinstance(granted, Err):
            return False
        self._lease = granted.ok_value
        self._renewed_ms = self._clock.now_ms
        won = await self._store.commit(
            [Precondition(OWNER_KEY, ABSENT)],
            [Write(OWNER_KEY, msgspec.json.encode(OwnerRecord(self._member)), self._lease)],
            [],
            COMMIT_TIMEOUT_MS,
        )
        if isinstance(won, Err):
            return False
        if isinstance(won.ok_value, Conflict):
            await self._store.end_lease(self._lease)
            self._lease = None
            return False
        self._win(Term(FencingToken(won.ok_value), won.ok_value))
        return True

    def _win(self, term: Term) -> None:
        if self._is_stopping:
            return
        self.term = term
        self.highest_token = max(self.highest_token, term.token)
        self._must_verify = False
        log.info("elected owner", token=term.token)
        self._on_elected(term)

    def _lose(self, reason: str) -> None:
        token = self.term.token if self.term is not None else 0
        self.term = None
        self._lease = None
        log.warning("ownership lost", token=token, reason=reason)
        self._on_lost(reason)
