"""Assigns scopes to members by rendezvous hashing, so that few scopes move when members change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.core.ownership.scopes import stable_hash
from jujubehall.core.ownership.scopes import zone_scope
from jujubehall.identifiers import Epoch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.ownership.record import Member


def next_record(
    record: OwnershipRecord, members: Iterable[Member], scopes: Iterable[str]
) -> OwnershipRecord | None:
    """Makes the record of the next epoch, or returns None if ``record`` already fits.

    Members that are draining stay members but own nothing, unless all of them are draining.
    """
    ordered = tuple(sorted(members, key=lambda member: member.name))
    if not ordered:
        return None
    eligible = [member for member in ordered if not member.draining] or list(ordered)
    owners = {scope: _owner(scope, eligible).name for scope in scopes}
    if ordered == record.members and owners == record.owners:
        return None
    epoch = Epoch(record.epoch + 1)
    fresh = OwnershipRecord(epoch, ordered, owners, {})
    since = {
        scope: record.owned_since[scope] if _kept(scope, record, fresh) else epoch
        for scope in owners
    }
    return OwnershipRecord(epoch, ordered, owners, since)


def _owner(scope: str, members: list[Member]) -> Member:
    # A zone's owner talks to the zone's workers all the time: prefer a member inside it.
    local = [member for member in members if zone_scope(member.zone) == scope]
    return max(local or members, key=lambda member: stable_hash(f"{scope}@{member.name}"))


def _kept(scope: str, before: OwnershipRecord, after: OwnershipRecord) -> bool:
    old = before.owner_of(scope)
    new = after.owner_of(scope)
    return old is not None and new is not None and old.incarnation == new.incarnation
