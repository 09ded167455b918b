"""Runs an owner for each availability zone that the ownership record assigns to this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.ownership.record import OWNERSHIP_KEY
from jujubehall.core.ownership.scopes import zone_scope
from jujubehall.identifiers import ZoneName
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep
from jujubehall.services.job_archiver import JobArchiver
from jujubehall.services.zone_owner import ZoneOwner
from jujubehall.services.zone_publisher import ZonePublisher
from jujubehall.services.zone_reassignment import JobReassigner

if TYPE_CHECKING:
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import JobId
    from jujubehall.services.membership import Membership
    from jujubehall.services.zone_context import ZoneContext

CHECK_INTERVAL_MS = 1_000
"""Interval of the periodic check of the ownership record.

Changes of the ownership record and of the host list also trigger a check at once.
"""


class ZoneScheduler:
    """Starts and stops zone owners when the ownership of a zone changes."""

    def __init__(self, context: ZoneContext, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._owners: dict[ZoneName, ZoneOwner] = {}
        self._running = True
        context.index.listen(self._on_job_changed)
        context.cache.listen(OWNERSHIP_KEY, lambda _: self._reconcile())
        context.hosts.listen(lambda _: self._reconcile())

    @property
    def owners(self) -> list[ZoneOwner]:
        """The active zone owners of this entry host."""
        return [owner for owner in self._owners.values() if owner.is_active]

    def stop(self) -> None:
        """Stops all zone owners.

        Tasks continue under their leases until the next owner adopts them.
        """
        self._running = False
        for owner in self._owners.values():
            owner.stop()

    async def run(self) -> None:
        """Checks the ownership record periodically until stopped."""
        while self._running:
            self._reconcile()
            await sleep(self._context.reactor, CHECK_INTERVAL_MS)

    def _reconcile(self) -> None:
        if self._running:
            listed = {ZoneName(host.zone) for host in self._context.hosts.workers}
            for zone in sorted(
                listed | self._owners.keys() | self._context.index.zones_with_unfinished_jobs
            ):
                self._reconcile_zone(zone)

    def _reconcile_zone(self, zone: ZoneName) -> None:
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
            self._start_owner(zone, epoch)

    def _start_owner(self, zone: ZoneName, epoch: Epoch) -> None:
        owner = ZoneOwner(self._context, zone, epoch)
        self._owners[zone] = owner
        run_in_background(owner.run())
        run_in_background(ZonePublisher(self._context, owner).run())
        run_in_background(JobArchiver(self._context, owner).run())
        run_in_background(JobReassigner(self._context, owner).run())

    def _on_job_changed(self, job: JobId, zone: ZoneName) -> None:
        owner = self._owners.get(zone)
        if owner is not None:
            owner.on_job_changed(job)
