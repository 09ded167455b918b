"""Values of ``/metrics`` after one request, one job and one configuration change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.testing.local_site import wait_until
from tests.end_to_end.calls import CLIENT
from tests.end_to_end.calls import retry_slot_hold_until_completed

if TYPE_CHECKING:
    from jujubehall.testing.local_site import LocalSite

JOB = {"team": "studio", "kind": "render", "parts": 1, "accelerators_per_part": 1}
CHANGE = {"expected_number": 0, "author": "amaka", "reason": "a test", "token": "token-1"}


def read_metrics(site: LocalSite) -> dict[str, float]:
    text = CLIENT.get(f"{site.base_url('entry-0')}/metrics").text
    lines = [line for line in text.splitlines() if line and not line.startswith("#")]
    return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}


def test_metrics_count_request_job_and_configuration_change(site: LocalSite) -> None:
    address = site.base_url("entry-0")
    # Attempts made before the endpoints are known are counted as claims too.
    retry_slot_hold_until_completed(site, "entry-0", "before")
    before = read_metrics(site)
    retry_slot_hold_until_completed(site, "entry-0", "counted")
    CLIENT.post(f"{address}/v1/jobs", json={"id": "counted", "spec": {**JOB, "command": "run:1"}})
    change = {**CHANGE, "key": "endpoint_slots", "value": 7}
    CLIENT.post(f"{address}/v1/configuration/defaults", json=change)
    wait_until(
        lambda: read_metrics(site).get('jujubehall_jobs{state="succeeded"}') == 1, "the job ends"
    )
    after = read_metrics(site)
    for counter in (
        'jujubehall_requests_total{kind="slot-hold",outcome="completed"}',
        'jujubehall_endpoint_attempts_total{result="ok"}',
        'jujubehall_claims_total{result="ok"}',
    ):
        assert after[counter] - before[counter] == 1, counter
    assert after['jujubehall_worker_commands_total{result="ok",step="start"}'] == 1
    assert after['jujubehall_platform_calls_total{kind="watch"}'] >= 1
    assert after['jujubehall_configuration_changes_total{result="ok"}'] == 1
    assert after["jujubehall_configuration_number"] == 1
    assert after["jujubehall_ownership_epoch"] >= 1
    assert after['jujubehall_owned_scopes{kind="zone"}'] == 1
    assert after['jujubehall_owned_scopes{kind="requests"}'] == 64
    assert after["jujubehall_members"] == 1
    assert after["jujubehall_ready"] == 1
    assert after["jujubehall_platform_connected"] == 1
