"""Tests gangs on real processes: start time, and a suspended zone owner."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

import httpx
import pytest

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.local_site import wait_until
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

URGENT_START_BOUND_S = 1.4
ZONE = "zone-a"


@pytest.fixture
def site() -> Iterator[LocalSite]:
    site_file = SiteFile(
        zones=(ZONE,),
        entry_hosts=3,
        endpoints=1,
        workers=4,
        workers_per_rack=4,
        worker_capacity=Resources(8, 60, 250),
        first_port=find_free_port_block(),
    )
    with LocalSite(site_file) as site:
        site.wait_until_ready()
        wait_until(lambda: zone_summary(site) is not None, "the zone's owner knows its workers")
        yield site


def zone_summary(site: LocalSite) -> Any:
    response = httpx.get(f"{site.site.platform_address}/v1/kv/state/zones/{ZONE}")
    value = response.json()["value"] if response.is_success else None
    return value if value and len(value["workers"]) == 4 else None


def zone_owner(site: LocalSite) -> str:
    response = httpx.get(f"{site.site.platform_address}/v1/kv/state/ownership")
    return str(response.json()["value"]["owners"][f"zone/{ZONE}"])


def submit(site: LocalSite, *, urgent: bool = False) -> str:
    job_spec = {
        "team": "studio",
        "kind": "render",
        "parts": 4,
        "accelerators_per_part": 2,
        "command": "run:600000",
        "urgent": urgent,
    }
    response = httpx.post(f"{site.base_url('entry-0')}/v1/jobs", json={"spec": job_spec})
    assert response.status_code == 201
    return str(response.json()["id"])


def tasks(site: LocalSite, job: str) -> list[tuple[int, str]]:
    """Returns the attempt and the state of each part of the job that any worker reports."""
    return [
        (task["key"]["attempt"], task["state"])
        for host in site.site.worker_hosts()
        for task in httpx.get(f"{host.address}/v1/inventory").json()["tasks"]
        if task["key"]["job"] == job
    ]


def all_parts_run(site: LocalSite, job: str) -> bool:
    return tasks(site, job) == [(1, "running")] * 4


def test_urgent_gang_starts_within_bound(site: LocalSite) -> None:
    submitted_s = time.monotonic()
    job = submit(site, urgent=True)
    wait_until(lambda: all_parts_run(site, job), "all parts run")
    assert time.monotonic() - submitted_s <= URGENT_START_BOUND_S


def test_gang_keeps_running_when_its_zone_owner_is_suspended(site: LocalSite) -> None:
    job = submit(site)
    wait_until(lambda: all_parts_run(site, job), "all parts run")
    former_owner = zone_owner(site)
    site.suspend(former_owner)
    wait_until(lambda: zone_owner(site) != former_owner, "another entry host owns the zone")
    site.resume(former_owner)
    # This is longer than a lease, so the parts still run only if the next owner renews it.
    deadline_s = time.monotonic() + 14
    wait_until(
        lambda: time.monotonic() > deadline_s or not all_parts_run(site, job),
        "more than a lease duration passes",
    )
    assert all_parts_run(site, job)
