"""Messages between entry hosts, encoded as MessagePack.

Every message is a tagged struct of the union ``Message``. The response to a request is another
message of the union, or ``Refused``.
"""

from __future__ import annotations

import msgspec

from jujubehall.core.fleet.admission_limits import AdmissionLimits
from jujubehall.core.fleet.job_demand import JobDemand
from jujubehall.core.fleet.placement_preview import JobPreview
from jujubehall.core.fleet.requests import AcceptedJob
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
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import Version


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Sent to every member each second, with data for members that can't reach the platform."""

    epoch: Epoch
    configuration_version: Version
    platform_reachable: bool
    draining: bool = False


class HeartbeatAnswer(msgspec.Struct, frozen=True, tag="heartbeat-answer"):
    """Response to a heartbeat, with the heartbeat of the responder."""

    heartbeat: Heartbeat


class ForwardedRequest(msgspec.Struct, frozen=True, tag="forwarded-request"):
    """A request forwarded to the owner of its shard in ``epoch``."""

    request: Request
    epoch: Epoch


class ForwardedAnswer(msgspec.Struct, frozen=True, tag="forwarded-answer"):
    """The owner's response to a forwarded request."""

    answer: Answer


class ConfigurationWanted(msgspec.Struct, frozen=True, tag="configuration-wanted"):
    """Requests a member's configuration, because its heartbeat shows a later version."""


class ConfigurationOffered(msgspec.Struct, frozen=True, tag="configuration-offered"):
    """A configuration as read from the platform at ``version``, not decoded."""

    version: Version
    value: msgspec.Raw


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """Response of a receiver that did not act on a message."""

    reason: str


class GrantWanted(msgspec.Struct, frozen=True, tag="grant-wanted"):
    """An owner's request for a grant, a promise of the receiver not to take over from it.

    ``core.requests.grants`` explains the purpose.
    """

    incarnation: Incarnation
    epoch: Epoch
    sequence: int


class GrantAnswered(msgspec.Struct, frozen=True, tag="grant-answered"):
    """Response to ``GrantWanted``, with the incarnation of the granter."""

    incarnation: Incarnation
    granted: bool


class WithdrawalWanted(msgspec.Struct, frozen=True, tag="withdrawal-wanted"):
    """A successor's request to refuse an owner all further grants for epochs before ``epoch``."""

    owner: Incarnation
    epoch: Epoch


class GrantWithdrawn(msgspec.Struct, frozen=True, tag="grant-withdrawn"):
    """Response to ``WithdrawalWanted``.

    Contains how long the last promise is still valid and the highest sequence ever granted.
    """

    incarnation: Incarnation
    remaining_ms: int
    sequence: int


class SurrenderWanted(msgspec.Struct, frozen=True, tag="surrender-wanted"):
    """Request of a successor that has sealed the owner's head, for the owner's claims in memory."""

    owner: Incarnation


class Surrendered(msgspec.Struct, frozen=True, tag="surrendered"):
    """Response to ``SurrenderWanted``: all claims that the owner holds in memory only.

    The owner makes no more such claims.
    """

    incarnation: Incarnation
    claims: tuple[int, ...]


class AllotmentWanted(msgspec.Struct, frozen=True, tag="allotment-wanted"):
    """Asks whether the receiver uses no more slots than its share under the record of ``epoch``."""

    epoch: Epoch


class AllotmentSettled(msgspec.Struct, frozen=True, tag="allotment-settled"):
    """Response to ``AllotmentWanted``."""

    settled: bool


class SiteHeartbeat(msgspec.Struct, frozen=True, omit_defaults=True, tag="site-heartbeat"):
    """Sent by the owner of the site to every entry host.

    A network partition may delay it, so it doesn't prove that any data is up to date.
    """

    owner: Member
    token: FencingToken
    configuration_version: int
    members: tuple[Member, ...] = ()
    is_resigning: bool = False
    """Whether the owner is resigning; any receiver may then take over at once."""

    limits: AdmissionLimits | None = None
    """The queues whose jobs may have to be refused for load; None if there are none."""


class OwnerContactWanted(msgspec.Struct, frozen=True, tag="owner-contact-wanted"):
    """Asks how long ago the receiver last heard from an owner with this or a higher token."""

    token: FencingToken


class OwnerContactKnown(msgspec.Struct, frozen=True, tag="owner-contact-known"):
    """Response to ``OwnerContactWanted``."""

    last_contact_age_ms: int = msgspec.field(name="heard_ms_ago")


class StoreContactWanted(msgspec.Struct, frozen=True, tag="store-contact-wanted"):
    """Asks the receiver to check whether it can reach the store."""


class StoreContactKnown(msgspec.Struct, frozen=True, tag="store-contact-known"):
    """Response to ``StoreContactWanted``."""

    is_reachable: bool
    can_take_over: bool = True
    """Whether a smaller owner may hand over to the responder."""


class IntakeKept(msgspec.Struct, frozen=True, tag="intake-kept"):
    """Notifies the owner of a job or cancellation that was just written to the store.

    The owner would also find it with its watch, but a watch may lag.
    """

    key: str
    value: bytes


class IntakeNoted(msgspec.Struct, frozen=True, tag="intake-noted"):
    """Acknowledges ``IntakeKept``."""


class SiteHeartbeatAnswer(msgspec.Struct, frozen=True, tag="site-heartbeat-answer"):
    """Response to ``SiteHeartbeat``.

    ``token`` is the highest fencing token of an owner that the entry host has heard of.
    """

    token: FencingToken
    configuration_version: int


class SiteConfigurationWanted(msgspec.Struct, frozen=True, tag="site-configuration-wanted"):
    """Requests the site's configuration and its age from the owner.

    The response omits the content if its version is ``known``, or if it is large. An entry host that
    can't read a large configuration from the store asks for it with ``include_large``.
    """

    known: int = 0
    include_large: bool = False


class SiteConfigurationOffered(msgspec.Struct, frozen=True, tag="site-configuration-offered"):
    """The configuration, encoded for the platform's adapter, and its age in milliseconds."""

    version: int
    age_ms: int
    content: bytes


class JobStateWanted(msgspec.Struct, frozen=True, tag="job-state-wanted"):
    """Requests a job's state from the owner of the site.

    The owner may wait up to ``wait_ms`` for the end of a job that is about to end.
    """

    job: JobId
    wait_ms: int = 0


class JobStateKnown(msgspec.Struct, frozen=True, tag="job-state-known"):
    """Response to ``JobStateWanted`` with the job's state as stored.

    ``state`` is None if the owner does not know the job.
    """

    state: JobState | None
    queue: QueueName | None = None
    keeps_cancellations: bool = True
    """Whether the owner can keep another cancellation of a job that it does not know."""


class PendingWanted(msgspec.Struct, frozen=True, tag="pending-wanted"):
    """Asks the owner how many jobs of a queue have not started any task."""

    queue: QueueName


class PendingKnown(msgspec.Struct, frozen=True, tag="pending-known"):
    """Response to ``PendingWanted``."""

    count: int


class PlacementWanted(msgspec.Struct, frozen=True, tag="placement-wanted"):
    """Asks the owner where a job would be placed now, without submitting it."""

    job: AcceptedJob


class PlacementKnown(msgspec.Struct, frozen=True, tag="placement-known"):
    """Response to ``PlacementWanted``."""

    preview: JobPreview


class AdmissionWanted(msgspec.Struct, frozen=True, tag="admission-wanted"):
    """Asks the owner whether to admit a job to a queue that has too much work ahead."""

    job: JobId
    queue: QueueName
    team: TeamName
    demand: JobDemand


class AdmissionDecided(msgspec.Struct, frozen=True, tag="admission-decided"):
    """Response to ``AdmissionWanted``: None to admit the job, or the time until the next attempt."""

    retry_after_ms: int | None = None


class StoreWriteWanted(msgspec.Struct, frozen=True, tag="store-write-wanted"):
    """Request to create a record on behalf of the sender, which can't reach the store."""

    key: str
    value: bytes
    timeout_ms: int


class StoreWriteSettled(msgspec.Struct, frozen=True, tag="store-write-settled"):
    """Response to ``StoreWriteWanted``.

    ``is_stored`` says whether the record exists now and, if it doesn't, ``may_take_effect`` whether
    the write may still take effect.
    """

    is_stored: bool = msgspec.field(name="is_kept")
    may_take_effect: bool
    is_new: bool = False
    """Whether this write created the record, so that the record has the content of the write."""


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
    | PlacementWanted
    | PlacementKnown
    | AdmissionWanted
    | AdmissionDecided
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
    """A message with its sender; a response has the ``id`` of its request."""

    id: int
    sender: EntryHostName
    incarnation: Incarnation
    message: Message
