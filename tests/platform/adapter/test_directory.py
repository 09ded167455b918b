"""Decoding of the operators' configuration and of worker entries."""

from __future__ import annotations

import base64
import json

from typing import TYPE_CHECKING
from typing import Any

import pytest

from result import Ok
from twisted.internet.defer import Deferred

from jujubehall.core.fleet.jobs import JobProgress
from jujubehall.identifiers import ZoneName
from jujubehall.platform.adapter import wire
from jujubehall.platform.adapter.directory import StoreDirectory
from jujubehall.platform.adapter.store import _decode_items
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredItem
from jujubehall.platform.site_store import StoredItems
from jujubehall.platform.site_store import ZoneChange
from jujubehall.platform.site_store import ZoneChanges
from jujubehall.services.fleet.records import decode_record

if TYPE_CHECKING:
    from result import Result

    from jujubehall.errors import Failure

WORKER_ENTRY: dict[str, Any] = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "lagos-mainland",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 4_500,
    "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "clockMs": 482_113,
    "seq": 4,
    "born": 17,
}


def decode_worker(value: bytes) -> Any:
    directory = StoreDirectory(None)  # type: ignore[arg-type]
    (item,) = _decode_items([wire.Item("servers/i-1", 3, base64.b64encode(value).decode("ascii"))])
    return directory._to_worker(item)


NESTED = b"[" * 200_000 + b"]" * 200_000


def test_deeply_nested_worker_entry_does_not_hide_the_others() -> None:
    """Another writer's entry must not keep the site from listing its workers."""
    valid = json.dumps(WORKER_ENTRY).encode()
    nested = valid[:-1] + b', "note": ' + NESTED + b"}"
    directory = StoreDirectory(None)  # type: ignore[arg-type]
    items = [
        wire.Item(f"servers/i-{number}", 3, base64.b64encode(value).decode("ascii"))
        for number, value in enumerate((nested, valid))
    ]
    workers = [directory._to_worker(item) for item in _decode_items(items)]
    assert [each and each.name for each in workers] == [None, "i-1"]


def test_deeply_nested_record_is_ignored() -> None:
    content = b'{"state": "queued", "note": ' + NESTED + b"}"
    assert decode_record("key", content, JobProgress) is None


def test_worker_entry_is_decoded() -> None:
    worker = decode_worker(json.dumps(WORKER_ENTRY).encode())
    assert worker.name == "i-1"
    assert worker.rack == "r1-3"
    assert worker.capacity.accelerators == 8
    assert worker.incarnation == 17
    assert worker.cold_remaining_ms == 4_500
    assert not worker.is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"state": 7},
        {"capacity": None},
        {"address": 4},
        {"labels": "a"},
        {"born": "yesterday"},
    ],
)
def test_worker_entry_with_invalid_field_is_ignored(change: dict[str, Any]) -> None:
    assert decode_worker(json.dumps(WORKER_ENTRY | change).encode()) is None


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[1, 2", b"[]", b"null"])
def test_undecodable_worker_entry_is_ignored(value: bytes) -> None:
    assert decode_worker(value) is None


def test_configuration_is_decoded() -> None:
    directory = StoreDirectory(None)  # type: ignore[arg-type]
    content = json.dumps(
        {
            "version": 7,
            "routes": [
                {
                    "name": "r-1",
                    "host": "nony24.example",
                    "prefix": "/pule/",
                    "service": "desk",
                    "routeType": "unsafe",
                    "sloMs": 250,
                    "priority": 0,
                    "maxAttempts": 3,
                    "stretch": 1.5,
                },
                {"name": "r-2", "host": "nony24.example", "prefix": "/pule/x/", "service": "desk"},
            ],
            "services": [{"name": "desk", "enforcesCapacity": False, "spare": False}],
            "tenants": [{"name": "kaje", "apiKeys": ["k1"], "guaranteed": {"gpu": 32}}],
        }
    ).encode()
    configuration = directory.decode_configuration(content).unwrap()
    queue = configuration.find_queue("nony24.example", "/pule/x/0123456789abcdef")
    assert queue is not None
    assert queue.name == "r-2"
    team = configuration.find_team("k1")
    assert team is not None
    assert team.guaranteed_accelerators == 32
    assert configuration.find_queue("other.example", "/pule/") is None


class StoreWithChanges:
    """Returns the same items for each list and watch, and records what was asked for."""

    def __init__(self, items: list[StoredItem]) -> None:
        self._stored = StoredItems(items, Revision(9))
        self.prefixes: list[str] = []

    async def list_items(self, prefix: str) -> Result[StoredItems, Failure]:
        self.prefixes.append(prefix)
        return Ok(self._stored)

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Result[StoredItems, Failure]:
        self.prefixes.append(prefix)
        return Ok(self._stored)


def test_evacuated_zones_are_decoded_whatever_the_operators_write() -> None:
    store = StoreWithChanges(
        [
            StoredItem("op/evacuate/lagos-island", b"", Revision(7)),
            StoredItem("op/evacuate/port-harcourt", b"\xff", Revision(8)),
            StoredItem("op/evacuate/lagos-island", b"", Revision(9), is_deleted=True),
        ]
    )
    directory = StoreDirectory(store)  # type: ignore[arg-type]
    expected = ZoneChanges(
        [
            ZoneChange(ZoneName("lagos-island"), is_evacuated=True),
            ZoneChange(ZoneName("port-harcourt"), is_evacuated=True),
            ZoneChange(ZoneName("lagos-island"), is_evacuated=False),
        ],
        Revision(9),
    )
    for call in (
        directory.list_evacuated_zones(),
        directory.wait_for_zone_changes(Revision(1), 2_000),
    ):
        results: list[Any] = []
        Deferred.fromCoroutine(call).addCallback(results.append)
        assert results == [Ok(expected)]
    assert set(store.prefixes) == {"op/evacuate/"}
