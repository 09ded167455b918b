"""View of the ownership record, grouped by entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.ownership.scopes import zone_scope
from jujubehall.identifiers import ZoneName
from jujubehall.operators.messages import EntryHostView
from jujubehall.operators.messages import OwnershipView

if TYPE_CHECKING:
    from jujubehall.core.ownership.record import Member
    from jujubehall.core.ownership.record import OwnershipRecord

_ZONE_PREFIX = zone_scope(ZoneName(""))


def ownership_view(record: OwnershipRecord) -> OwnershipView:
    """Groups the owned scopes of ``record`` by entry host."""
    return OwnershipView(
        record.epoch, tuple(_entry_host_view(record, member) for member in record.members)
    )


def _entry_host_view(record: OwnershipRecord, member: Member) -> EntryHostView:
    owned = [scope for scope, owner in record.owners.items() if owner == member.name]
    zones = sorted(s.removeprefix(_ZONE_PREFIX) for s in owned if s.startswith(_ZONE_PREFIX))
    return EntryHostView(member, tuple(zones), len(owned) - len(zones))
