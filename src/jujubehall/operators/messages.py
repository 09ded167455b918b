"""Bodies of the operators' routes, shared by the daemon and the command line.

Every change carries the number of the configuration that the operator read, the author, a written
reason and a token drawn by the writer. The token makes a repeated change recognisable after a
lost answer.
"""

from __future__ import annotations

from typing import Annotated
from typing import Any

import msgspec

from jujubehall.core.configuration.document import Team
from jujubehall.core.ownership.record import Member
from jujubehall.identifiers import TeamName

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]


class ChangeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What every change of the configuration carries."""

    expected_number: Annotated[int, msgspec.Meta(ge=0)]
    author: Text
    reason: Text
    token: Text


class SetDefaultBody(ChangeBody, frozen=True, kw_only=True):
    """Sets one fleet default."""

    key: str
    value: Any


class PutTeamBody(ChangeBody, frozen=True, kw_only=True):
    """Creates or replaces a team."""

    team: Team


class RemoveTeamBody(ChangeBody, frozen=True, kw_only=True):
    """Removes a team."""

    team: TeamName


class AddExceptionBody(ChangeBody, frozen=True, kw_only=True):
    """Overrides one default within a scope, or replaces the override that is there."""

    scope: Text
    key: Text
    value: Any


class RemoveExceptionBody(ChangeBody, frozen=True, kw_only=True):
    """Removes the override of one default within a scope."""

    scope: Text
    key: Text


class EndpointView(msgspec.Struct, frozen=True):
    """An endpoint as one entry host sees it: what it sent there and whether it may send more."""

    name: str
    zone: str
    state: str
    in_flight: int


class EntryHostView(msgspec.Struct, frozen=True):
    """An entry host of the ownership record, with the scopes that it owns."""

    member: Member
    zones: tuple[str, ...]
    request_shards: int


class OwnershipView(msgspec.Struct, frozen=True):
    """Who owns what in an epoch, as one entry host knows it."""

    epoch: int
    entry_hosts: tuple[EntryHostView, ...]
