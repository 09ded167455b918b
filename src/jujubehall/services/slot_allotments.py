"""Determines this entry host's allotment of each endpoint's slots.

An allotment grows only after those of the other entry hosts have shrunk.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok
from twisted.internet.defer import DeferredList

from jujubehall.core.requests.allotment import allotment
from jujubehall.entry_hosts.messages import AllotmentSettled
from jujubehall.entry_hosts.messages import AllotmentWanted
from jujubehall.identifiers import Epoch
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep

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
PEER_REQUEST_TIMEOUT_MS = 500
DEPARTED_REQUESTS_GRACE_MS = 10_000
"""How long the requests of a departed entry host may still occupy slots at the endpoints."""


class SlotAllotments:
    """Adjusts allotments as the members of the ownership record change.

    An allotment shrinks immediately. It grows only after every member has confirmed that its
    slots in use fit its own allotment under the same record, and after the requests of departed
    members have had time to end.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        mesh: Mesh,
        membership: Membership,
        endpoint_table: EndpointTable,
        slot_limit: Callable[[EndpointName], int],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._endpoint_table = endpoint_table
        self._slot_limit = slot_limit
        self._settled_members: tuple[EntryHostName, ...] = ()
        self._settled_epoch = Epoch(0)
        self._cached_allotments: dict[EndpointName, tuple[tuple[Epoch, Epoch, int], int]] = {}
        self._departed_at_ms: dict[EntryHostName, int] = {}
        self._running = True
        mesh.register(AllotmentWanted, self._on_allotment_wanted)

    def allotment(self, endpoint: EndpointName) -> int:
        """Returns the number of slots of ``endpoint`` that this entry host may use at present."""
        slot_limit = self._slot_limit(endpoint)
        cache_key = (self._membership.record.epoch, self._settled_epoch, slot_limit)
        cached = self._cached_allotments.get(endpoint)
        if cached is None or cached[0] != cache_key:
            cached = (cache_key, self._compute_allotment(endpoint, slot_limit))
            self._cached_allotments[endpoint] = cached
        return cached[1]

    def _compute_allotment(self, endpoint: EndpointName, slot_limit: int) -> int:
        own_name = self._membership.member.name
        members = self._members
        latest = allotment(slot_limit, endpoint, members, own_name)
        if members == self._settled_members:
            return latest
        return min(latest, allotment(slot_limit, endpoint, self._settled_members, own_name))

    def stop(self) -> None:
        """Stops following the ownership record."""
        self._running = False

    async def run(self) -> None:
        """Confirms each new set of members with the peers until stopped."""
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
        if not self._membership.is_member or not self._departed_requests_have_ended(members):
            return
        others = [each for each in record.members if each.name != self._membership.member.name]
        results = await DeferredList(
            [run_in_background(self._is_peer_settled(each)) for each in others]
        )
        if all(settled for _, settled in results) and self._membership.record is record:
            self._settled_members = members
            self._settled_epoch = record.epoch

    def _departed_requests_have_ended(self, members: tuple[EntryHostName, ...]) -> bool:
        now_ms = self._clock.now_ms
        departed = set(self._settled_members) - set(members)
        self._departed_at_ms = {name: self._departed_at_ms.get(name, now_ms) for name in departed}
        return all(
            now_ms - departed_at_ms >= DEPARTED_REQUESTS_GRACE_MS
            for departed_at_ms in self._departed_at_ms.values()
        )

    async def _is_peer_settled(self, member: Member) -> bool:
        request = AllotmentWanted(self._membership.record.epoch)
        result = await self._mesh.request(member, request, PEER_REQUEST_TIMEOUT_MS)
        if not isinstance(result, Ok) or not isinstance(result.ok_value, AllotmentSettled):
            return False
        return result.ok_value.settled

    async def _on_allotment_wanted(
        self, sender: EntryHostName, message: AllotmentWanted
    ) -> Message:
        is_current = self._membership.record.epoch >= message.epoch
        return AllotmentSettled(is_current and self._is_within_allotments())

    def _is_within_allotments(self) -> bool:
        return all(
            endpoint.in_flight <= self.allotment(endpoint.name)
            for endpoint in self._endpoint_table.endpoints
        )
