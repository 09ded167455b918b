"""Tests the behaviour during a platform outage that docs/OPERATIONS.md describes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from jujubehall.testing.local_site import wait_until
from tests.end_to_end.calls import CLIENT
from tests.end_to_end.calls import retry_slot_hold_until_completed
from tests.end_to_end.calls import run_counts
from tests.end_to_end.calls import send_slot_hold
from tests.end_to_end.calls import warm_up

if TYPE_CHECKING:
    import httpx

    from jujubehall.testing.local_site import LocalSite

JOB = {"team": "studio", "kind": "render", "parts": 1, "accelerators_per_part": 1}
CHANGE = {"expected_number": 0, "author": "amaka", "reason": "a test", "token": "token-1"}


def test_requests_are_served_and_writes_refused_during_platform_outage(site: LocalSite) -> None:
    warm_up(site, "entry-0")
    assert send_slot_hold(site, "entry-0", "before").is_success
    _set_platform_down(site, True)
    wait_until(lambda: _platform_connected(site) == 0, "the outage is noticed")
    assert (
        _post(site, "/v1/requests", _idempotent_request("free-1")).json()["outcome"] == "completed"
    )
    assert send_slot_hold(site, "entry-0", "before").json()["outcome"] == "completed"
    for path, body in (
        ("/v1/jobs", {"id": "render-1", "spec": JOB}),
        ("/v1/configuration/defaults", {**CHANGE, "key": "endpoint_slots", "value": 4}),
    ):
        response = _post(site, path, body)
        assert response.status_code == 503, response.text
        assert int(response.headers["Retry-After"]) >= 1
        assert response.json()["peer"] == "platform"
    _set_platform_down(site, False)
    retry_slot_hold_until_completed(site, "entry-0", "after")
    wait_until(lambda: _platform_connected(site) == 1, "the end of the outage is noticed")
    response = _post(site, "/v1/jobs", {"id": "render-1", "spec": JOB})
    assert response.status_code == 201
    assert (run_counts(site)["before"], run_counts(site)["after"]) == (1, 1)


def _set_platform_down(site: LocalSite, down: bool) -> None:
    CLIENT.put(f"{site.site.platform_address}/test/faults", json={"down": down})


def _platform_connected(site: LocalSite) -> int:
    text = CLIENT.get(f"{site.base_url('entry-0')}/metrics").text
    values = dict(line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))
    return int(float(values["jujubehall_platform_connected"]))


def _post(site: LocalSite, path: str, body: Any) -> httpx.Response:
    return CLIENT.post(f"{site.base_url('entry-0')}{path}", json=body, timeout=20)


def _idempotent_request(identifier: str) -> dict[str, Any]:
    return {"id": identifier, "team": "studio", "kind": "who-is-free", "idempotent": True}
