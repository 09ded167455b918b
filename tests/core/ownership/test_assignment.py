"""Tests of the assignment of scopes and the retention of members with an expired registration."""

from __future__ import annotations

import msgspec
import pytest

from jujubehall.core.ownership.assignment import next_record
from jujubehall.core.ownership.record import EMPTY_RECORD
from jujubehall.core.ownership.record import Member
from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.core.ownership.retention import with_expired_members
from jujubehall.core.ownership.scopes import all_scopes
from jujubehall.core.ownership.scopes import zone_scope
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import ZoneName

ZONES = [ZoneName("zone-a"), ZoneName("zone-b")]
SCOPES = all_scopes(ZONES)


def make_member(number: int, incarnation: str = "1") -> Member:
    name = EntryHostName(f"entry-{number}")
    return Member(name, Incarnation(f"{number}-{incarnation}"), ZONES[number % 2], "", "")


def make_record(*members: Member) -> OwnershipRecord:
    record = next_record(EMPTY_RECORD, members, SCOPES)
    assert record is not None
    return record


@pytest.mark.parametrize("member_count", [2, 4, 8])
def test_only_the_scopes_of_a_lost_member_move(member_count: int) -> None:
    members = [make_member(number) for number in range(member_count)]
    before = make_record(*members)
    after = next_record(before, members[1:], SCOPES)
    assert after is not None
    assert after.epoch == before.epoch + 1
    for scope in SCOPES:
        if before.owners[scope] == members[0].name:
            assert after.owned_since[scope] == after.epoch
        elif scope not in map(zone_scope, ZONES):
            assert after.owners[scope] == before.owners[scope]
            assert after.owned_since[scope] == before.owned_since[scope]


def test_up_to_date_record_is_not_replaced() -> None:
    members = [make_member(number) for number in range(3)]
    assert next_record(make_record(*members), members, SCOPES) is None


def test_new_incarnation_gets_new_fencing_tokens() -> None:
    before = make_record(make_member(0), make_member(1))
    after = next_record(before, [make_member(0, "2"), make_member(1)], SCOPES)
    assert after is not None
    moved = {scope for scope in SCOPES if after.owned_since[scope] == after.epoch}
    assert moved == {scope for scope in SCOPES if after.owners[scope] == "entry-0"}


def test_only_expired_members_that_may_return_are_retained() -> None:
    draining = msgspec.structs.replace(make_member(2), draining=True)
    record = make_record(make_member(0), make_member(1), draining, make_member(3))
    retained = with_expired_members(
        record, [make_member(0, "2")], lambda each: each.name != "entry-3"
    )
    assert retained == [make_member(0, "2"), make_member(1)]
