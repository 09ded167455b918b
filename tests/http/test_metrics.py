"""What /metrics counts after a request, a job and a change of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.testing.local_site import wait_until
from tests.end_to_end.calls import CLIENT
from tests.end_to_end.calls import hold_until_completed

if TYPE_CHECKING:
    from jujubehall.testing.local_site import LocalSite

JOB = {"team": "studio", "kind": "render", "parts": 1, "accelerators_per_part": 1}
CHANGE = {"expected_number": 0, "author": "amaka", "reason": "a test", "token": "token-1"}


def read_metrics(site: LocalSite) -> dict[str, float]:
    text = CLIENT.get(f"{site.address('entry-0')}/metrics").text
    lines = [line for line in text.splitlines() if line and not line.startswith("#")]
    return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}


def test_the_work_done_is_counted(site: LocalSite) -> None:
    address = site.address("entry-0")
    # Tries made before the endpoints are known are claimed too.
    hold_until_completed(site, "entry-0", "before")
    before = read_metrics(site)
    hold_until_completed(site, "entry-0", "counted")
    CLIENT.post(f"{address}/v1/jobs", json={"id": "counted", "spec": {**JOB, "command": "run:1"}})
    change = {**CHANGE, "key": "endpoint_slots", "value": 7}
    CLIENT.post(f"{address}/v1/configuration/defaults", json=change)
    wait_until(
        lambda: read_metrics(site).get('jujubehall_jobs{state="succeeded"}') == 1, "the job ends"
    )
    found = read_metrics(site)
    for once in (
        'jujubehall_requests_total{kind="slot-hold",outcome="completed"}',
        'jujubehall_endpoint_attempts_total{result="ok"}',
        'jujubehall_claims_total{result="ok"}',
    ):
        assert found[once] - before[once] == 1, once
    assert found['jujubehall_worker_commands_total{result="ok",step="start"}'] == 1
    assert found['jujubehall_platform_calls_total{kind="watch"}'] >= 1
    assert found['jujubehall_configuration_changes_total{result="ok"}'] == 1
    assert found["jujubehall_configuration_number"] == 1
    assert found["jujubehall_ownership_epoch"] >= 1
    assert found['jujubehall_owned_scopes{kind="zone"}'] == 1
    assert found['jujubehall_owned_scopes{kind="requests"}'] == 64
    assert found["jujubehall_members"] == 1
    assert found["jujubehall_ready"] == 1
    assert found["jujubehall_platform_connected"] == 1
