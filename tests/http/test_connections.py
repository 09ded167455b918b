"""Pipelining, disconnecting clients, eviction at the connection limit, and counted refusals."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

import pytest

from jujubehall.testing.local_site import wait_until
from tests.end_to_end.calls import CLIENT
from tests.end_to_end.calls import retry_slot_hold_until_completed
from tests.end_to_end.calls import run_counts
from tests.end_to_end.calls import set_run_time_ms
from tests.http.bad_inputs import post
from tests.http.conftest import LIMITS
from tests.http.raw_connection import RawConnection

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jujubehall.testing.local_site import LocalSite

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: test\r\n\r\n"
RUN_MS = 1_500


@pytest.fixture
def address(site: LocalSite) -> Iterator[str]:
    set_run_time_ms(site, 5)
    yield site.base_url("entry-0")


def hold_request(identifier: str) -> bytes:
    request = {"id": identifier, "team": "studio", "kind": "slot-hold", "deadline_ms": 8_000}
    return post("/v1/requests", request)


def test_pipelined_requests_get_responses_in_order(address: str) -> None:
    with RawConnection(address) as connection:
        connection.send(HEALTH + hold_request("pipelined").replace(b"/v1/", b"/v9/") + HEALTH)
        assert [connection.read_response().status for _ in range(3)] == [200, 404, 200]


def test_result_is_available_after_caller_disconnects(site: LocalSite, address: str) -> None:
    retry_slot_hold_until_completed(site, "entry-0", "before")
    set_run_time_ms(site, 300)
    with RawConnection(address) as connection:
        connection.send(hold_request("disconnected"))
        wait_until(lambda: run_counts(site)["disconnected"] == 1, "the hold runs")
    retry_slot_hold_until_completed(site, "entry-0", "disconnected")
    assert run_counts(site)["disconnected"] == 1


def test_new_connection_evicts_least_recently_used_idle_connection(address: str) -> None:
    with ExitStack() as stack:
        idle = [stack.enter_context(RawConnection(address)) for _ in range(LIMITS.connections + 2)]
        new = stack.enter_context(RawConnection(address))
        new.send(HEALTH)
        assert new.read_response().status == 200
        assert idle[0].is_closed_by_peer()


def test_connections_with_requests_in_progress_are_not_evicted(
    site: LocalSite, address: str
) -> None:
    retry_slot_hold_until_completed(site, "entry-0", "before-the-others")
    set_run_time_ms(site, RUN_MS)
    request_ids = [f"in-progress-{number}" for number in range(LIMITS.connections)]
    with ExitStack() as stack:
        connections = [stack.enter_context(RawConnection(address)) for _ in request_ids]
        for connection, request_id in zip(connections, request_ids, strict=True):
            connection.send(hold_request(request_id))
        wait_until(lambda: set(request_ids) <= set(run_counts(site)), "every hold runs")
        extra = stack.enter_context(RawConnection(address))
        refused = extra.read_response()
        assert refused.status == 503
        assert refused.body["step"] == "accept"
        assert int(refused.headers["retry-after"]) >= 1
        responses = [connection.read_response() for connection in connections]
    assert [response.body["outcome"] for response in responses] == ["completed"] * len(request_ids)


def test_identifier_may_contain_an_encoded_slash(address: str) -> None:
    response = CLIENT.get(f"{address}/v1/jobs/render%2F7")
    assert response.status_code == 404
    assert "render/7" in response.json()["error"]


def test_metrics_count_refused_requests(address: str) -> None:
    with RawConnection(address) as connection:
        connection.send(b"nonsense\r\n")
        assert connection.read_response().status == 400
    text = CLIENT.get(f"{address}/metrics").text
    refusals = [line for line in text.splitlines() if line.startswith("jujubehall_http_refusals")]
    assert any('status="400"' in line for line in refusals), text


def test_platform_accepts_values_up_to_one_megabyte(site: LocalSite) -> None:
    url = f"{site.site.platform_address}/v1/kv/test/large"
    for size, status in ((990_000, 200), (1_000_001, 400)):
        body = {"value": "a" * size, "expected_version": 0}
        assert CLIENT.put(url, json=body).status_code == status
