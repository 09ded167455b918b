"""Creates and connects the services with which an entry host handles requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.requests.claim_table import ClaimTable
from jujubehall.core.requests.endpoint_table import EndpointState
from jujubehall.core.requests.endpoint_table import EndpointTable
from jujubehall.core.requests.grants import IssuedGrants
from jujubehall.identifiers import EndpointName
from jujubehall.identifiers import ZoneName
from jujubehall.platform.host import HostState
from jujubehall.services.claim_log import ClaimLog
from jujubehall.services.claim_recovery import ClaimRecovery
from jujubehall.services.dispatcher import Dispatcher
from jujubehall.services.outage_claims import OutageClaims
from jujubehall.services.request_service import RequestService
from jujubehall.services.shard_takeover import ShardTakeover
from jujubehall.services.slot_allotments import SlotAllotments
from jujubehall.services.slot_queue import SlotQueue

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.endpoints.interface import Endpoints
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.platform.interface import Platform
    from jujubehall.services.host_list import HostList
    from jujubehall.services.membership import Membership


class RequestServices:
    """Services for request claims, shard takeover, endpoint slots and dispatch.

    ``endpoint_slots`` returns the number of slots of an endpoint, given its name and availability
    zone; all entry hosts share these slots.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        platform: Platform,
        mesh: Mesh,
        endpoints: Endpoints,
        membership: Membership,
        hosts: HostList,
        endpoint_slots: Callable[[EndpointName, ZoneName], int],
        random: Random,
    ) -> None:
        self._hosts = hosts
        self._zones: dict[EndpointName, ZoneName] = {}
        self.endpoint_table = EndpointTable(random)
        hosts.listen(lambda _: self._update_endpoints())
        claim_table = ClaimTable()
        member = membership.member
        self.claim_log = ClaimLog(platform, clock, member.name, member.incarnation)
        grants = IssuedGrants()
        self.outage_claims = OutageClaims(
            reactor, clock, mesh, membership, hosts, self.claim_log, grants
        )
        claim_recovery = ClaimRecovery(
            reactor, clock, platform, mesh, membership, self.claim_log, claim_table, grants
        )
        self.takeover = ShardTakeover(
            reactor,
            clock,
            platform,
            membership,
            self.claim_log,
            claim_table,
            claim_recovery,
            random,
        )
        self.allotments = SlotAllotments(
            reactor,
            clock,
            mesh,
            membership,
            self.endpoint_table,
            lambda endpoint: endpoint_slots(endpoint, self._zones[endpoint]),
        )
        slot_queue = SlotQueue(reactor, clock, self.endpoint_table, self.allotments.allotment)
        self.dispatcher = Dispatcher(clock, endpoints, self.endpoint_table, slot_queue)
        self.service = RequestService(
            reactor,
            clock,
            mesh,
            membership,
            self.takeover,
            self.claim_log,
            claim_table,
            self.dispatcher,
            self.outage_claims,
        )

    async def stop(self) -> None:
        """Stops the background loops and closes the claim log.

        Must be called only when no request is in progress.
        """
        self.takeover.stop()
        self.outage_claims.stop()
        self.allotments.stop()
        await self.claim_log.seal()

    def _update_endpoints(self) -> None:
        for host in self._hosts.endpoints:
            self._zones[EndpointName(host.name)] = ZoneName(host.zone)
        self.endpoint_table.update(
            EndpointState(EndpointName(host.name), host.address, host.state is HostState.LEAVING)
            for host in self._hosts.endpoints
        )
