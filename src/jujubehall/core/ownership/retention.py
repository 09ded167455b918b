"""Which members keep their scopes although their registration has lapsed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from jujubehall.core.ownership.record import Member
    from jujubehall.core.ownership.record import OwnershipRecord


def with_retained(
    record: OwnershipRecord, registered: Iterable[Member], may_return: Callable[[Member], bool]
) -> list[Member]:
    """The registered members, and those of the record that may register again.

    In an outage of the platform all registrations lapse at once. Members that live on come back
    at its end, each after its own back-off; until then they keep what they own. A member that
    announced its leaving, or whose name another incarnation took, doesn't come back.
    """
    members = {member.name: member for member in registered}
    for member in record.members:
        if member.name not in members and not member.draining and may_return(member):
            members[member.name] = member
    return sorted(members.values(), key=lambda member: member.name)
