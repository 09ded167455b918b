"""The ownership record: one value in the platform's service, changed by compare-and-swap."""

from __future__ import annotations

import msgspec

from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import ZoneName

MEMBERS_PREFIX = "state/members/"
OWNERSHIP_KEY = "state/ownership"


class Member(msgspec.Struct, frozen=True):
    """An entry host as registered under ``MEMBERS_PREFIX`` with a platform lease."""

    name: EntryHostName
    incarnation: Incarnation
    zone: ZoneName
    http_address: str
    mesh_address: str
    draining: bool = False
    started_unix_ms: int = 0
    """Orders the incarnations of one name by the wall clocks of their hosts."""

    def is_later_than(self, other: Member) -> bool:
        """Whether this incarnation started after ``other``, which has the same name."""
        own_start = (self.started_unix_ms, self.incarnation)
        return own_start > (other.started_unix_ms, other.incarnation)


class OwnershipRecord(msgspec.Struct, frozen=True):
    """Which member owns each scope in an epoch.

    ``owned_since`` holds, for each scope, the epoch in which its present owner obtained it: the
    fencing token of that ownership. It doesn't rise when other scopes change hands.
    """

    epoch: Epoch
    members: tuple[Member, ...]
    owners: dict[str, EntryHostName]
    owned_since: dict[str, Epoch]

    def owner_of(self, scope: str) -> Member | None:
        """The member that owns ``scope``, if any does."""
        return self.member(self.owners.get(scope))

    def member(self, name: EntryHostName | None) -> Member | None:
        """The member called ``name``, if there is one."""
        return next((member for member in self.members if member.name == name), None)


EMPTY_RECORD = OwnershipRecord(Epoch(0), (), {}, {})
