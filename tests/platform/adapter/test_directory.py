"""Decoding of what the operators and the workers of the platform write."""

from __future__ import annotations

import base64
import json

from typing import Any

import pytest

from jujubehall.platform.adapter import wire
from jujubehall.platform.adapter.directory import StoreDirectory
from jujubehall.platform.adapter.store import _readable_items

ENTRY: dict[str, Any] = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "lagos-mainland",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "clockMs": 482_113,
    "seq": 4,
    "born": 17,
}


def decode(value: bytes) -> Any:
    directory = StoreDirectory(None)  # type: ignore[arg-type]
    (item,) = _readable_items(
        [wire.Item("servers/i-1", 3, base64.b64encode(value).decode("ascii"))]
    )
    return directory._to_worker(item)


def test_an_entry_of_a_worker() -> None:
    worker = decode(json.dumps(ENTRY).encode())
    assert worker.name == "i-1"
    assert worker.rack == "r1-3"
    assert worker.capacity.accelerators == 8
    assert worker.life == 17
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
def test_a_damaged_entry_names_no_worker(change: dict[str, Any]) -> None:
    assert decode(json.dumps(ENTRY | change).encode()) is None


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[1, 2", b"[]", b"null"])
def test_bytes_that_can_not_be_read_name_no_worker(value: bytes) -> None:
    assert decode(value) is None


def test_a_configuration() -> None:
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
