"""Message bodies of the operators' HTTP routes, shared by the daemon and the command line.

Every change request contains the number of the configuration that it is based on, the author, a
reason and a random token chosen by the client. If the response is lost and the client repeats the
request, the token identifies the change as already applied.
"""

from __future__ import annotations

from typing import Annotated
from typing import Any

import msgspec

from jujubehall.core.configuration.document import Team
from jujubehall.core.ownership.record import Member
from jujubehall.identifiers import TeamName

ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]


class ChangeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Fields common to all configuration change requests."""

    expected_number: Annotated[int, msgspec.Meta(ge=0)]
    author: ShortText
    reason: ShortText
    token: ShortText


class SetDefaultBody(ChangeBody, frozen=True, kw_only=True):
    """Request to set one fleet default."""

    key: str
    value: Any


class PutTeamBody(ChangeBody, frozen=True, kw_only=True):
    """Request to create or replace a team."""

    team: Team


class RemoveTeamBody(ChangeBody, frozen=True, kw_only=True):
    """Request to remove a team."""

    team: TeamName


class AddExceptionBody(ChangeBody, frozen=True, kw_only=True):
    """Request to override one default within a scope, replacing an existing override."""

    scope: ShortText
    key: ShortText
    value: Any


class RemoveExceptionBody(ChangeBody, frozen=True, kw_only=True):
    """Request to remove the override of one default within a scope."""

    scope: ShortText
    key: ShortText


class EndpointView(msgspec.Struct, frozen=True):
    """Endpoint as known to one entry host.

    ``state`` is ``live`` or ``leaving``; a leaving endpoint gets no more requests. ``in_flight``
    counts the requests that this entry host has sent to it and that have not ended.
    """

    name: str
    zone: str
    state: str
    in_flight: int


class EntryHostView(msgspec.Struct, frozen=True):
    """Entry host of the ownership record, with its zones and its number of request shards."""

    member: Member
    zones: tuple[str, ...]
    request_shards: int


class OwnershipView(msgspec.Struct, frozen=True):
    """Ownership record, grouped by entry host, as one entry host knows it."""

    epoch: int
    entry_hosts: tuple[EntryHostView, ...]
