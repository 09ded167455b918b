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


def test_view_separates_zones_from_request_shards() -> None:
    first = EntryHostName("entry-0")
    second = EntryHostName("entry-1")
    owners = {"requests/00": first, "requests/01": second, "zone/b": first, "zone/a": first}
    record = OwnershipRecord(Epoch(7), (member("entry-0"), member("entry-1")), owners, {})
    view = ownership_view(record)
    assert view.epoch == 7
    assert [entry_host.zones for entry_host in view.entry_hosts] == [("a", "b"), ()]
    assert [entry_host.request_shards for entry_host in view.entry_hosts] == [1, 1]
