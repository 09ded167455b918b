"""What entry hosts of a site tell and ask each other."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import structlog

from result import Err

from jujubehall.core.jobs.job import JobState
from jujubehall.entry_hosts.messages import IntakeKept
from jujubehall.entry_hosts.messages import JobStateKnown
from jujubehall.entry_hosts.messages import JobStateWanted
from jujubehall.entry_hosts.messages import OwnerContactKnown
from jujubehall.entry_hosts.messages import OwnerContactWanted
from jujubehall.entry_hosts.messages import PendingKnown
from jujubehall.entry_hosts.messages import PendingWanted
from jujubehall.entry_hosts.messages import SiteConfigurationOffered
from jujubehall.entry_hosts.messages import SiteConfigurationWanted
from jujubehall.entry_hosts.messages import SiteHeartbeat
from jujubehall.entry_hosts.messages import SiteHeartbeatAnswer
from jujubehall.entry_hosts.messages import StoreContactKnown
from jujubehall.entry_hosts.messages import StoreContactWanted
from jujubehall.entry_hosts.messages import StoreWriteSettled
from jujubehall.entry_hosts.messages import StoreWriteWanted
from jujubehall.services.timing import gather
from jujubehall.services.timing import sleep
from jujubehall.services.timing import start

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.ownership.record import Member
    from jujubehall.entry_hosts.mesh import Mesh
    from jujubehall.entry_hosts.messages import Message
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import Incarnation
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import QueueName
    from jujubehall.services.fleet.configuration_follower import ConfigurationFollower
    from jujubehall.services.fleet.ownership import Ownership
    from jujubehall.services.fleet.site_owner import SiteOwner

HEARTBEAT_INTERVAL_MS = 300
HEARTBEAT_TIMEOUT_MS = 800
QUESTION_TIMEOUT_MS = 400
"""Beyond this the store is asked instead of the owner."""

OWNER_SILENT_MS = 1_000
"""Three missed heartbeats; then the store is asked at once."""

CONTACT_TIMEOUT_MS = 300
WITNESSES = 3
"""Other entry hosts that are asked before an owner is replaced or gives up."""

SILENT_MEMBER_MS = 30_000
"""A member that has not answered for this long is told nothing any more until it returns."""

Answer = TypeVar("Answer")

log = structlog.get_logger()


def shown_state(job: FleetJob) -> JobState:
    """The state that callers are shown: never later than what is kept."""
    if job.kept_state.is_final:
        return job.kept_state
    if job.is_cancelled:
        return JobState.CANCELLED
    return JobState.RUNNING if job.has_started else JobState.QUEUED


class Peers:
    """The other entry hosts: heartbeats of the owner, and questions to them."""

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
        self._owner_member: Member | None = None
        self._heard_ms = -OWNER_SILENT_MS
        self._members: dict[EntryHostName, Member] = {}
        self._answered_ms: dict[EntryHostName, int] = {}
        self._told: dict[Incarnation, frozenset[Incarnation]] = {}
        mesh.register(SiteHeartbeat, self._on_heartbeat)
        configuration.on_change(lambda _: self._beat_configuration())

    @property
    def owner(self) -> SiteOwner | None:
        """The term of this entry host, if it owns the site."""
        return self._owner

    @property
    def owner_member(self) -> Member | None:
        """The owner that was heard of last, unless it has been silent for too long."""
        if self._clock.now_ms - self._heard_ms > OWNER_SILENT_MS:
            return None
        return self._owner_member

    @property
    def others(self) -> list[Member]:
        """The other entry hosts, those that answered last first."""
        return sorted(self._members.values(), key=lambda each: -self._answered_ms.get(each.name, 0))

    def attach(self, ownership: Ownership) -> None:
        """Connects the ownership, which the heartbeats of others may end."""
        self._ownership = ownership
        ownership.ask(self)

    async def heard_owner_ms_ago(self, token: FencingToken) -> int | None:
        """The least time since any witness that answers heard of the owner; None if none does."""
        asked = [
            self._mesh.ask(member, OwnerContactWanted(token), CONTACT_TIMEOUT_MS)
            for member in self.others[:WITNESSES]
        ]
        answers = [each.ok_value for each in await gather(asked) if not isinstance(each, Err)]
        known = [each.heard_ms_ago for each in answers if isinstance(each, OwnerContactKnown)]
        return min(known, default=None)

    async def reach_store(self) -> bool:
        """Whether any witness reaches the store now."""
        asked = [
            self._mesh.ask(member, StoreContactWanted(), CONTACT_TIMEOUT_MS)
            for member in self.others[:WITNESSES]
        ]
        answers = [each.ok_value for each in await gather(asked) if not isinstance(each, Err)]
        return any(isinstance(each, StoreContactKnown) and each.is_reachable for each in answers)

    def announce_resignation(self) -> None:
        """Tells all others that this entry host gives the site up."""
        if self._owner is not None:
            self._beat_now(self._owner, is_resigning=True)

    def begin_term(self, owner: SiteOwner) -> None:
        """Starts heartbeats to all others."""
        self._owner = owner
        self._owner_member = None
        start(self._beat(owner))

    def end_term(self) -> None:
        """Ends the heartbeats."""
        self._owner = None

    def note_member(self, member: Member) -> None:
        """Takes in an entry host that has announced itself."""
        if member.name == self._member.name:
            return
        known = self._members.get(member.name)
        if known is None or member.is_later_than(known):
            self._members[member.name] = member
            self._answered_ms[member.name] = self._clock.now_ms
            self._mesh.connect(self._members.values())
            if self._owner is not None:
                start(self._beat_to(self._owner, member))

    async def job_state(self, job: JobId) -> JobStateKnown | None:
        """What the owner knows of a job; None if there is no answer."""
        if self._owner is not None and self._owner.is_loaded:
            return known_state(self._owner, job)
        return await self._ask_owner(JobStateWanted(job), JobStateKnown)

    async def pending(self, queue: QueueName) -> int | None:
        """How many jobs of a queue wait; None if there is no answer."""
        if self._owner is not None and self._owner.is_loaded:
            return self._owner.book.pending(queue)
        answer = await self._ask_owner(PendingWanted(queue), PendingKnown)
        return None if answer is None else answer.count

    def tell_owner(self, key: str, value: bytes) -> None:
        """Tells the owner of a record that is kept; nothing depends on its arrival."""
        if self._owner is not None:
            self._owner.note_intake(key, value)
        elif self.owner_member is not None:
            start(self._mesh.ask(self.owner_member, IntakeKept(key, value), QUESTION_TIMEOUT_MS))

    async def write_through_other(
        self, key: str, value: bytes, attempt: int, timeout_ms: int
    ) -> StoreWriteSettled | None:
        """Has another entry host create a record, the owner first; None if there is none."""
        owner = self.owner_member
        others = [each for each in self.others if owner is None or each.name != owner.name]
        relays = ([owner] if owner is not None else []) + others
        if not relays:
            return None
        relay = relays[attempt % len(relays)]
        asked = await self._mesh.ask(relay, StoreWriteWanted(key, value, timeout_ms), timeout_ms)
        if isinstance(asked, Err):
            return StoreWriteSettled(False, asked.err_value.may_have_taken_effect)
        if isinstance(asked.ok_value, StoreWriteSettled):
            return asked.ok_value
        return StoreWriteSettled(False, False)

    async def _ask_owner(self, message: Message, type_: type[Answer]) -> Answer | None:
        member = self.owner_member
        if member is None:
            return None
        asked = await self._mesh.ask(member, message, QUESTION_TIMEOUT_MS)
        if isinstance(asked, Err) or not isinstance(asked.ok_value, type_):
            return None
        return asked.ok_value

    async def _beat(self, owner: SiteOwner) -> None:
        while not owner.is_closed:
            if owner.may_act:
                self._beat_now(owner)
            await sleep(self._reactor, HEARTBEAT_INTERVAL_MS)

    def _beat_configuration(self) -> None:
        """Has the others learn of a newer configuration at once."""
        if self._owner is not None:
            self._beat_now(self._owner)

    def _beat_now(self, owner: SiteOwner, is_resigning: bool = False) -> None:
        if owner.is_closed:
            return
        now_ms = self._clock.now_ms
        for name, member in self._members.items():
            if now_ms - self._answered_ms.get(name, 0) < SILENT_MEMBER_MS:
                start(self._beat_to(owner, member, is_resigning))

    async def _beat_to(self, owner: SiteOwner, member: Member, is_resigning: bool = False) -> None:
        told = frozenset(each.incarnation for each in self._members.values())
        is_told = self._told.get(member.incarnation) == told
        heartbeat = SiteHeartbeat(
            self._member,
            owner.token,
            self._configuration.version,
            () if is_told else tuple(self._members.values()),
            is_resigning,
        )
        answered = await self._mesh.ask(member, heartbeat, HEARTBEAT_TIMEOUT_MS)
        if isinstance(answered, Err) or not isinstance(answered.ok_value, SiteHeartbeatAnswer):
            return
        self._answered_ms[member.name] = self._clock.now_ms
        self._told[member.incarnation] = told
        if answered.ok_value.token > owner.token:
            owner.verify_ownership()

    async def _on_heartbeat(self, sender: EntryHostName, beat: SiteHeartbeat) -> Message:
        highest = self._ownership.highest_token
        if beat.is_resigning:
            log.info("owner resigns", owner=beat.owner.name, token=beat.token)
            self._ownership.heard_resignation(beat.token)
            self._heard_ms = -OWNER_SILENT_MS
        elif beat.token >= highest:
            self._ownership.heard_owner(beat.token)
            if self._owner_member != beat.owner:
                log.info("owner heard", owner=beat.owner.name, token=beat.token)
            self._owner_member = beat.owner
            self._heard_ms = self._clock.now_ms
            self.note_member(beat.owner)
            for member in beat.members:
                self.note_member(member)
            self._answered_ms[beat.owner.name] = self._clock.now_ms
        if beat.configuration_version > self._configuration.version:
            self._configuration.wake()
        return SiteHeartbeatAnswer(
            max(highest, self._ownership.highest_token), self._configuration.version
        )

    async def ask_configuration(self, known: int) -> SiteConfigurationOffered | None:
        """Asks the owner for its configuration; without content if it has version ``known``."""
        return await self._ask_owner(SiteConfigurationWanted(known), SiteConfigurationOffered)


def known_state(owner: SiteOwner, job_id: JobId) -> JobStateKnown:
    """What the owner tells of a job."""
    job = owner.book.jobs.get(job_id)
    if job is None:
        return JobStateKnown(None)
    return JobStateKnown(shown_state(job), job.accepted.queue)
