from __future__ import annotations

from jujubehall.core.ownership.record import Member
from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import ZoneName
from jujubehall.operators.ownership_view import ownership_view


def member(name: str) -> Member:
    address = "http://127.0.0.1:1"
    return Member(EntryHostName(name), Incarnation("1"), ZoneName("zone-a"), address, address)


def test_zones_are_told_from_shards_of_requests() -> None:
    first = EntryHostName("entry-0")
    second = EntryHostName("entry-1")
    owners = {"requests/00": first, "requests/01": second, "zone/b": first, "zone/a": first}
    record = OwnershipRecord(Epoch(7), (member("entry-0"), member("entry-1")), owners, {})
    view = ownership_view(record)
    assert view.epoch == 7
    assert [each.zones for each in view.entry_hosts] == [("a", "b"), ()]
    assert [each.request_shards for each in view.entry_hosts] == [1, 1]
