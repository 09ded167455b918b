"""Tests requests on real processes: planned stop, tickets and a platform outage."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import httpx
import pytest

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import find_free_port_block
from jujubehall.testing.local_site import wait_until
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

RUN_MS = 1_500


@pytest.fixture
def site() -> Iterator[LocalSite]:
    site_file = SiteFile(
        zones=("zone-a", "zone-b"),
        entry_hosts=3,
        endpoints=3,
        workers=1,
        workers_per_rack=1,
        worker_capacity=Resources(8, 60, 250),
        first_port=find_free_port_block(),
    )
    with LocalSite(site_file) as site:
        site.wait_until_ready()
        for name in site.entry_hosts:
            wait_until(
                lambda: send_slot_hold(site, name, "first").is_success,  # noqa: B023
                f"{name} serves",
            )
        yield site


def send_slot_hold(site: LocalSite, entry_host: str, identifier: str) -> httpx.Response:
    body = {"id": identifier, "team": "studio", "kind": "slot-hold", "deadline_ms": 8_000}
    return httpx.post(f"{site.base_url(entry_host)}/v1/requests", json=body, timeout=20)


def run_count(site: LocalSite, identifier: str) -> int:
    counts = [
        httpx.get(f"{host.address}/test/runs").json()["runs"].get(identifier, 0)
        for host in site.site.endpoint_hosts()
    ]
    return sum(counts)


def test_planned_stop_completes_requests_in_progress(site: LocalSite) -> None:
    for host in site.site.endpoint_hosts():
        httpx.put(f"{host.address}/test/behaviour", json={"run_ms": RUN_MS})
    identifiers = [f"hold-{number}" for number in range(6)]
    with ThreadPoolExecutor(len(identifiers)) as pool:
        pending_responses = [
            pool.submit(send_slot_hold, site, "entry-1", each) for each in identifiers
        ]
        wait_until(lambda: all(run_count(site, each) for each in identifiers), "all requests run")
        assert site.stop("entry-1") == 0
        responses = [each.result() for each in pending_responses]
    assert [response.status_code for response in responses] == [200] * len(identifiers)
    assert all(run_count(site, each) == 1 for each in identifiers)


def test_slot_holds_are_served_while_the_platform_is_down(site: LocalSite) -> None:
    site.kill("platform")
    wait_until(
        lambda: send_slot_hold(site, "entry-0", "hold-1").is_success, "served without the platform"
    )
    tickets = httpx.post(f"{site.base_url('entry-1')}/v1/tickets", json={"count": 2}).json()
    identifiers = ["hold-1", *tickets]
    for name in site.entry_hosts:
        for identifier in identifiers:
            assert send_slot_hold(site, name, identifier).is_success
    assert [run_count(site, identifier) for identifier in identifiers] == [1, 1, 1]
