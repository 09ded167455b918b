"""The parts of the limits: allotments, ejection, fair queue and retry budget."""

from __future__ import annotations

from random import Random

import pytest

from jujubehall.core.requests.allotment import allotment
from jujubehall.core.requests.endpoint_table import LEAVING_STATEMENT_MS
from jujubehall.core.requests.endpoint_table import MAX_EJECTED_SHARE
from jujubehall.core.requests.endpoint_table import EndpointState
from jujubehall.core.requests.endpoint_table import EndpointTable
from jujubehall.core.requests.fair_queue import FairQueue
from jujubehall.core.requests.retry_budget import MAX_SAVED_RETRIES
from jujubehall.core.requests.retry_budget import RetryBudget
from jujubehall.identifiers import EndpointName
from jujubehall.identifiers import EntryHostName
from jujubehall.identifiers import TeamName

ENDPOINTS = [EndpointName(f"endpoint-{number}") for number in range(24)]


@pytest.mark.parametrize("hosts", [1, 3, 7, 8, 12])
@pytest.mark.parametrize("limit", [8, 60])
def test_allotments_add_up_to_the_limit(hosts: int, limit: int) -> None:
    members = [EntryHostName(f"entry-{number}") for number in range(hosts)]
    for endpoint in ENDPOINTS:
        parts = [allotment(limit, endpoint, members, own) for own in members]
        assert sum(parts) == limit
        assert max(parts) - min(parts) <= 1


def table(count: int = 6) -> EndpointTable:
    endpoints = EndpointTable(Random(1))
    endpoints.update(EndpointState(name, str(name)) for name in ENDPOINTS[:count])
    return endpoints


def fail(endpoints: EndpointTable, endpoint: EndpointState, now_ms: int, times: int = 5) -> None:
    for _ in range(times):
        endpoints.on_failure(endpoint, now_ms)


def chosen(endpoints: EndpointTable, now_ms: int) -> set[EndpointName]:
    names = set()
    for _ in range(200):
        endpoint = endpoints.acquire(lambda name: 1, (), now_ms)
        assert endpoint is not None
        names.add(endpoint.name)
        endpoints.release(endpoint)
    return names


def test_a_failing_endpoint_is_ejected_and_comes_back_by_probation() -> None:
    endpoints = table()
    sick = endpoints.endpoints[0]
    fail(endpoints, sick, 0)
    assert sick.name not in chosen(endpoints, 10)
    assert sick.name in chosen(endpoints, 1_000)
    sick.in_flight = 1
    assert all(
        endpoints.acquire(lambda name: 8, ENDPOINTS[1:], 1_000) is None for _ in range(3)
    ), "an endpoint on probation gets one request at a time"
    sick.in_flight = 0
    endpoints.on_failure(sick, 1_000)
    assert sick.name not in chosen(endpoints, 2_500)
    endpoints.on_success(sick)
    assert not sick.on_probation


def test_ejection_is_bounded() -> None:
    endpoints = table()
    for endpoint in endpoints.endpoints:
        fail(endpoints, endpoint, 0, times=50)
    left = len(chosen(endpoints, 10))
    assert left >= (1 - MAX_EJECTED_SHARE) * len(endpoints.endpoints)


def test_a_leaving_endpoint_gets_no_work_while_the_list_lags() -> None:
    endpoints = table()
    leaving = endpoints.endpoints[0]
    endpoints.mark_leaving(leaving.name, 0)
    endpoints.update(EndpointState(name, str(name)) for name in ENDPOINTS[:6])
    assert leaving.name not in chosen(endpoints, LEAVING_STATEMENT_MS - 1)


def test_a_busy_team_does_not_hold_up_another() -> None:
    queue: FairQueue[str] = FairQueue(max_queued=4)
    busy, quiet = TeamName("busy"), TeamName("quiet")
    for number in range(4):
        assert queue.add(busy, f"busy-{number}") is None
    assert queue.add(busy, "busy-4") == "busy-4"
    assert queue.add(quiet, "quiet-0") == "busy-3"
    taken = [queue.take(lambda entry: True) for _ in range(4)]
    assert taken == ["busy-0", "quiet-0", "busy-1", "busy-2"]
    assert queue.take(lambda entry: True) is None


def test_retries_are_a_bounded_share_of_the_sends() -> None:
    budget = RetryBudget()
    retries = 0
    for _ in range(1_000):
        budget.on_first_send()
        retries += budget.take()
    assert retries <= 1_000 * 0.1 + MAX_SAVED_RETRIES
