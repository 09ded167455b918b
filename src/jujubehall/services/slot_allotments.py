"""This entry host's part of each endpoint's slots; it grows only when the others have shrunk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok
from twisted.internet.defer import DeferredList

from jujubehall.core.requests.allotment import allotment
from jujubehall.entry_hosts.messages import AllotmentSettled
from jujubehall.entry_hosts.messages import AllotmentWanted
from jujubehall.identifiers import Epoch
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.ownership.record import Member
    from jujubehall.core.requests.endpoint_table import EndpointTable
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EndpointName
    from jujubehall.identifiers import EntryHostName
    from jujubehall.services.membership import Membership

CHECK_INTERVAL_MS = 200
ASK_TIMEOUT_MS = 500
DEPARTED_GRACE_MS = 10_000
"""How long a departed entry host's requests are reckoned to go on at the endpoints."""


class SlotAllotments:
    """Follows the ownership record.

    A part that shrinks does so at once. A part that grows does so after every member has said
    that it uses no more than its part under the same record, and after the requests of departed
    members have had time to end.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        mesh: Mesh,
        membership: Membership,
        table: EndpointTable,
        limit: Callable[[EndpointName], int],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._table = table
        self._limit = limit
        self._settled: tuple[EntryHostName, ...] = ()
        self._settled_epoch = Epoch(0)
        self._parts: dict[EndpointName, tuple[tuple[Epoch, Epoch, int], int]] = {}
        self._departed_at_ms: dict[EntryHostName, int] = {}
        self._running = True
        mesh.register(AllotmentWanted, self._on_wanted)

    def allotment(self, endpoint: EndpointName) -> int:
        """The slots of ``endpoint`` that may be in use by this entry host now."""
        limit = self._limit(endpoint)
        basis = (self._membership.record.epoch, self._settled_epoch, limit)
        known = self._parts.get(endpoint)
        if known is None or known[0] != basis:
            known = (basis, self._part(endpoint, limit))
            self._parts[endpoint] = known
        return known[1]

    def _part(self, endpoint: EndpointName, limit: int) -> int:
        own = self._membership.member.name
        members = self._members
        latest = allotment(limit, endpoint, members, own)
        if members == self._settled:
            return latest
        return min(latest, allotment(limit, endpoint, self._settled, own))

    def stop(self) -> None:
        """Ends the following of the record."""
        self._running = False

    async def run(self) -> None:
        """Settles each new set of members, until stopped."""
        while self._running:
            if self._settled_epoch != self._membership.record.epoch:
                await self._settle()
            await sleep(self._reactor, CHECK_INTERVAL_MS)

    @property
    def _members(self) -> tuple[EntryHostName, ...]:
        return tuple(member.name for member in self._membership.record.members)

    async def _settle(self) -> None:
        record = self._membership.record
        members = self._members
        if not self._membership.is_member or not self._departed_have_ended(members):
            return
        others = [each for each in record.members if each.name != self._membership.member.name]
        answered = await DeferredList([start(self._has_settled(each)) for each in others])
        if all(settled for _, settled in answered) and self._membership.record is record:
            self._settled = members
            self._settled_epoch = record.epoch

    def _departed_have_ended(self, members: tuple[EntryHostName, ...]) -> bool:
        now_ms = self._clock.now_ms
        departed = set(self._settled) - set(members)
        self._departed_at_ms = {name: self._departed_at_ms.get(name, now_ms) for name in departed}
        return all(now_ms - at_ms >= DEPARTED_GRACE_MS for at_ms in self._departed_at_ms.values())

    async def _has_settled(self, member: Member) -> bool:
        wanted = AllotmentWanted(self._membership.record.epoch)
        answered = await self._mesh.ask(member, wanted, ASK_TIMEOUT_MS)
        if not isinstance(answered, Ok) or not isinstance(answered.ok_value, AllotmentSettled):
            return False
        return answered.ok_value.settled

    async def _on_wanted(self, sender: EntryHostName, message: AllotmentWanted) -> Message:
        is_current = self._membership.record.epoch >= message.epoch
        return AllotmentSettled(is_current and self._fits())

    def _fits(self) -> bool:
        return all(
            endpoint.in_flight <= self.allotment(endpoint.name)
            for endpoint in self._table.endpoints
        )
