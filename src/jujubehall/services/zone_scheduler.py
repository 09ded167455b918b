"""Owns the availability zones that the ownership record gives to this entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.ownership.scopes import zone_scope
from jujubehall.identifiers import ZoneName
from jujubehall.services.job_archive import JobArchive
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start
from jujubehall.services.zone_hand_over import ZoneHandOver
from jujubehall.services.zone_owner import ZoneOwner
from jujubehall.services.zone_publisher import ZonePublisher

if TYPE_CHECKING:
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import JobId
    from jujubehall.services.membership import Membership
    from jujubehall.services.zone_context import ZoneContext

CHECK_INTERVAL_MS = 1_000
"""A change of the ownership record or of the list of hosts is followed at once."""


class ZoneScheduler:
    """Begins and ends ownerships; ``ZoneOwner`` does the work of each."""

    def __init__(self, context: ZoneContext, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._owners: dict[ZoneName, ZoneOwner] = {}
        self._running = True
        context.index.listen(self._on_job_changed)
        context.cache.listen(OWNERSHIP_KEY, lambda _: self._follow_all())
        context.hosts.listen(lambda _: self._follow_all())

    @property
    def owners(self) -> list[ZoneOwner]:
        """The present ownerships."""
        return [owner for owner in self._owners.values() if owner.is_active]

    def stop(self) -> None:
        """Gives every zone up; what runs goes on until the next owner adopts it."""
        self._running = False
        for owner in self._owners.values():
            owner.stop()

    async def run(self) -> None:
        """Follows the ownership record until stopped."""
        while self._running:
            self._follow_all()
            await sleep(self._context.reactor, CHECK_INTERVAL_MS)

    def _follow_all(self) -> None:
        if self._running:
            listed = {ZoneName(host.zone) for host in self._context.hosts.workers}
            for zone in sorted(listed | self._owners.keys() | self._context.index.zones):
                self._follow(zone)

    def _follow(self, zone: ZoneName) -> None:
        owner = self._owners.get(zone)
        if not self._membership.owns(zone_scope(zone)):
            if owner is not None:
                owner.stop()
                del self._owners[zone]
            return
        epoch = self._membership.record.owned_since[zone_scope(zone)]
        if owner is None or owner.epoch < epoch:
            if owner is not None:
                owner.stop()
            self._begin(zone, epoch)

    def _begin(self, zone: ZoneName, epoch: Epoch) -> None:
        owner = ZoneOwner(self._context, zone, epoch)
        self._owners[zone] = owner
        start(owner.run())
        start(ZonePublisher(self._context, owner).run())
        start(JobArchive(self._context, owner).run())
        start(ZoneHandOver(self._context, owner).run())

    def _on_job_changed(self, job: JobId, zone: ZoneName) -> None:
        owner = self._owners.get(zone)
        if owner is not None:
            owner.on_job_changed(job)
