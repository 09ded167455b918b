"""What callers can and can't do with connections."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING

import pytest

from jujubehall.testing.local_site import wait_until
from tests.end_to_end.calls import CLIENT
from tests.end_to_end.calls import hold_until_completed
from tests.end_to_end.calls import runs
from tests.end_to_end.calls import set_run_time
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
    set_run_time(site, 5)
    yield site.address("entry-0")


def hold(identifier: str) -> bytes:
    request = {"id": identifier, "team": "studio", "kind": "slot-hold", "deadline_ms": 8_000}
    return post("/v1/requests", request)


def test_pipelined_requests_are_answered_in_order(address: str) -> None:
    with RawConnection(address) as connection:
        connection.send(HEALTH + hold("pipelined").replace(b"/v1/", b"/v9/") + HEALTH)
        assert [connection.read_answer().status for _ in range(3)] == [200, 404, 200]


def test_a_caller_that_disconnects_gets_the_answer_later(site: LocalSite, address: str) -> None:
    hold_until_completed(site, "entry-0", "before")
    set_run_time(site, 300)
    with RawConnection(address) as connection:
        connection.send(hold("left-early"))
        wait_until(lambda: runs(site)["left-early"] == 1, "the hold runs")
    hold_until_completed(site, "entry-0", "left-early")
    assert runs(site)["left-early"] == 1


def test_unused_connections_make_room(address: str) -> None:
    with ExitStack() as stack:
        unused = [
            stack.enter_context(RawConnection(address)) for _ in range(LIMITS.connections + 2)
        ]
        fresh = stack.enter_context(RawConnection(address))
        fresh.send(HEALTH)
        assert fresh.read_answer().status == 200
        assert unused[0].is_closed_by_peer()


def test_requests_in_progress_are_not_cut_to_make_room(site: LocalSite, address: str) -> None:
    hold_until_completed(site, "entry-0", "before-the-crowd")
    set_run_time(site, RUN_MS)
    names = [f"crowd-{number}" for number in range(LIMITS.connections)]
    with ExitStack() as stack:
        crowd = [stack.enter_context(RawConnection(address)) for _ in names]
        for connection, name in zip(crowd, names, strict=True):
            connection.send(hold(name))
        wait_until(lambda: set(names) <= set(runs(site)), "every hold runs")
        late = stack.enter_context(RawConnection(address))
        refused = late.read_answer()
        assert refused.status == 503
        assert refused.body["step"] == "accept"
        assert int(refused.headers["retry-after"]) >= 1
        answers = [connection.read_answer() for connection in crowd]
    assert [answer.body["outcome"] for answer in answers] == ["completed"] * len(names)


def test_an_identifier_may_hold_a_quoted_slash(address: str) -> None:
    shown = CLIENT.get(f"{address}/v1/jobs/render%2F7")
    assert shown.status_code == 404
    assert "render/7" in shown.json()["error"]


def test_metrics_count_what_was_refused(address: str) -> None:
    with RawConnection(address) as connection:
        connection.send(b"nonsense\r\n")
        assert connection.read_answer().status == 400
    text = CLIENT.get(f"{address}/metrics").text
    refusals = [line for line in text.splitlines() if line.startswith("jujubehall_http_refusals")]
    assert any('status="400"' in line for line in refusals), text


def test_the_platform_takes_values_up_to_a_megabyte(site: LocalSite) -> None:
    url = f"{site.site.platform_address}/v1/kv/test/large"
    for size, status in ((990_000, 200), (1_000_001, 400)):
        body = {"value": "a" * size, "expected_version": 0}
        assert CLIENT.put(url, json=body).status_code == status
