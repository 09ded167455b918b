"""Messages between entry hosts, encoded as MessagePack.

Every message is a tagged struct of the union ``Message``. A message that asks for an answer is
answered by another message of the union, or by ``Refused``.
"""

from __future__ import annotations

import msgspec

from jujubehall.core.requests.request import Answer
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Incarnation
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


Message = (
    Heartbeat
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
