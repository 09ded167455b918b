"""Makes in-memory claims during a platform outage, under grants of the other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.core.ownership.record import Member
from jujubehall.core.requests.grants import NO_SEQUENCE
from jujubehall.core.requests.grants import HeldGrants
from jujubehall.entry_hosts.messages import GrantAnswered
from jujubehall.entry_hosts.messages import GrantWanted
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import ZoneName
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.requests.claim_records import Granter
    from jujubehall.core.requests.grants import IssuedGrants
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import RequestId
    from jujubehall.services.claim_log import ClaimLog
    from jujubehall.services.host_list import HostList
    from jujubehall.services.membership import Membership

GRANT_RENEWAL_INTERVAL_MS = 1_000
PEER_REQUEST_TIMEOUT_MS = 500
MAX_GRANT_REQUEST_ROUNDS = 2
"""How often grants are requested from all granters for one claim."""


class OutageClaims:
    """Collects grants as a shard owner, and issues grants as a granter."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        mesh: Mesh,
        membership: Membership,
        host_list: HostList,
        claim_log: ClaimLog,
        issued_grants: IssuedGrants,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._host_list = host_list
        self._claim_log = claim_log
        self._issued_grants = issued_grants
        self._held_grants = HeldGrants()
        self._requested_sequence = NO_SEQUENCE
        self._collection_waiters: list[Deferred[None]] | None = None
        self._running = True
        mesh.register(GrantWanted, self._on_grant_wanted)

    @property
    def is_outage(self) -> bool:
        """Whether the latest poll of this entry host failed to reach the platform."""
        return not self._host_list.is_connected

    def stop(self) -> None:
        """Stops the renewal of grants."""
        self._running = False

    async def run(self) -> None:
        """Renews the grants during an outage until stopped."""
        while self._running:
            if self.is_outage and self._is_owner:
                run_in_background(self._collect_grants())
            elif self._requested_sequence == self._claim_log.sequence:
                # Grants were requested for the current sequence number: rewrite the head to
                # invalidate them. Otherwise a later owner would assume that in-memory claims
                # were lost although none were.
                await self._claim_log.flush(rewrite=True)
            await sleep(self._reactor, GRANT_RENEWAL_INTERVAL_MS)

    async def claim(self, request: RequestId) -> Result[None, Failure]:
        """Claims a request in memory.

        Fails with ``UNAVAILABLE`` if there are not enough grants; the request must then not be
        sent.
        """
        # A concurrent attempt to write the head invalidates the grants: request them again.
        for _ in range(MAX_GRANT_REQUEST_ROUNDS):
            if not self._has_enough_grants():
                await self._collect_grants()
        # The check and the claim must not be separated by an ``await``.
        if self._has_enough_grants() and self._claim_log.claim_in_memory(request):
            return Ok(None)
        detail = "the platform is unreachable and too few entry hosts granted an in-memory claim"
        return Err(Failure(FailureKind.UNAVAILABLE, "claim", "platform", detail))

    @property
    def _is_owner(self) -> bool:
        opened_epoch = self._claim_log.last_opened_epoch
        return bool(opened_epoch) and opened_epoch == self._membership.record.epoch

    def _has_enough_grants(self) -> bool:
        names = [granter.name for granter in self._claim_log.granters]
        sequence = self._claim_log.sequence
        return self._is_owner and self._held_grants.has_quorum(names, sequence, self._clock.now_ms)

    async def _collect_grants(self) -> None:
        """Requests grants from all granters concurrently.

        Returns when the grants suffice or every request has ended. Concurrent callers share one
        round of requests.
        """
        done: Deferred[None] = Deferred()
        if self._collection_waiters is not None:
            self._collection_waiters.append(done)
        else:
            self._collection_waiters = [done]
            self._request_grants()
        await done

    def _request_grants(self) -> None:
        own_name = self._membership.member.name
        others = [each for each in self._claim_log.granters if each.name != own_name]
        unanswered = len(others)

        def on_response(_: object) -> None:
            nonlocal unanswered
            unanswered -= 1
            if unanswered == 0 or self._has_enough_grants():
                self._finish_collection()

        for granter in others:
            run_in_background(self._request_grant(granter)).addBoth(on_response)
        if not others:
            self._finish_collection()

    def _finish_collection(self) -> None:
        waiters, self._collection_waiters = self._collection_waiters or [], None
        for done in waiters:
            done.callback(None)

    async def _request_grant(self, granter: Granter) -> None:
        sequence = self._requested_sequence = self._claim_log.sequence
        epoch = self._claim_log.last_opened_epoch
        requested_at_ms = self._clock.now_ms
        request = GrantWanted(self._membership.member.incarnation, epoch, sequence)
        result = await self._mesh.request(
            member_from_granter(granter), request, PEER_REQUEST_TIMEOUT_MS
        )
        if isinstance(result, Err) or not isinstance(result.ok_value, GrantAnswered):
            return
        response = result.ok_value
        # A restarted granter doesn't know the promises of its earlier incarnation.
        if response.granted and response.incarnation == granter.incarnation:
            self._held_grants.add(granter.name, sequence, requested_at_ms)

    async def _on_grant_wanted(self, sender: EntryHostName, message: GrantWanted) -> Message:
        granted = (
            self.is_outage
            and message.epoch == self._membership.record.epoch
            and self._issued_grants.grant(
                message.incarnation, message.epoch, message.sequence, self._clock.now_ms
            )
        )
        return GrantAnswered(self._membership.member.incarnation, granted)


def member_from_granter(granter: Granter) -> Member:
    """Converts a granter to a member with the address that the mesh needs."""
    return Member(granter.name, granter.incarnation, ZoneName(""), "", granter.mesh_address)
