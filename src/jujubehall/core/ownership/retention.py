"""Selects the members that keep their scopes although their registration has expired."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from jujubehall.core.ownership.record import Member
    from jujubehall.core.ownership.record import OwnershipRecord


def with_expired_members(
    record: OwnershipRecord, registered: Iterable[Member], may_return: Callable[[Member], bool]
) -> list[Member]:
    """Returns the registered members and those of the record that may register again, by name.

    An outage of the platform makes all registrations expire at once. The members that are still
    running register again after the outage, each after its own back-off, and keep their scopes
    until then. A draining member, or one whose name another incarnation has taken, is not retained.
    """
    members = {member.name: member for member in registered}
    for member in record.members:
        if member.name not in members and not member.draining and may_return(member):
            members[member.name] = member
    return sorted(members.values(), key=lambda member: member.name)
