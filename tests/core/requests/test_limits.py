"""Tests of slot allotments, endpoint ejection, the fair queue and the retry budget."""

from __future__ import annotations

from random import Random

import pytest

from jujubehall.core.requests.allotment import allotment
from jujubehall.core.requests.endpoint_table import LEAVING_NOTICE_VALIDITY_MS
from jujubehall.core.requests.endpoint_table import MAX_EJECTED_SHARE
from jujubehall.core.requests.endpoint_table import EndpointState
from jujubehall.core.requests.endpoint_table import EndpointTable
from jujubehall.core.requests.fair_queue import FairQueue
from jujubehall.core.requests.retry_budget import MAX_RETRY_TOKENS
from jujubehall.core.requests.retry_budget import RetryBudget
from jujubehall.identifiers import EndpointName
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import TeamName

ENDPOINTS = [EndpointName(f"endpoint-{number}") for number in range(24)]


@pytest.mark.parametrize("host_count", [1, 3, 7, 8, 12])
@pytest.mark.parametrize("limit", [8, 60])
def test_allotments_add_up_to_the_limit(host_count: int, limit: int) -> None:
    members = [EntryHostName(f"entry-{number}") for number in range(host_count)]
    for endpoint in ENDPOINTS:
        allotments = [allotment(limit, endpoint, members, own) for own in members]
        assert sum(allotments) == limit
        assert max(allotments) - min(allotments) <= 1


def make_table(count: int = 6) -> EndpointTable:
    table = EndpointTable(Random(1))
    table.update(EndpointState(name, str(name)) for name in ENDPOINTS[:count])
    return table


def record_failures(
    table: EndpointTable, endpoint: EndpointState, now_ms: int, times: int = 5
) -> None:
    for _ in range(times):
        table.on_failure(endpoint, now_ms)


def sample_chosen_names(table: EndpointTable, now_ms: int) -> set[EndpointName]:
    names = set()
    for _ in range(200):
        endpoint = table.acquire(lambda name: 1, (), now_ms)
        assert endpoint is not None
        names.add(endpoint.name)
        table.release(endpoint)
    return names


def test_failing_endpoint_is_ejected_and_returns_on_probation() -> None:
    table = make_table()
    failing = table.endpoints[0]
    record_failures(table, failing, 0)
    assert failing.name not in sample_chosen_names(table, 10)
    assert failing.name in sample_chosen_names(table, 1_000)
    failing.in_flight = 1
    assert all(
        table.acquire(lambda name: 8, ENDPOINTS[1:], 1_000) is None for _ in range(3)
    ), "an endpoint on probation got more than one request at a time"
    failing.in_flight = 0
    table.on_failure(failing, 1_000)
    assert failing.name not in sample_chosen_names(table, 2_500)
    table.on_success(failing)
    assert not failing.on_probation


def test_ejected_share_of_endpoints_is_bounded() -> None:
    table = make_table()
    for endpoint in table.endpoints:
        record_failures(table, endpoint, 0, times=50)
    remaining = len(sample_chosen_names(table, 10))
    assert remaining >= (1 - MAX_EJECTED_SHARE) * len(table.endpoints)


def test_endpoint_with_leaving_notice_gets_no_requests_while_the_list_is_outdated() -> None:
    table = make_table()
    leaving = table.endpoints[0]
    table.mark_leaving(leaving.name, 0)
    table.update(EndpointState(name, str(name)) for name in ENDPOINTS[:6])
    assert leaving.name not in sample_chosen_names(table, LEAVING_NOTICE_VALIDITY_MS - 1)


def test_busy_team_does_not_delay_another() -> None:
    queue: FairQueue[str] = FairQueue(max_entries=4)
    busy, quiet = TeamName("busy"), TeamName("quiet")
    for number in range(4):
        assert queue.enqueue(busy, f"busy-{number}") is None
    assert queue.enqueue(busy, "busy-4") == "busy-4"
    assert queue.enqueue(quiet, "quiet-0") == "busy-3"
    served = [queue.dequeue(lambda entry: True) for _ in range(4)]
    assert served == ["busy-0", "quiet-0", "busy-1", "busy-2"]
    assert queue.dequeue(lambda entry: True) is None


def test_retries_are_limited_to_a_share_of_first_attempts() -> None:
    budget = RetryBudget()
    retries = 0
    for _ in range(1_000):
        budget.on_first_send()
        retries += budget.try_consume()
    assert retries <= 1_000 * 0.1 + MAX_RETRY_TOKENS
