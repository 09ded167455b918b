"""End-to-end tests of entry host processes over HTTP and ZeroMQ, with a fake of the platform."""

from __future__ import annotations

import json
import signal

from typing import TYPE_CHECKING

import httpx
import pytest

from jujubehall.console.job_history import job_history
from jujubehall.console.job_history import read_events
from jujubehall.core.ownership.capacity import HostCapacity
from tests.platform.adapter.entry_host_process import JOB
from tests.platform.adapter.entry_host_process import TIMEOUT_S
from tests.platform.adapter.entry_host_process import EntryHostProcess
from tests.platform.adapter.entry_host_process import start_fake_platform
from tests.platform.adapter.entry_host_process import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture
def hosts(tmp_path: Path) -> Iterator[list[EntryHostProcess]]:
    with start_fake_platform() as platform:
        started: list[EntryHostProcess] = []
        try:
            started += [EntryHostProcess(tmp_path, number, platform.store) for number in range(2)]
            wait_until(lambda: all(host.is_ready() for host in started))
            yield started
        finally:
            for host in started:
                host.kill()


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
