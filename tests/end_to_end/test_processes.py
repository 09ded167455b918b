"""The whole path through real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest

from jujubehall.testing.local_site import LocalSite
from jujubehall.testing.local_site import free_first_port
from jujubehall.testing.local_site import wait_until
from jujubehall.testing.site_file import SiteFile
from jujubehall.workers.messages import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def site() -> Iterator[LocalSite]:
    site_file = SiteFile(
        zones=("zone-a", "zone-b"),
        entry_hosts=3,
        endpoints=3,
        workers=4,
        workers_per_rack=2,
        worker_capacity=Resources(8, 60, 250),
        first_port=free_first_port(),
    )
    with LocalSite(site_file) as site:
        site.wait_until_ready()
        yield site


def slot_hold(site: LocalSite, entry_host: str, identifier: str) -> httpx.Response:
    body = {"id": identifier, "team": "studio", "kind": "slot-hold", "deadline_ms": 5_000}
    return httpx.post(f"{site.address(entry_host)}/v1/requests", json=body)


def test_requests_and_jobs_through_every_entry_host(site: LocalSite) -> None:
    for number, name in enumerate(site.entry_hosts):
        identifier = f"hold-{number}"
        wait_until(
            lambda: slot_hold(site, name, identifier).is_success,  # noqa: B023
            "the slot hold completes",
        )
    submission = {
        "spec": {
            "team": "studio",
            "kind": "render",
            "parts": 4,
            "accelerators_per_part": 4,
            "command": "run:100",
        }
    }
    job = httpx.post(f"{site.address('entry-0')}/v1/jobs", json=submission).json()["id"]

    def succeeded() -> bool:
        answer = httpx.get(f"{site.address('entry-1')}/v1/jobs/{job}")
        return bool(answer.is_success and answer.json()["state"] == "succeeded")

    wait_until(succeeded, "the job succeeds")


def test_a_planned_stop_exits_cleanly(site: LocalSite) -> None:
    assert site.stop("entry-1") == 0
