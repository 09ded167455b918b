"""When the command line tries the next entry host, and what it reports."""

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

    Behaviour = Callable[[httpx.Request], httpx.Response]

ADDRESSES = ["http://first", "http://second"]
ERROR = {"error": "busy", "step": "admit", "peer": "entry host", "retry_after_ms": 1_000}


def answers(status: int, document: object) -> Behaviour:
    return lambda request: httpx.Response(status, json=document)


def refuses_connections(request: httpx.Request) -> httpx.Response:
    raise httpx.ConnectError("refused", request=request)


def loses_the_answer(request: httpx.Request) -> httpx.Response:
    raise httpx.ReadTimeout("timed out", request=request)


def client(first: Behaviour, second: Behaviour, asked: list[str]) -> SiteClient:
    def handle(request: httpx.Request) -> httpx.Response:
        asked.append(request.url.host)
        return (first if request.url.host == "first" else second)(request)

    return SiteClient(ADDRESSES, httpx.MockTransport(handle))


@pytest.mark.parametrize("first", [refuses_connections, loses_the_answer, answers(503, ERROR)])
def test_a_repeatable_call_goes_on_to_the_next_entry_host(first: Behaviour) -> None:
    asked: list[str] = []
    found = client(first, answers(200, 7), asked).get("read", "/x", int)
    assert found.unwrap() == 7
    assert asked == ["first", "second"]


def test_a_call_that_may_have_taken_effect_is_not_repeated_unless_safe() -> None:
    asked: list[str] = []
    site = client(loses_the_answer, answers(200, 7), asked)
    failure = site.call("write", "POST", "/x", int, repeatable=False).unwrap_err()
    assert failure.exit_code is ExitCode.UNKNOWN
    assert asked == ["first"]


def test_a_lost_answer_outweighs_a_later_refusal() -> None:
    for second in (refuses_connections, answers(503, ERROR)):
        failure = client(loses_the_answer, second, []).get("read", "/x", int).unwrap_err()
        assert failure.exit_code is ExitCode.UNKNOWN


def test_a_refusal_outweighs_an_unreachable_entry_host() -> None:
    site = client(answers(503, ERROR), refuses_connections, [])
    failure = site.get("read", "/x", int).unwrap_err()
    assert (failure.exit_code, failure.step) == (ExitCode.NOT_RUN, "admit")


def test_unreachable_entry_hosts_are_all_named() -> None:
    failure = client(refuses_connections, refuses_connections, []).get("read", "/x", int)
    assert failure.unwrap_err().exit_code is ExitCode.UNREACHABLE
    assert failure.unwrap_err().peer == "http://first, http://second"


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
def test_other_errors_are_final(status: int, exit_code: ExitCode) -> None:
    asked: list[str] = []
    failure = client(answers(status, ERROR), answers(200, 7), asked).get("read", "/x", int)
    assert failure.unwrap_err().exit_code is exit_code
    assert failure.unwrap_err().message == "busy"
    assert asked == ["first"]


def test_the_three_outcomes_of_a_request_are_told_apart() -> None:
    request = Request(RequestId("hold-1"), TeamName("desk"), "slot-hold")
    for status, outcome in ((200, "completed"), (503, "not-run"), (504, "unknown")):
        answer = answers(status, {"id": "hold-1", "outcome": outcome})
        answered = client(answer, answer, []).send_request(request)
        assert answered.unwrap().outcome is Outcome(outcome)


def test_without_addresses_nothing_is_sent() -> None:
    assert SiteClient([]).get("read", "/x", int).unwrap_err().exit_code is ExitCode.UNREACHABLE
