"""Claims in memory while the platform is down, under grants of the other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.core.ownership.record import Member
from jujubehall.core.requests.grants import NEVER
from jujubehall.core.requests.grants import HeldGrants
from jujubehall.entry_hosts.messages import GrantAnswered
from jujubehall.entry_hosts.messages import GrantWanted
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import ZoneName
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.requests.claim_records import Granter
    from jujubehall.core.requests.grants import GrantBook
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import RequestId
    from jujubehall.services.claim_log import ClaimLog
    from jujubehall.services.host_list import HostList
    from jujubehall.services.membership import Membership

RENEWAL_INTERVAL_MS = 1_000
ASK_TIMEOUT_MS = 500
COLLECTIONS = 2


class OutageClaims:
    """Both sides of the grants: collects them as an owner and gives them as a granter."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        mesh: Mesh,
        membership: Membership,
        hosts: HostList,
        claim_log: ClaimLog,
        grants: GrantBook,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._hosts = hosts
        self._claim_log = claim_log
        self._grants = grants
        self._held = HeldGrants()
        self._asked_sequence = NEVER
        self._collections: list[Deferred[None]] | None = None
        self._running = True
        mesh.register(GrantWanted, self._on_grant_wanted)

    @property
    def is_outage(self) -> bool:
        """Whether this entry host can't reach the platform, by its latest poll."""
        return not self._hosts.is_connected

    def stop(self) -> None:
        """Ends the renewal of grants."""
        self._running = False

    async def run(self) -> None:
        """Renews the grants during an outage, until stopped."""
        while self._running:
            if self.is_outage and self._is_owner:
                start(self._collect())
            elif self._asked_sequence == self._claim_log.sequence:
                # Otherwise a later owner would take claims in memory for lost, though none is.
                await self._claim_log.flush(rewrite=True)
            await sleep(self._reactor, RENEWAL_INTERVAL_MS)

    async def claim(self, request: RequestId) -> Result[None, Failure]:
        """Claims a request in memory; the failure proves that it must not be sent."""
        # A write attempted meanwhile voids the grants: they are asked for once more.
        for _ in range(COLLECTIONS):
            if not self._suffice():
                await self._collect()
        # Checked and claimed in one step: nothing may come between.
        if self._suffice() and self._claim_log.claim_in_memory(request):
            return Ok(None)
        detail = "the platform is down and too few entry hosts grant a claim in memory"
        return Err(Failure(FailureKind.UNAVAILABLE, "claim", "platform", detail))

    @property
    def _is_owner(self) -> bool:
        opened = self._claim_log.opened
        return bool(opened) and opened == self._membership.record.epoch

    def _suffice(self) -> bool:
        names = [granter.name for granter in self._claim_log.granters]
        sequence = self._claim_log.sequence
        return self._is_owner and self._held.suffice(names, sequence, self._clock.now_ms)

    async def _collect(self) -> None:
        """Asks all granters at once; returns when the grants suffice or all have answered."""
        done: Deferred[None] = Deferred()
        if self._collections is not None:
            self._collections.append(done)
        else:
            self._collections = [done]
            self._ask_all()
        await done

    def _ask_all(self) -> None:
        own = self._membership.member.name
        others = [each for each in self._claim_log.granters if each.name != own]
        unanswered = len(others)

        def on_answer(_: object) -> None:
            nonlocal unanswered
            unanswered -= 1
            if unanswered == 0 or self._suffice():
                self._end_collection()

        for granter in others:
            start(self._ask(granter)).addBoth(on_answer)
        if not others:
            self._end_collection()

    def _end_collection(self) -> None:
        collections, self._collections = self._collections or [], None
        for done in collections:
            done.callback(None)

    async def _ask(self, granter: Granter) -> None:
        sequence = self._asked_sequence = self._claim_log.sequence
        epoch = self._claim_log.opened
        asked_at_ms = self._clock.now_ms
        wanted = GrantWanted(self._membership.member.incarnation, epoch, sequence)
        answered = await self._mesh.ask(as_member(granter), wanted, ASK_TIMEOUT_MS)
        if isinstance(answered, Err) or not isinstance(answered.ok_value, GrantAnswered):
            return
        answer = answered.ok_value
        # A restarted granter can't keep its predecessor's promises.
        if answer.granted and answer.incarnation == granter.incarnation:
            self._held.add(granter.name, sequence, asked_at_ms)

    async def _on_grant_wanted(self, sender: EntryHostName, message: GrantWanted) -> Message:
        granted = (
            self.is_outage
            and message.epoch == self._membership.record.epoch
            and self._grants.grant(
                message.incarnation, message.epoch, message.sequence, self._clock.now_ms
            )
        )
        return GrantAnswered(self._membership.member.incarnation, granted)


def as_member(granter: Granter) -> Member:
    """Makes the member that the mesh can reach a granter by."""
    return Member(granter.name, granter.incarnation, ZoneName(""), "", granter.mesh_address)
