"""Failover of the site client to the next entry host, and the failures that it reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest

from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.site_client import SiteClient
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import Request
from jujubehall.identifiers import RequestId
from jujubehall.identifiers import TeamName

if TYPE_CHECKING:
    from collections.abc import Callable

    Responder = Callable[[httpx.Request], httpx.Response]

ADDRESSES = ["http://first", "http://second"]
ERROR_BODY = {"error": "busy", "step": "admit", "peer": "entry host", "retry_after_ms": 1_000}


def respond_with(status: int, body: object) -> Responder:
    return lambda request: httpx.Response(status, json=body)


def refuse_connection(request: httpx.Request) -> httpx.Response:
    raise httpx.ConnectError("refused", request=request)


def lose_response(request: httpx.Request) -> httpx.Response:
    raise httpx.ReadTimeout("timed out", request=request)


def make_client(first: Responder, second: Responder, called_hosts: list[str]) -> SiteClient:
    def handle(request: httpx.Request) -> httpx.Response:
        called_hosts.append(request.url.host)
        return (first if request.url.host == "first" else second)(request)

    return SiteClient(ADDRESSES, httpx.MockTransport(handle))


@pytest.mark.parametrize("first", [refuse_connection, lose_response, respond_with(503, ERROR_BODY)])
def test_retryable_call_fails_over_to_the_next_entry_host(first: Responder) -> None:
    called_hosts: list[str] = []
    result = make_client(first, respond_with(200, 7), called_hosts).get("read", "/x", int)
    assert result.unwrap() == 7
    assert called_hosts == ["first", "second"]


def test_non_retryable_call_is_not_repeated_after_a_lost_response() -> None:
    called_hosts: list[str] = []
    site_client = make_client(lose_response, respond_with(200, 7), called_hosts)
    failure = site_client.call("write", "POST", "/x", int, retryable=False).unwrap_err()
    assert failure.exit_code is ExitCode.UNKNOWN
    assert called_hosts == ["first"]


def test_lost_response_takes_precedence_over_a_refusal() -> None:
    for second in (refuse_connection, respond_with(503, ERROR_BODY)):
        failure = make_client(lose_response, second, []).get("read", "/x", int).unwrap_err()
        assert failure.exit_code is ExitCode.UNKNOWN


def test_refusal_takes_precedence_over_an_unreachable_entry_host() -> None:
    site_client = make_client(respond_with(503, ERROR_BODY), refuse_connection, [])
    failure = site_client.get("read", "/x", int).unwrap_err()
    assert (failure.exit_code, failure.step) == (ExitCode.NOT_RUN, "admit")


def test_failure_names_all_unreachable_entry_hosts() -> None:
    result = make_client(refuse_connection, refuse_connection, []).get("read", "/x", int)
    assert result.unwrap_err().exit_code is ExitCode.UNREACHABLE
    assert result.unwrap_err().peer == "http://first, http://second"


@pytest.mark.parametrize(
    ("status", "exit_code"),
    [
        (400, ExitCode.INVALID),
        (404, ExitCode.NOT_FOUND),
        (409, ExitCode.CONFLICT),
        (413, ExitCode.INVALID),
        (500, ExitCode.FAILED),
        (504, ExitCode.UNKNOWN),
    ],
)
def test_other_error_statuses_are_not_retried(status: int, exit_code: ExitCode) -> None:
    called_hosts: list[str] = []
    result = make_client(respond_with(status, ERROR_BODY), respond_with(200, 7), called_hosts).get(
        "read", "/x", int
    )
    assert result.unwrap_err().exit_code is exit_code
    assert result.unwrap_err().message == "busy"
    assert called_hosts == ["first"]


def test_request_outcome_is_returned_for_each_status() -> None:
    request = Request(RequestId("hold-1"), TeamName("desk"), "slot-hold")
    for status, outcome in ((200, "completed"), (503, "not-run"), (504, "unknown")):
        responder = respond_with(status, {"id": "hold-1", "outcome": outcome})
        result = make_client(responder, responder, []).send_request(request)
        assert result.unwrap().outcome is Outcome(outcome)


def test_call_without_addresses_reports_unreachable() -> None:
    assert SiteClient([]).get("read", "/x", int).unwrap_err().exit_code is ExitCode.UNREACHABLE
