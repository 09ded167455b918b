"""The ownership record, a value in the platform's service that is changed by compare-and-swap."""

from __future__ import annotations

import msgspec

from jujubehall.core.ownership.capacity import HostCapacity
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import ZoneName

MEMBERS_PREFIX = "state/members/"
OWNERSHIP_KEY = "state/ownership"


class Member(msgspec.Struct, frozen=True):
    """An entry host, as registered under ``MEMBERS_PREFIX`` with a platform lease."""

    name: EntryHostName
    incarnation: Incarnation
    zone: ZoneName
    http_address: str
    mesh_address: str
    draining: bool = False
    started_unix_ms: int = 0
    """Start time by the host's wall clock; orders the incarnations of the same name."""

    capacity: HostCapacity = HostCapacity()

    def is_later_than(self, other: Member) -> bool:
        """Returns whether this incarnation started after ``other``, which has the same name."""
        own_start = (self.started_unix_ms, self.incarnation)
        return own_start > (other.started_unix_ms, other.incarnation)


class OwnershipRecord(msgspec.Struct, frozen=True):
    """The owner of each scope in an epoch.

    ``owned_since`` maps each scope to the epoch in which its current owner acquired it. This epoch
    is the fencing token of the ownership. It doesn't change when other scopes change owners.
    """

    epoch: Epoch
    members: tuple[Member, ...]
    owners: dict[str, EntryHostName]
    owned_since: dict[str, Epoch]

    def owner_of(self, scope: str) -> Member | None:
        """Returns the member that owns ``scope``, or None."""
        return self.member(self.owners.get(scope))

    def member(self, name: EntryHostName | None) -> Member | None:
        """Returns the member named ``name``, or None."""
        return next((member for member in self.members if member.name == name), None)


EMPTY_RECORD = OwnershipRecord(Epoch(0), (), {}, {})
