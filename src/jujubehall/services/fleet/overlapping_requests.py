"""Requests for reports that overlap, so that a silent worker is noticed as soon as it answers.

The load that this answers: workers that are cut off for almost as long as their leases last. A
request to a silent worker ends only with its time limit, and the leases may expire before the next
one, although the worker could have been reached in between.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Result
from twisted.internet.defer import Deferred

from jujubehall.clock import to_seconds
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.services.async_utils import run_in_background

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from twisted.python.failure import Failure as TwistedFailure

    from jujubehall.clock import Clock
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.reports import WorkerReport

    RequestReport = Callable[[], Coroutine[Any, Any, Result[WorkerReport, Failure]]]

REQUEST_INTERVAL_MS = 300
"""Interval of the requests to one worker."""

MAX_ADDITIONAL_REQUESTS = 32
"""Limit of the requests to all workers that wait for an answer beside an earlier one to the same
worker. A small host that is cut off from hundreds of workers must not be flooded with them."""


class Answer(NamedTuple):
    """A worker's report, or the last failure, with the time of its request."""

    reported: Result[WorkerReport, Failure]
    requested_ms: int

    @property
    def is_silence(self) -> bool:
        """Whether the worker has not even refused the request or closed its connection."""
        if not isinstance(self.reported, Err):
            return False
        failure = self.reported.err_value
        return failure.kind is FailureKind.NO_ANSWER and not failure.is_connection_lost


class RequestLimit:
    """Counts the additional requests of all sessions of an owner."""

    def __init__(self) -> None:
        self._additional = 0

    def take(self) -> bool:
        """Takes one of ``MAX_ADDITIONAL_REQUESTS``; returns False if none is left."""
        if self._additional >= MAX_ADDITIONAL_REQUESTS:
            return False
        self._additional += 1
        return True

    def give_back(self) -> None:
        """Gives back what a successful ``take`` has taken."""
        self._additional -= 1


class OverlappingRequests:
    """Requests reports of one worker at intervals, without waiting for those requested before.

    Only requests without an effect on the worker may overlap: they neither extend leases nor
    confirm ends.
    """

    def __init__(
        self, reactor: Reactor, clock: Clock, limit: RequestLimit, request: RequestReport
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._limit = limit
        self._request = request
        self._until_ms = 0
        self._pending = 0
        self._last_failure: Answer | None = None
        self._first_answer: Deferred[Answer] = Deferred()

    def first_answer(self, until_ms: int) -> Deferred[Answer]:
        """Requests reports until ``until_ms`` and returns the first answer.

        If no request is answered, returns the last failure. A worker that refuses the request or
        closes its connection has answered.
        """
        self._until_ms = until_ms
        self._send(is_additional=False)
        self._schedule_next()
        return self._first_answer

    def _schedule_next(self) -> None:
        self._reactor.callLater(to_seconds(REQUEST_INTERVAL_MS), self._send_next)

    def _send_next(self) -> None:
        if self._first_answer.called:
            return
        if self._clock.now_ms >= self._until_ms:
            self._finish_if_over()
            return
        if not self._pending:
            self._send(is_additional=False)
        elif self._limit.take():
            self._send(is_additional=True)
        self._schedule_next()

    def _send(self, is_additional: bool) -> None:
        requested_ms = self._clock.now_ms
        self._pending += 1

        def note_end(reported: Any) -> Any:
            self._pending -= 1
            if is_additional:
                self._limit.give_back()
            return reported

        run_in_background(self._request()).addBoth(note_end).addCallbacks(
            lambda reported: self._note_answer(Answer(reported, requested_ms)), self._note_error
        )

    def _note_answer(self, answer: Answer) -> None:
        if self._first_answer.called:
            return
        if answer.is_silence:
            self._last_failure = answer
            self._finish_if_over()
        else:
            self._first_answer.callback(answer)

    def _note_error(self, error: TwistedFailure) -> None:
        if not self._first_answer.called:
            self._first_answer.errback(error)

    def _finish_if_over(self) -> None:
        is_over = self._clock.now_ms >= self._until_ms and not self._pending
        if is_over and self._last_failure is not None:
            self._first_answer.callback(self._last_failure)
