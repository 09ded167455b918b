"""Messages between entry hosts, encoded as MessagePack.

Every message is a tagged struct of the union ``Message``. A message that asks for an answer is
answered by another message of the union, or by ``Refused``.
"""

from __future__ import annotations

import msgspec

from jujubehall.core.jobs.job import JobState
from jujubehall.core.ownership.record import Member
from jujubehall.core.requests.request import Answer
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import FencingToken
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import JobId
from jujubehall.identifiers import QueueName
from jujubehall.identifiers import Version


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Sent to every member each second; carries what a member cut off from the platform needs."""

    epoch: Epoch
    configuration_version: Version
    platform_reachable: bool
    draining: bool = False


class HeartbeatAnswer(msgspec.Struct, frozen=True, tag="heartbeat-answer"):
    """Answers a heartbeat with the answerer's own."""

    heartbeat: Heartbeat


class ForwardedRequest(msgspec.Struct, frozen=True, tag="forwarded-request"):
    """A request passed on to the owner of its shard in ``epoch``."""

    request: Request
    epoch: Epoch


class ForwardedAnswer(msgspec.Struct, frozen=True, tag="forwarded-answer"):
    """The owner's answer to a forwarded request."""

    answer: Answer


class ConfigurationWanted(msgspec.Struct, frozen=True, tag="configuration-wanted"):
    """Asks a member for its configuration, because its heartbeat shows a later version."""


class ConfigurationOffered(msgspec.Struct, frozen=True, tag="configuration-offered"):
    """A configuration as read from the platform at ``version``, undecoded."""

    version: Version
    value: msgspec.Raw


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The receiver did not act on a message."""

    reason: str


class GrantWanted(msgspec.Struct, frozen=True, tag="grant-wanted"):
    """An owner asks for a promise not to take over from it; ``core.requests.grants`` says why."""

    incarnation: Incarnation
    epoch: Epoch
    sequence: int


class GrantAnswered(msgspec.Struct, frozen=True, tag="grant-answered"):
    """The answer of the granter with the given incarnation."""

    incarnation: Incarnation
    granted: bool


class WithdrawalWanted(msgspec.Struct, frozen=True, tag="withdrawal-wanted"):
    """A successor asks that an owner gets no more grants for epochs before ``epoch``."""

    owner: Incarnation
    epoch: Epoch


class GrantWithdrawn(msgspec.Struct, frozen=True, tag="grant-withdrawn"):
    """Says how long the last promise still holds and the highest sequence ever granted."""

    incarnation: Incarnation
    remaining_ms: int
    sequence: int


class SurrenderWanted(msgspec.Struct, frozen=True, tag="surrender-wanted"):
    """A successor, which has sealed the owner's head, asks for its claims in memory."""

    owner: Incarnation


class Surrendered(msgspec.Struct, frozen=True, tag="surrendered"):
    """All claims that the owner holds in memory only; it makes no more of them."""

    incarnation: Incarnation
    claims: tuple[int, ...]


class AllotmentWanted(msgspec.Struct, frozen=True, tag="allotment-wanted"):
    """Asks whether the receiver uses no more slots than its part under the record of ``epoch``."""

    epoch: Epoch


class AllotmentSettled(msgspec.Struct, frozen=True, tag="allotment-settled"):
    """Answers ``AllotmentWanted``."""

    settled: bool


class SiteHeartbeat(msgspec.Struct, frozen=True, tag="site-heartbeat"):
    """Sent by the owner of the site to every entry host.

    It may arrive late, after a cut, so it proves nothing about how current anything is.
    """

    owner: Member
    token: FencingToken
    configuration_version: int
    members: tuple[Member, ...] = ()
    is_resigning: bool = False
    """The owner gives the site up; whoever hears this may take over at once."""


class OwnerContactWanted(msgspec.Struct, frozen=True, tag="owner-contact-wanted"):
    """Asks how long ago the receiver heard of the owner with this or a higher token."""

    token: FencingToken


class OwnerContactKnown(msgspec.Struct, frozen=True, tag="owner-contact-known"):
    """Answers ``OwnerContactWanted``."""

    heard_ms_ago: int


class StoreContactWanted(msgspec.Struct, frozen=True, tag="store-contact-wanted"):
    """Asks the receiver to try whether it reaches the store."""


class StoreContactKnown(msgspec.Struct, frozen=True, tag="store-contact-known"):
    """Answers ``StoreContactWanted``."""

    is_reachable: bool


class IntakeKept(msgspec.Struct, frozen=True, tag="intake-kept"):
    """Tells the owner of a job or cancellation that has just been kept in the store.

    The owner finds it there by itself, but a watch may lag.
    """

    key: str
    value: bytes


class IntakeNoted(msgspec.Struct, frozen=True, tag="intake-noted"):
    """Answers ``IntakeKept``."""


class SiteHeartbeatAnswer(msgspec.Struct, frozen=True, tag="site-heartbeat-answer"):
    """Answers with the highest fencing token of an owner that the entry host has heard of."""

    token: FencingToken
    configuration_version: int


class SiteConfigurationWanted(msgspec.Struct, frozen=True, tag="site-configuration-wanted"):
    """Asks the owner for the site's configuration and for how current it is there.

    The content is left out of the answer if its version is ``known``.
    """

    known: int = 0


class SiteConfigurationOffered(msgspec.Struct, frozen=True, tag="site-configuration-offered"):
    """The configuration as its peer's adapter encoded it, and its age in milliseconds."""

    version: int
    age_ms: int
    content: bytes


class JobStateWanted(msgspec.Struct, frozen=True, tag="job-state-wanted"):
    """Asks the owner of the site for a job's state."""

    job: JobId


class JobStateKnown(msgspec.Struct, frozen=True, tag="job-state-known"):
    """A job's state as kept in the store; None if the owner does not know the job."""

    state: JobState | None
    queue: QueueName | None = None


class PendingWanted(msgspec.Struct, frozen=True, tag="pending-wanted"):
    """Asks the owner how many jobs of a queue have had no task started."""

    queue: QueueName


class PendingKnown(msgspec.Struct, frozen=True, tag="pending-known"):
    """Answers ``PendingWanted``."""

    count: int


class StoreWriteWanted(msgspec.Struct, frozen=True, tag="store-write-wanted"):
    """Asks another entry host to create a record, from one that can't reach the store."""

    key: str
    value: bytes
    timeout_ms: int


class StoreWriteSettled(msgspec.Struct, frozen=True, tag="store-write-settled"):
    """Whether the record exists now; if not, whether the write may still take effect."""

    is_kept: bool
    may_take_effect: bool
    is_new: bool = False
    """Whether this write has created the record, so that its content is what was written."""


Message = (
    SiteHeartbeat
    | IntakeKept
    | IntakeNoted
    | OwnerContactWanted
    | OwnerContactKnown
    | StoreContactWanted
    | StoreContactKnown
    | SiteHeartbeatAnswer
    | SiteConfigurationWanted
    | SiteConfigurationOffered
    | JobStateWanted
    | JobStateKnown
    | PendingWanted
    | PendingKnown
    | StoreWriteWanted
    | StoreWriteSettled
    | Heartbeat
    | HeartbeatAnswer
    | ForwardedRequest
    | ForwardedAnswer
    | ConfigurationWanted
    | ConfigurationOffered
    | Refused
    | GrantWanted
    | GrantAnswered
    | WithdrawalWanted
    | GrantWithdrawn
    | SurrenderWanted
    | Surrendered
    | AllotmentWanted
    | AllotmentSettled
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender; ``id`` ties an answer to the question."""

    id: int
    sender: EntryHostName
    incarnation: Incarnation
    message: Message
