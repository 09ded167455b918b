"""Handles requests from the other entry hosts of the site."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err
from twisted.internet.defer import TimeoutError

from jujubehall.clock import to_seconds
from jujubehall.entry_hosts.messages import AdmissionDecided
from jujubehall.entry_hosts.messages import AdmissionWanted
from jujubehall.entry_hosts.messages import IntakeKept
from jujubehall.entry_hosts.messages import IntakeNoted
from jujubehall.entry_hosts.messages import JobStateWanted
from jujubehall.entry_hosts.messages import OwnerContactKnown
from jujubehall.entry_hosts.messages import OwnerContactWanted
from jujubehall.entry_hosts.messages import PendingKnown
from jujubehall.entry_hosts.messages import PendingWanted
from jujubehall.entry_hosts.messages import PlacementKnown
from jujubehall.entry_hosts.messages import PlacementWanted
from jujubehall.entry_hosts.messages import Refused
from jujubehall.entry_hosts.messages import SiteConfigurationOffered
from jujubehall.entry_hosts.messages import SiteConfigurationWanted
from jujubehall.entry_hosts.messages import StoreContactKnown
from jujubehall.entry_hosts.messages import StoreContactWanted
from jujubehall.entry_hosts.messages import StoreWriteWanted
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.fleet.peers import CONTACT_CHECK_TIMEOUT_MS
from jujubehall.services.fleet.peers import MAX_JOB_END_WAIT_MS
from jujubehall.services.fleet.peers import NEVER_HEARD_MS
from jujubehall.services.fleet.records import OWNER_KEY

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.platform.site_store import SiteStore
    from jujubehall.services.fleet.configuration_follower import ConfigurationFollower
    from jujubehall.services.fleet.job_records import JobRecords
    from jujubehall.services.fleet.ownership import Ownership
    from jujubehall.services.fleet.peers import Peers
    from jujubehall.services.fleet.site_owner import SiteOwner


MAX_OFFERED_BYTES = 64_000
"""Size from which a configuration is sent only to entry hosts that can't read it from the store. The
link of the owner also carries the commands to the workers; 100 hosts at once take 0.5 s of 100 Mbit/s."""


class PeerRequestHandlers:
    """Handles requests to the owner of the site and requests that serve the election of an owner.

    Every entry host also writes records for peers that can't reach the store.
    """

    def __init__(
        self,
        reactor: Reactor,
        mesh: Mesh,
        peers: Peers,
        ownership: Ownership,
        store: SiteStore,
        configuration: ConfigurationFollower,
        records: JobRecords,
    ) -> None:
        self._reactor: Any = reactor
        self._peers = peers
        self._ownership = ownership
        self._store = store
        self._configuration = configuration
        self._records = records
        mesh.register(SiteConfigurationWanted, self._on_configuration_wanted)
        mesh.register(JobStateWanted, self._on_job_state_wanted)
        mesh.register(PendingWanted, self._on_pending_wanted)
        mesh.register(PlacementWanted, self._on_placement_wanted)
        mesh.register(AdmissionWanted, self._on_admission_wanted)
        mesh.register(IntakeKept, self._on_intake_kept)
        mesh.register(StoreWriteWanted, self._on_store_write_wanted)
        mesh.register(OwnerContactWanted, self._on_owner_contact_wanted)
        mesh.register(StoreContactWanted, self._on_store_contact_wanted)

    @property
    def _loaded_owner(self) -> SiteOwner | None:
        owner = self._peers.owner
        return owner if owner is not None and owner.is_loaded else None

    async def _on_configuration_wanted(
        self, sender: EntryHostName, request: SiteConfigurationWanted
    ) -> Message:
        age_ms = self._configuration.age_ms
        if age_ms is None:
            return Refused("no configuration here")
        version = self._configuration.version
        content = b"" if request.known == version else self._configuration.content
        if len(content) > MAX_OFFERED_BYTES and not request.include_large:
            content = b""
        return SiteConfigurationOffered(version, age_ms, content)

    async def _on_job_state_wanted(self, sender: EntryHostName, request: JobStateWanted) -> Message:
        if (owner := self._loaded_owner) is None:
            return Refused("not the owner")
        wait_ms = max(0, min(request.wait_ms, MAX_JOB_END_WAIT_MS))
        return await self._peers.await_job_state(owner, request.job, wait_ms)

    async def _on_pending_wanted(self, sender: EntryHostName, request: PendingWanted) -> Message:
        if (owner := self._loaded_owner) is None:
            return Refused("not the owner")
        return PendingKnown(owner.fleet_state.count_unstarted_jobs(request.queue))

    async def _on_placement_wanted(
        self, sender: EntryHostName, request: PlacementWanted
    ) -> Message:
        if (owner := self._loaded_owner) is None:
            return Refused("not the owner")
        return PlacementKnown(owner.preview(request.job))

    async def _on_admission_wanted(
        self, sender: EntryHostName, request: AdmissionWanted
    ) -> Message:
        if (owner := self._loaded_owner) is None:
            return Refused("not the owner")
        return AdmissionDecided(
            owner.decide_admission(request.job, request.queue, request.team, request.demand)
        )

    async def _on_intake_kept(self, sender: EntryHostName, notice: IntakeKept) -> Message:
        if (owner := self._loaded_owner) is None:
            return Refused("not the owner")
        owner.apply_intake(notice.key, notice.value)
        return IntakeNoted()

    async def _on_owner_contact_wanted(
        self, sender: EntryHostName, request: OwnerContactWanted
    ) -> Message:
        if self._ownership.term is not None:
            return OwnerContactKnown(0)
        if self._ownership.highest_token < request.token:
            return OwnerContactKnown(NEVER_HEARD_MS)
        return OwnerContactKnown(self._ownership.owner_silence_ms)

    async def _on_store_contact_wanted(
        self, sender: EntryHostName, request: StoreContactWanted
    ) -> Message:
        read = run_in_background(self._store.get(OWNER_KEY))
        read.addTimeout(to_seconds(CONTACT_CHECK_TIMEOUT_MS), self._reactor)
        try:
            is_reachable = not isinstance(await read, Err)
            return StoreContactKnown(is_reachable, self._ownership.can_take_over)
        except TimeoutError:
            return StoreContactKnown(False)

    async def _on_store_write_wanted(
        self, sender: EntryHostName, request: StoreWriteWanted
    ) -> Message:
        return await self._records.write(request.key, request.value, request.timeout_ms)
