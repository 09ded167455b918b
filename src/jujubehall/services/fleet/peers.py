"""Heartbeats and requests that the entry hosts of a site send to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import structlog

from result import Err

from jujubehall.core.fleet.admission_limits import NO_LIMITS
from jujubehall.core.fleet.completion import ends_within
from jujubehall.core.jobs.job import JobState
from jujubehall.entry_hosts.messages import AdmissionDecided
from jujubehall.entry_hosts.messages import AdmissionWanted
from jujubehall.entry_hosts.messages import IntakeKept
from jujubehall.entry_hosts.messages import JobStateKnown
from jujubehall.entry_hosts.messages import JobStateWanted
from jujubehall.entry_hosts.messages import OwnerContactKnown
from jujubehall.entry_hosts.messages import OwnerContactWanted
from jujubehall.entry_hosts.messages import PendingKnown
from jujubehall.entry_hosts.messages import PendingWanted
from jujubehall.entry_hosts.messages import PlacementKnown
from jujubehall.entry_hosts.messages import PlacementWanted
from jujubehall.entry_hosts.messages import SiteConfigurationOffered
from jujubehall.entry_hosts.messages import SiteConfigurationWanted
from jujubehall.entry_hosts.messages import SiteHeartbeat
from jujubehall.entry_hosts.messages import SiteHeartbeatAnswer
from jujubehall.entry_hosts.messages import StoreContactKnown
from jujubehall.entry_hosts.messages import StoreContactWanted
from jujubehall.entry_hosts.messages import StoreWriteSettled
from jujubehall.entry_hosts.messages import StoreWriteWanted
from jujubehall.services.async_utils import gather
from jujubehall.services.async_utils import run_in_background
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.admission_limits import AdmissionLimits
    from jujubehall.core.fleet.job_demand import JobDemand
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.placement_preview import JobPreview
    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.ownership.record import Member
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import Incarnation
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import QueueName
    from jujubehall.identifiers import TeamName
    from jujubehall.services.fleet.configuration_follower import ConfigurationFollower
    from jujubehall.services.fleet.ownership import Ownership
    from jujubehall.services.fleet.site_owner import SiteOwner

LARGE_CONFIGURATION_WAIT_MS = 1_600
"""Additional timeout of a request for a large configuration: the time that 1 MB, the most that the
store accepts, takes on a link of 5 Mbit/s."""

HEARTBEAT_INTERVAL_MS = 300
HEARTBEAT_TIMEOUT_MS = 800
OWNER_REQUEST_TIMEOUT_MS = 400
"""Timeout of a request to the owner, after which the store is read instead."""

MAX_JOB_END_WAIT_MS = 800
"""Longest time for which a call for a job's state waits for the end of the job. With the request to
an owner that has died and the read of the store it stays below half of the 3 s that callers wait."""

JOB_END_CHECK_INTERVAL_MS = 20
"""How often the owner checks whether a job has ended for whose end a caller waits."""

OWNER_HEARTBEAT_TIMEOUT_MS = 1_000
"""Time without a heartbeat, three missed ones, after which the store is read at once instead of
asking the owner."""

CONTACT_CHECK_TIMEOUT_MS = 300
MAX_PEERS_CONSULTED = 3
"""How many other entry hosts are consulted before an owner is replaced or resigns."""

MEMBER_TIMEOUT_MS = 30_000
"""A member that has not responded to the owner of this term for this long gets no heartbeats until
it restarts or becomes the owner itself."""

NEVER_HEARD_MS = 10**9
"""Reported as the time since contact with an owner that this entry host has never heard of."""

Response = TypeVar("Response")

log = structlog.get_logger()


def caller_visible_state(job: FleetJob) -> JobState:
    """Returns the job state to show to callers, which is never ahead of the stored state."""
    if job.stored_state.is_final:
        return job.stored_state
    if job.is_cancelled:
        return JobState.CANCELLED
    return JobState.RUNNING if job.has_started else JobState.QUEUED


class Peers:
    """Sends heartbeats and requests to the other entry hosts of the site and tracks the owner."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        mesh: Mesh,
        member: Member,
        configuration: ConfigurationFollower,
    ) -> None:
        self._reactor: Any = reactor
        self._clock = clock
        self._mesh = mesh
        self._member = member
        self._configuration = configuration
        self._ownership: Ownership
        self._owner: SiteOwner | None = None
        self._term_began_ms = 0
        self._owner_member: Member | None = None
        self._owner_heard_ms = -OWNER_HEARTBEAT_TIMEOUT_MS
        self._owner_limits = NO_LIMITS
        self._members: dict[EntryHostName, Member] = {}
        self._last_response_ms: dict[EntryHostName, int] = {}
        self._sent_members: dict[Incarnation, frozenset[Incarnation]] = {}
        mesh.register(SiteHeartbeat, self._on_heartbeat)
        configuration.add_listener(lambda _: self._announce_configuration())

    @property
    def owner(self) -> SiteOwner | None:
        """The running ``SiteOwner`` of this entry host, if it owns the site."""
        return self._owner

    @property
    def owner_member(self) -> Member | None:
        """The other entry host that owns the site; None if its last heartbeat was too long ago."""
        if self._clock.now_ms - self._owner_heard_ms > OWNER_HEARTBEAT_TIMEOUT_MS:
            return None
        return self._owner_member

    @property
    def admission_limits(self) -> AdmissionLimits:
        """The limits of the present owner; none if its last heartbeat was too long ago."""
        if self._owner is not None:
            return self._owner.limits
        return self._owner_limits if self.owner_member is not None else NO_LIMITS

    @property
    def others(self) -> list[Member]:
        """The other entry hosts, ordered from the most recent response to the oldest."""
        return sorted(
            self._members.values(), key=lambda each: -self._last_response_ms.get(each.name, 0)
        )

    def set_ownership(self, ownership: Ownership) -> None:
        """Connects the ``Ownership``, which other owners' heartbeats may end."""
        self._ownership = ownership
        ownership.set_peers(self)

    async def query_owner_silence_ms(self, token: FencingToken) -> int | None:
        """Returns the shortest time since a consulted peer heard of the owner.

        Returns None if no peer responds that knows the owner. A peer learns of an owner without
        heartbeats by reading its record.
        """
        requests = [
            self._mesh.request(member, OwnerContactWanted(token), CONTACT_CHECK_TIMEOUT_MS)
            for member in self.others[:MAX_PEERS_CONSULTED]
        ]
        responses = [each.ok_value for each in await gather(requests) if not isinstance(each, Err)]
        silences_ms = [
            each.last_contact_age_ms
            for each in responses
            if isinstance(each, OwnerContactKnown) and each.last_contact_age_ms < NEVER_HEARD_MS
        ]
        return min(silences_ms, default=None)

    async def can_any_reach_store(self) -> bool:
        """Returns whether any consulted peer can reach the store now."""
        contacts = await self._query_store_contacts(self.others)
        return any(each.is_reachable for each in contacts)

    async def _query_store_contacts(self, members: list[Member]) -> list[StoreContactKnown]:
        requests = [
            self._mesh.request(member, StoreContactWanted(), CONTACT_CHECK_TIMEOUT_MS)
            for member in members[:MAX_PEERS_CONSULTED]
        ]
        responses = [each.ok_value for each in await gather(requests) if not isinstance(each, Err)]
        return [each for each in responses if isinstance(each, StoreContactKnown)]

    def knows_larger_host(self) -> bool:
        """Returns whether an entry host with a larger capacity is registered."""
        return bool(self._larger_hosts())

    async def can_larger_host_take_over(self) -> bool:
        """Returns whether a larger entry host responds, reaches the store and accepts the ownership."""
        now_ms = self._clock.now_ms
        responsive_hosts = [
            member
            for member in self._larger_hosts()
            if now_ms - self._last_response_ms.get(member.name, 0) < OWNER_HEARTBEAT_TIMEOUT_MS
        ]
        contacts = await self._query_store_contacts(responsive_hosts)
        return any(each.is_reachable and each.can_take_over for each in contacts)

    def _larger_hosts(self) -> list[Member]:
        own_capacity = self._member.capacity
        return [each for each in self.others if each.capacity.is_larger_than(own_capacity)]

    def announce_resignation(self) -> None:
        """Tells all other entry hosts that this one resigns as the owner of the site."""
        if self._owner is not None:
            self._broadcast_heartbeat(self._owner, is_resigning=True)

    def begin_term(self, owner: SiteOwner) -> None:
        """Starts sending heartbeats to all other entry hosts."""
        self._owner = owner
        self._term_began_ms = self._clock.now_ms
        self._owner_member = None
        run_in_background(self._send_heartbeats(owner))

    def end_term(self) -> None:
        """Stops sending heartbeats."""
        self._owner = None

    def note_member(self, member: Member) -> None:
        """Records an entry host that has announced itself, or a later incarnation of it."""
        if member.name == self._member.name:
            return
        known = self._members.get(member.name)
        if known is None or member.is_later_than(known) or _completes(member, known):
            self._members[member.name] = member
            self._last_response_ms[member.name] = self._clock.now_ms
            self._mesh.connect(self._members.values())
            if self._owner is not None:
                run_in_background(self._send_heartbeat(self._owner, member))

    async def job_state(self, job: JobId, wait_ms: int = 0) -> JobStateKnown | None:
        """Returns what the owner knows about a job; None without a response.

        The owner may wait up to ``wait_ms`` for the end of a job that is about to end.
        """
        if self._owner is not None and self._owner.is_loaded:
            return await self.await_job_state(self._owner, job, wait_ms)
        return await self._request_from_owner(JobStateWanted(job, wait_ms), JobStateKnown, wait_ms)

    async def await_job_state(self, owner: SiteOwner, job_id: JobId, wait_ms: int) -> JobStateKnown:
        """Returns the state of a job, after its end if it should end within ``wait_ms``."""
        deadline_ms = self._clock.now_ms + wait_ms
        while (remaining_ms := deadline_ms - self._clock.now_ms) > 0 and not owner.is_closed:
            job = owner.fleet_state.jobs.get(job_id)
            if job is None or not ends_within(job, remaining_ms, self._clock.now_ms):
                break
            await sleep(self._reactor, JOB_END_CHECK_INTERVAL_MS)
        return make_job_state_response(owner, job_id)

    async def pending(self, queue: QueueName) -> int | None:
        """Returns the number of pending jobs in a queue; None without a response."""
        if self._owner is not None and self._owner.is_loaded:
            return self._owner.fleet_state.count_unstarted_jobs(queue)
        response = await self._request_from_owner(PendingWanted(queue), PendingKnown)
        return None if response is None else response.count

    async def placement(self, job: AcceptedJob) -> JobPreview | None:
        """Returns where the owner would place a job now; None without a response."""
        if self._owner is not None and self._owner.is_loaded:
            return self._owner.preview(job)
        response = await self._request_from_owner(PlacementWanted(job), PlacementKnown)
        return None if response is None else response.preview

    async def decide_admission(
        self, job: JobId, queue: QueueName, team: TeamName, demand: JobDemand
    ) -> int | None:
        """Returns the owner's decision on a job: None to admit it, or when to come back.

        A job is admitted if the owner doesn't respond, since it can still order the queue.
        """
        if self._owner is not None:
            return self._owner.decide_admission(job, queue, team, demand)
        decided = await self._request_from_owner(
            AdmissionWanted(job, queue, team, demand), AdmissionDecided
        )
        return None if decided is None else decided.retry_after_ms

    def notify_owner(self, key: str, value: bytes) -> None:
        """Notifies the owner of a stored record.

        Delivery is best effort, since the owner also watches the store.
        """
        if self._owner is not None:
            self._owner.apply_intake(key, value)
        elif self.owner_member is not None:
            run_in_background(
                self._mesh.request(
                    self.owner_member, IntakeKept(key, value), OWNER_REQUEST_TIMEOUT_MS
                )
            )

    async def relay_write(
        self, key: str, value: bytes, attempt: int, timeout_ms: int
    ) -> StoreWriteSettled | None:
        """Has another entry host create a record, the owner on the first attempt.

        Returns None if there is no other entry host.
        """
        owner = self.owner_member
        others = [each for each in self.others if owner is None or each.name != owner.name]
        relays = ([owner] if owner is not None else []) + others
        if not relays:
            return None
        relay = relays[attempt % len(relays)]
        response = await self._mesh.request(
            relay, StoreWriteWanted(key, value, timeout_ms), timeout_ms
        )
        if isinstance(response, Err):
            return StoreWriteSettled(False, response.err_value.may_have_taken_effect)
        if isinstance(response.ok_value, StoreWriteSettled):
            return response.ok_value
        return StoreWriteSettled(False, False)

    async def _request_from_owner(
        self, message: Message, response_type: type[Response], wait_ms: int = 0
    ) -> Response | None:
        member = self.owner_member
        if member is None:
            return None
        response = await self._mesh.request(member, message, OWNER_REQUEST_TIMEOUT_MS + wait_ms)
        if isinstance(response, Err) or not isinstance(response.ok_value, response_type):
            return None
        return response.ok_value

    async def _send_heartbeats(self, owner: SiteOwner) -> None:
        while not owner.is_closed:
            if owner.may_act:
                self._broadcast_heartbeat(owner)
            await sleep(self._reactor, HEARTBEAT_INTERVAL_MS)

    def _announce_configuration(self) -> None:
        """Announces a newer configuration to the other entry hosts at once."""
        if self._owner is not None:
            self._broadcast_heartbeat(self._owner)

    def _broadcast_heartbeat(self, owner: SiteOwner, is_resigning: bool = False) -> None:
        if owner.is_closed:
            return
        now_ms = self._clock.now_ms
        for name, member in self._members.items():
            # Only the owner gets responses of all members, so earlier silence shows nothing.
            silent_since_ms = max(self._last_response_ms.get(name, 0), self._term_began_ms)
            if now_ms - silent_since_ms < MEMBER_TIMEOUT_MS:
                run_in_background(self._send_heartbeat(owner, member, is_resigning))

    async def _send_heartbeat(
        self, owner: SiteOwner, member: Member, is_resigning: bool = False
    ) -> None:
        known_incarnations = frozenset(each.incarnation for each in self._members.values())
        is_list_known = self._sent_members.get(member.incarnation) == known_incarnations
        heartbeat = SiteHeartbeat(
            self._member,
            owner.token,
            self._configuration.version,
            () if is_list_known else tuple(self._members.values()),
            is_resigning,
            owner.limits if owner.limits.waits_ms else None,
        )
        response = await self._mesh.request(member, heartbeat, HEARTBEAT_TIMEOUT_MS)
        if isinstance(response, Err) or not isinstance(response.ok_value, SiteHeartbeatAnswer):
            return
        self._last_response_ms[member.name] = self._clock.now_ms
        self._sent_members[member.incarnation] = known_incarnations
        if response.ok_value.token > owner.token:
            owner.yield_to_later_owner()

    async def _on_heartbeat(self, sender: EntryHostName, heartbeat: SiteHeartbeat) -> Message:
        highest_token = self._ownership.highest_token
        if heartbeat.is_resigning:
            log.info("owner resigns", owner=heartbeat.owner.name, token=heartbeat.token)
            self._ownership.note_resignation(heartbeat.token)
            self._owner_heard_ms = -OWNER_HEARTBEAT_TIMEOUT_MS
        elif heartbeat.token >= highest_token:
            self._ownership.note_heartbeat(heartbeat.token)
            if self._owner_member != heartbeat.owner:
                log.info("new owner observed", owner=heartbeat.owner.name, token=heartbeat.token)
            self._owner_member = heartbeat.owner
            self._owner_heard_ms = self._clock.now_ms
            self._owner_limits = heartbeat.limits or NO_LIMITS
            self.note_member(heartbeat.owner)
            for member in heartbeat.members:
                self.note_member(member)
            self._last_response_ms[heartbeat.owner.name] = self._clock.now_ms
        self._configuration.note_announcement(heartbeat.configuration_version)
        return SiteHeartbeatAnswer(
            max(highest_token, self._ownership.highest_token), self._configuration.version
        )

    async def request_configuration(
        self, known: int, include_large: bool
    ) -> SiteConfigurationOffered | None:
        """Requests the owner's configuration; without its content if its version is ``known``.

        The content of a large configuration is included only on request.
        """
        wait_ms = LARGE_CONFIGURATION_WAIT_MS if include_large else 0
        return await self._request_from_owner(
            SiteConfigurationWanted(known, include_large), SiteConfigurationOffered, wait_ms
        )


def _completes(member: Member, known: Member) -> bool:
    """Returns whether ``member`` adds the capacity, which older builds drop when relaying it."""
    return member.incarnation == known.incarnation and not known.capacity.is_known


def make_job_state_response(owner: SiteOwner, job_id: JobId) -> JobStateKnown:
    """Returns the owner's response to a request for a job's state."""
    job = owner.fleet_state.jobs.get(job_id)
    if job is None:
        return JobStateKnown(None, keeps_cancellations=not owner.cancellations.is_full)
    return JobStateKnown(caller_visible_state(job), job.accepted.queue)
