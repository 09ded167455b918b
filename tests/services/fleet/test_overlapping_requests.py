"""Overlapping requests notice a silent worker as soon as it answers, and their number is limited."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from result import Err
from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jujubehall.clock import reactor_clock
from jujubehall.clock import to_seconds
from jujubehall.core.fleet.reports import WorkerReport
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.services.fleet.overlapping_requests import MAX_ADDITIONAL_REQUESTS
from jujubehall.services.fleet.overlapping_requests import REQUEST_INTERVAL_MS
from jujubehall.services.fleet.overlapping_requests import OverlappingRequests
from jujubehall.services.fleet.overlapping_requests import RequestLimit

if TYPE_CHECKING:
    from jujubehall.services.fleet.overlapping_requests import Answer

UNTIL_MS = 2_000
TIMEOUT_MS = 900
REPORT = WorkerReport(1, 0, (), ())
SILENCE = Failure(FailureKind.NO_ANSWER, "report", "w0", "timed out")


class Requests:
    """Overlapping requests to a worker that answers what the test says, when it says so."""

    def __init__(self, reactor: Clock, limit: RequestLimit) -> None:
        self._reactor = reactor
        self.results: list[Deferred[Any]] = []
        """What the requests wait for, in the order in which they were sent."""

        self.answers: list[Answer] = []
        self.errors: list[Any] = []
        requests = OverlappingRequests(reactor, reactor_clock(reactor), limit, self._request)
        answer = requests.first_answer(UNTIL_MS)
        answer.addCallbacks(self.answers.append, self.errors.append)

    async def _request(self) -> Any:
        self.results.append(Deferred())
        return await self.results[-1]


def advance(reactor: Clock, duration_ms: int) -> None:
    """Advances the time in steps of the interval of the requests."""
    steps, rest_ms = divmod(duration_ms, REQUEST_INTERVAL_MS)
    reactor.pump([to_seconds(REQUEST_INTERVAL_MS)] * steps + [to_seconds(rest_ms)])


def test_the_first_answer_counts_with_the_time_of_its_request() -> None:
    """Requests go out while earlier ones wait; what these return later must have no effect."""
    reactor = Clock()
    requests = Requests(reactor, RequestLimit())
    advance(reactor, 2 * REQUEST_INTERVAL_MS)
    assert len(requests.results) == 3
    requests.results[2].callback(Ok(REPORT))
    assert [each.requested_ms for each in requests.answers] == [2 * REQUEST_INTERVAL_MS]
    requests.results[0].callback(Err(SILENCE))
    advance(reactor, UNTIL_MS)
    assert len(requests.results) == 3
    assert len(requests.answers) == 1


@pytest.mark.parametrize(
    "failure",
    [
        Failure(FailureKind.CONFLICT, "report", "w0"),
        Failure(FailureKind.NOT_SENT, "report", "w0"),
        Failure(FailureKind.NO_ANSWER, "report", "w0", is_connection_lost=True),
    ],
)
def test_a_refusal_ends_the_requests(failure: Failure) -> None:
    """Only silence is answered by more requests."""
    reactor = Clock()
    requests = Requests(reactor, RequestLimit())
    requests.results[0].callback(Err(failure))
    advance(reactor, UNTIL_MS)
    assert [each.reported for each in requests.answers] == [Err(failure)]
    assert len(requests.results) == 1


def test_a_worker_that_stays_silent_ends_the_requests_at_the_given_time() -> None:
    """The last failure must be returned once no request is pending any longer."""
    reactor = Clock()
    requests = Requests(reactor, RequestLimit())
    advance(reactor, UNTIL_MS + TIMEOUT_MS)
    assert len(requests.results) == -(-UNTIL_MS // REQUEST_INTERVAL_MS)
    for number, result in enumerate(requests.results, start=1):
        assert not requests.answers
        result.callback(Err(SILENCE))
        assert bool(requests.answers) == (number == len(requests.results))


def test_an_unexpected_error_ends_the_requests() -> None:
    """The session's loop logs the error and goes on, so it must not wait for ever."""
    requests = Requests(Clock(), RequestLimit())
    requests.results[0].errback(RuntimeError("injected"))
    assert [each.type for each in requests.errors] == [RuntimeError]


def test_additional_requests_to_all_workers_are_limited() -> None:
    """Each worker has one request pending at any time; the others share the limit."""
    reactor = Clock()
    limit = RequestLimit()
    workers = [Requests(reactor, limit) for _ in range(MAX_ADDITIONAL_REQUESTS + 10)]
    advance(reactor, 2 * REQUEST_INTERVAL_MS)
    pending = sum(len(each.results) for each in workers)
    assert pending == len(workers) + MAX_ADDITIONAL_REQUESTS
    for each in workers:
        for result in each.results:
            result.callback(Err(SILENCE))
    advance(reactor, REQUEST_INTERVAL_MS)
    assert all(not each.results[-1].called for each in workers)
    advance(reactor, REQUEST_INTERVAL_MS)
    unanswered = sum(not result.called for each in workers for result in each.results)
    assert unanswered == len(workers) + MAX_ADDITIONAL_REQUESTS
