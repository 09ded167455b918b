"""Odd entries in the lists that others write stop nothing: the other entries hold."""

from __future__ import annotations

import base64
import json

from typing import TYPE_CHECKING
from typing import Any

import httpx
import pytest

from result import Err
from twisted.web.test.requesthelper import DummyRequest

from jujubehall.http.client import ClientResponse
from jujubehall.identifiers import WorkerName
from jujubehall.platform.adapter.directory import StoreDirectory
from jujubehall.platform.adapter.job_api import MAX_DEADLINE_MS
from jujubehall.platform.adapter.job_api import decode_submission
from jujubehall.platform.adapter.job_api import to_call
from jujubehall.platform.adapter.waves import _to_waves
from jujubehall.platform.adapter.workers import decode_report
from jujubehall.platform.site_store import Revision
from jujubehall.platform.site_store import StoredItem
from jujubehall.platform.site_store import StoredItems
from tests.platform.adapter.test_site_processes import JOB
from tests.platform.adapter.test_site_processes import hosts
from tests.platform.adapter.test_site_processes import job_state
from tests.platform.adapter.test_site_processes import wait_until

if TYPE_CHECKING:
    from tests.platform.adapter.test_site_processes import EntryHostProcess

__all__ = ["hosts"]

LARGE = int("9" * 400)
ENTRY: dict[str, Any] = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 64_000, "memMb": 262_144, "gpu": 8},
    "labels": ["a", "r0"],
    "born": 1,
    "seq": 1,
}
DEEPLY_NESTED = b"[" * 100_000 + b"]" * 100_000
ODD_ENTRIES: dict[str, bytes] = {
    "port-too-large": json.dumps(ENTRY | {"address": "127.0.0.1:99999999"}).encode(),
    "port-of-400-digits": json.dumps(ENTRY | {"address": f"127.0.0.1:{LARGE}"}).encode(),
    "port-zero": json.dumps(ENTRY | {"address": "127.0.0.1:0"}).encode(),
    "port-negative": json.dumps(ENTRY | {"address": "127.0.0.1:-1"}).encode(),
    "no-port": json.dumps(ENTRY | {"address": "127.0.0.1"}).encode(),
    "host-name": json.dumps(ENTRY | {"address": "worker.example:80"}).encode(),
    "with-path": json.dumps(ENTRY | {"address": "127.0.0.1:80/x?"}).encode(),
    "with-control-characters": json.dumps(ENTRY | {"address": "127.0.0.1:80\r\nX: y"}).encode(),
    "cpu-of-400-digits": json.dumps(ENTRY | {"capacity": {"cpu": LARGE, "gpu": 8}}).encode(),
    "gpu-of-400-digits": json.dumps(ENTRY | {"capacity": {"cpu": 1, "gpu": LARGE}}).encode(),
    "memory-of-400-digits": json.dumps(ENTRY | {"capacity": {"memMb": LARGE}}).encode(),
    "cpu-negative": json.dumps(ENTRY | {"capacity": {"cpu": -1, "gpu": 8}}).encode(),
    "born-of-400-digits": json.dumps(ENTRY | {"born": LARGE}).encode(),
    "born-negative": json.dumps(ENTRY | {"born": -1}).encode(),
    "remaining-of-400-digits": json.dumps(
        ENTRY | {"state": "draining", "remainingMs": LARGE}
    ).encode(),
    "cold-of-300-digits": json.dumps(ENTRY | {"coldRemainingMs": 1e300}).encode(),
    "deeply-nested": b'{"more":' + DEEPLY_NESTED + b"," + json.dumps(ENTRY).encode()[1:],
}


TASK: dict[str, Any] = {"count": 1, "cpu": 1_000, "memMb": 1_000, "gpu": 1, "estRuntimeMs": 300}
ODD_JOBS: list[dict[str, Any]] = [
    *(
        {"spec": "x", "steps": [TASK | {field: LARGE}]}
        for field in ("cpu", "memMb", "gpu", "estRuntimeMs", "maxPerServer", "targetMs", "mayMiss")
    ),
    *(
        {"spec": "x", "steps": [TASK], "repeatCount": 2, field: LARGE}
        for field in ("repeatCount", "firstRunMs", "intervalMs")
    ),
    {"spec": "x", "steps": [TASK | {"gpu": -1}]},
]


def decode_worker(key: str, value: bytes) -> Any:
    directory = StoreDirectory(None)  # type: ignore[arg-type]
    return directory._to_worker(StoredItem(key, value, Revision(1)))


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_worker_entry_names_no_worker(name: str) -> None:
    assert decode_worker(f"servers/{name}", json.dumps(ENTRY).encode()) is not None
    assert decode_worker(f"servers/{name}", ODD_ENTRIES[name]) is None


@pytest.mark.parametrize("name", ["", "i-1\r\nFencing-Token: 9", "i 1", "i-\u00e9"])
def test_worker_entry_with_an_odd_name_names_no_worker(name: str) -> None:
    assert decode_worker(f"servers/{name}", json.dumps(ENTRY).encode()) is None


@pytest.mark.parametrize("address", ["10.0.0.1:1", "255.255.255.255:65535", "127.0.0.1:08080"])
def test_worker_entry_with_an_address_at_the_limits_is_decoded(address: str) -> None:
    assert decode_worker("servers/i-1", json.dumps(ENTRY | {"address": address}).encode())


@pytest.mark.parametrize("body", ODD_JOBS)
def test_job_with_numbers_that_are_too_large_or_negative_is_refused(body: Any) -> None:
    assert isinstance(decode_submission(json.dumps(body).encode()), Err)


def test_wave_that_lasts_too_long_to_calculate_with_does_not_hide_the_others() -> None:
    wave = {"wave": 1, "machines": ["m-1"], "durationS": 20, "maximum": 1}
    odd: list[dict[str, Any]] = [
        {"durationS": 1e308},
        {"durationS": -1e308},
        {"wave": LARGE},
        {"maximum": LARGE},
    ]
    items = [
        StoredItem(f"op/wave/{number}", json.dumps(wave | change).encode(), Revision(number + 1))
        for number, change in enumerate([*odd, {}])
    ]
    assert [each.number for each in _to_waves(StoredItems(items, Revision(9))).waves] == [1]


@pytest.mark.parametrize(
    "change",
    [
        {"running": [["a.0.0.0", LARGE, "", 1]]},
        {"running": [["a.0.0.0", 1, "", LARGE]]},
        {"running": [["a.0.0.0", 1, "", 1, 1e308]]},
        {"running": [[f"a.{LARGE}.0.0", 1, "", 1]]},
        {"running": [["a.-1.0.0", 1, "", 1]]},
        {"running": [["a.0.0", 1, "", 1]]},
        {"finished": [[LARGE, "a.0.0.0", 1, "done", ""]]},
        {"born": LARGE},
        {"clockMs": LARGE},
    ],
)
def test_worker_report_with_odd_numbers_is_a_failure(change: dict[str, Any]) -> None:
    content = json.dumps({"clockMs": 1, "born": 1, "running": [], "finished": []} | change)
    report = decode_report(WorkerName("i-1"), ClientResponse(200, content.encode()))
    assert isinstance(report, Err)


def test_very_long_deadline_of_a_caller_is_limited() -> None:
    request: Any = DummyRequest([b""])
    request.path = b"/hold/"
    request.requestHeaders.addRawHeader(b"Deadline-Ms", b"9" * 5_000)
    assert to_call(request).timeout_ms == MAX_DEADLINE_MS


def write(store: str, key: str, value: bytes) -> None:
    row = {"key": key, "value": base64.b64encode(value).decode()}
    body = {"precondition": [], "writes": [row], "deletes": []}
    httpx.post(f"http://{store}/kv-txn", json=body).raise_for_status()


def test_odd_entries_and_jobs_stop_neither_the_owner_nor_its_successor(
    hosts: list[EntryHostProcess],
) -> None:
    owner, other = hosts if "elected owner" in hosts[0].log else hosts[::-1]
    for name, value in ODD_ENTRIES.items():
        write(owner.store, f"servers/i-odd-{name}", value)
    wait_until(lambda: all(f"i-odd-{name}" in owner.log for name in ODD_ENTRIES))
    for number, body in enumerate(ODD_JOBS):
        content = json.dumps(body)
        assert other.call("POST", f"/hold/{number:016x}", content=content).status_code == 400
    first_job, second_job = "00000000000000e1", "00000000000000e2"
    assert other.call("POST", f"/hold/{first_job}", json=JOB).status_code == 200
    wait_until(lambda: job_state(other, first_job) == "succeeded")
    # A new owner reads the same list at its start.
    owner.process.kill()
    assert other.call("POST", f"/hold/{second_job}", json=JOB).status_code == 200
    wait_until(lambda: job_state(other, second_job) == "succeeded")
    assert other.process.poll() is None
    events = [json.loads(line) for host in hosts for line in host.log.splitlines()]
    assert not [each for each in events if each["event"] == "loop iteration failed"]
    assert not [
        each
        for each in events
        if each["event"] == "worker listed" and each["worker"].startswith("i-odd-")
    ]
