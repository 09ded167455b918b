"""Tests requests, jobs and a planned stop on real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.testing.local_site import wait_until
from tests.end_to_end.calls import CLIENT
from tests.end_to_end.calls import send_slot_hold

if TYPE_CHECKING:
    from jujubehall.testing.local_site import LocalSite


def test_requests_and_a_job_complete_through_entry_hosts(site: LocalSite) -> None:
    for number, name in enumerate(site.entry_hosts):
        identifier = f"hold-{number}"
        wait_until(
            lambda: send_slot_hold(site, name, identifier).is_success,  # noqa: B023
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
    job = CLIENT.post(f"{site.base_url('entry-0')}/v1/jobs", json=submission).json()["id"]

    def succeeded() -> bool:
        response = CLIENT.get(f"{site.base_url('entry-1')}/v1/jobs/{job}")
        return bool(response.is_success and response.json()["state"] == "succeeded")

    wait_until(succeeded, "the job succeeds")


def test_planned_stop_exits_with_0(site: LocalSite) -> None:
    assert site.stop("entry-1") == 0
