"""End-to-end tests of entry host processes over HTTP and ZeroMQ, with a fake of the platform."""

from __future__ import annotations

import base64
import json
import os
import signal
import subprocess
import sys
import time

from typing import TYPE_CHECKING
from typing import Any

import httpx
import msgspec
import pytest

from jujubehall.console.job_history import job_history
from jujubehall.console.job_history import read_events
from jujubehall.core.ownership.capacity import HostCapacity
from jujubehall.core.ownership.record import Member
from jujubehall.identifiers import EntryHostName
from jujubehall.services.fleet.records import host_key

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

PORT = 18_521
READINESS_PORT = 18_523
MESH_PORT = 18_530
HEADERS = {"Host": "desk.example", "Authorization": "Token k1", "Deadline-Ms": "3000"}
JOB = {"spec": "x", "steps": [{"count": 3, "cpu": 1000, "memMb": 1000, "gpu": 1}]}
TIMEOUT_S = 20.0


class EntryHostProcess:
    """An entry host daemon that listens on its own loopback address."""

    def __init__(self, directory: Path, number: int, store: str) -> None:
        # Parallel test workers need separate addresses, because the metrics port is fixed.
        xdist_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
        self.ip = f"127.1.{xdist_worker}.{20 + number}"
        self.name = EntryHostName(f"front-{number}")
        self.store = store
        self._log = (directory / f"{number}.log").open("w+")
        settings = directory / f"{number}.toml"
        settings.write_text(f"""nodeName = "{self.name}"
ip = "{self.ip}"
zone = "a"
portRange = [{MESH_PORT}, {MESH_PORT + 10}]
somethingNew = 1
[listen]
front = "{self.ip}:{PORT}"
readiness = "{self.ip}:{READINESS_PORT}"
[platform]
address = "{store}"
[bounds]
maxHoldMs = 6000
revokeMs = 5000
strictRevoke = true
graceS = 6
status_s = 120
[limits]
cpuShare = 0.5
cores = 3.0
linkMbps = 200.0
""")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "jujubehall.daemon.site_main"],
            env={"JUJUBEHALL_BOOT": str(settings), "PATH": ""},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    @property
    def log(self) -> str:
        self._log.flush()
        self._log.seek(0)
        return self._log.read()

    def call(self, method: str, path: str, **options: Any) -> httpx.Response:
        headers = HEADERS | options.pop("headers", {})
        return httpx.request(
            method, f"http://{self.ip}:{PORT}{path}", headers=headers, timeout=5.0, **options
        )

    def is_ready(self) -> bool:
        try:
            return httpx.get(f"http://{self.ip}:{READINESS_PORT}/ready").status_code == 200
        except httpx.TransportError:
            return False

    def registration(self) -> Member:
        item = httpx.get(f"http://{self.store}/kv-key", params={"key": host_key(self.name)}).json()
        return msgspec.json.decode(base64.b64decode(item["value"]), type=Member)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


def wait_until(condition: Any) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "condition not met before the timeout"
        time.sleep(0.02)


@pytest.fixture
def hosts(tmp_path: Path) -> Iterator[list[EntryHostProcess]]:
    fake_platform = subprocess.Popen(
        [sys.executable, "-m", "tests.platform.adapter.stand_in"],
        stdout=subprocess.PIPE,
        text=True,
    )
    started: list[EntryHostProcess] = []
    try:
        assert fake_platform.stdout is not None
        store = fake_platform.stdout.readline().strip()
        started += [EntryHostProcess(tmp_path, number, store) for number in range(2)]
        wait_until(lambda: all(host.is_ready() for host in started))
        yield started
    finally:
        for host in started:
            host.kill()
        fake_platform.kill()
        fake_platform.wait()


def job_state(host: EntryHostProcess, job: str) -> str | None:
    response = host.call("GET", f"/hold/{job}")
    return str(response.json()["state"]) if response.status_code == 200 else None


def test_jobs_are_served_by_real_processes(hosts: list[EntryHostProcess]) -> None:
    first, second = hosts
    job = "00000000000000c1"
    assert first.call("POST", f"/hold/{job}", json=JOB).status_code == 200
    wait_until(lambda: job_state(second, job) == "succeeded")
    assert second.call("GET", "/hold/").json() == {"pending": 0}
    assert first.call("GET", "/hold/00000000000000ff").status_code == 410
    assert first.call("GET", "/nowhere/00000000000000ff").status_code == 404
    unauthorized = first.call("GET", f"/hold/{job}", headers={"Authorization": "Token no"})
    assert unauthorized.status_code == 401
    for body in (b"{", b"[]", b'{"spec":1}', b'{"spec":"x","steps":[{"count":-1}]}', b"\xff"):
        malformed = first.call("POST", "/hold/00000000000000c2", content=body)
        assert malformed.status_code == 400
        assert malformed.json()["error"]
    metrics = httpx.get(f"http://{first.ip}:9464/metrics").text
    assert 'jujubehall_submissions_total{outcome="accepted"} 1' in metrics

    owner, other = (first, second) if "elected owner" in first.log else (second, first)
    second_job = "00000000000000c3"
    other.call("POST", f"/hold/{second_job}", json=JOB)
    owner.process.send_signal(signal.SIGTERM)
    wait_until(lambda: job_state(other, second_job) == "succeeded")
    assert owner.process.wait(TIMEOUT_S) == 0

    events = read_events((first.log + second.log).splitlines())
    history = [line.text for line in job_history(events, job)]
    assert any(text.startswith("submitted to queue r-1") for text in history)
    assert any(text.startswith("group 0.0.0 starts as run 1") for text in history)
    assert any(text.startswith("state succeeded") for text in history)
    assert all(json.loads(line)["event"] for line in other.log.splitlines())


def test_another_process_takes_over_from_a_killed_owner(hosts: list[EntryHostProcess]) -> None:
    owner, other = hosts if "elected owner" in hosts[0].log else hosts[::-1]
    owner.process.kill()
    job = "00000000000000d1"
    assert other.call("POST", f"/hold/{job}", json=JOB).status_code == 200
    wait_until(lambda: job_state(other, job) == "succeeded")


def test_entry_hosts_register_the_capacity_of_their_settings(hosts: list[EntryHostProcess]) -> None:
    capacities = [host.registration().capacity for host in hosts]
    assert capacities == [HostCapacity(millicores=1_500, link_mbps=200)] * len(hosts)
