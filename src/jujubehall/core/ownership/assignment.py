"""Assigns scopes to members by rendezvous hashing, which moves few scopes when members change."""

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
    """Returns the record of the next epoch, or None if ``record`` is still up to date.

    Also returns None if there are no members. Draining members stay in the record but are assigned
    no scopes, unless all members are draining.
    """
    sorted_members = tuple(sorted(members, key=lambda member: member.name))
    if not sorted_members:
        return None
    candidates = [member for member in sorted_members if not member.draining] or list(
        sorted_members
    )
    owners = {scope: _select_owner(scope, candidates).name for scope in scopes}
    if sorted_members == record.members and owners == record.owners:
        return None
    epoch = Epoch(record.epoch + 1)
    draft = OwnershipRecord(epoch, sorted_members, owners, {})
    owned_since = {
        scope: record.owned_since[scope] if _has_same_owner(scope, record, draft) else epoch
        for scope in owners
    }
    return OwnershipRecord(epoch, sorted_members, owners, owned_since)


def _select_owner(scope: str, members: list[Member]) -> Member:
    # Prefers a member inside the zone: a zone's owner communicates with its workers constantly.
    local = [member for member in members if zone_scope(member.zone) == scope]
    return max(local or members, key=lambda member: stable_hash(f"{scope}@{member.name}"))


def _has_same_owner(scope: str, before: OwnershipRecord, after: OwnershipRecord) -> bool:
    old_owner = before.owner_of(scope)
    new_owner = after.owner_of(scope)
    return (
        old_owner is not None
        and new_owner is not None
        and old_owner.incarnation == new_owner.incarnation
    )
