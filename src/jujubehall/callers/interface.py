"""HTTP routes for callers: requests, tickets and jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from jujubehall.callers.messages import JobSubmission
from jujubehall.callers.messages import TicketRequest
from jujubehall.core.requests.request import Answer
from jujubehall.core.requests.request import Outcome
from jujubehall.core.requests.request import Request
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.error_body import ErrorBody
from jujubehall.http.router import HttpRequest
from jujubehall.http.router import HttpResponse
from jujubehall.http.router import Router
from jujubehall.http.server import retry_after_header
from jujubehall.identifiers import JobId
from jujubehall.metrics import REQUESTS
from jujubehall.metrics import BoundedLabels

if TYPE_CHECKING:
    from jujubehall.daemon.entry_host import EntryHost

UNAVAILABLE_RETRY_AFTER_MS = 1_000
MAX_REQUEST_KIND_LABELS = 50

_STATUS_BY_OUTCOME = {Outcome.COMPLETED: 200, Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 504}
_STATUS_BY_FAILURE_KIND = {
    FailureKind.INVALID: 400,
    FailureKind.NOT_FOUND: 404,
    FailureKind.CONFLICT: 409,
    FailureKind.NO_ANSWER: 504,
}

routes = Router()


class CallerInterface:
    """Handles the callers' HTTP routes on an entry host."""

    def __init__(self, host: EntryHost) -> None:
        self._host = host
        self._kind_labels = BoundedLabels(MAX_REQUEST_KIND_LABELS)

    @routes.register("POST", "/v1/requests")
    async def serve_request(self, call: HttpRequest) -> HttpResponse:
        """Runs a request on an endpoint and returns its outcome."""
        request: Request = call.decode(Request)
        answer = await self._host.requests.serve(request)
        REQUESTS.inc(
            {"outcome": answer.outcome.value, "kind": self._kind_labels.label(request.kind)}
        )
        return _answer_response(answer)

    @routes.register("POST", "/v1/tickets")
    async def issue_tickets(self, call: HttpRequest) -> HttpResponse:
        """Issues tickets: request identifiers that only this entry host may run."""
        request = call.decode(TicketRequest) if call.body else TicketRequest()
        return HttpResponse(201, self._host.requests.issue_tickets(request.count))

    @routes.register("POST", "/v1/jobs")
    async def submit_job(self, call: HttpRequest) -> HttpResponse:
        """Accepts a job; submitting the same ``id`` again is idempotent."""
        submission = call.decode(JobSubmission)
        submitted = await self._host.jobs.submit(submission.spec, submission.id)
        if isinstance(submitted, Err):
            return failure_response(submitted.err_value)
        return HttpResponse(201, submitted.ok_value)

    @routes.register("GET", "/v1/jobs")
    async def list_jobs(self, call: HttpRequest) -> HttpResponse:
        """Lists all jobs."""
        return HttpResponse(200, self._host.jobs.cached_jobs)

    @routes.register("GET", "/v1/jobs/{job}")
    async def show_job(self, call: HttpRequest) -> HttpResponse:
        """Shows one job."""
        found = await self._host.jobs.find(JobId(call.parameters["job"]))
        if isinstance(found, Err):
            return failure_response(found.err_value)
        return HttpResponse(200, found.ok_value)

    @routes.register("DELETE", "/v1/jobs/{job}")
    async def cancel_job(self, call: HttpRequest) -> HttpResponse:
        """Requests the cancellation of a job."""
        cancelled = await self._host.jobs.cancel(JobId(call.parameters["job"]))
        if isinstance(cancelled, Err):
            return failure_response(cancelled.err_value)
        return HttpResponse(202, cancelled.ok_value)


def failure_response(failure: Failure) -> HttpResponse:
    """Returns the error response for a failure.

    Kinds without a status of their own give 503 with a ``Retry-After`` header.
    """
    status = _STATUS_BY_FAILURE_KIND.get(failure.kind, 503)
    if status != 503:
        return HttpResponse(status, ErrorBody(failure.detail, failure.step, failure.peer))
    body = ErrorBody(failure.detail, failure.step, failure.peer, UNAVAILABLE_RETRY_AFTER_MS)
    return HttpResponse(status, body, retry_after_header(UNAVAILABLE_RETRY_AFTER_MS))


def _answer_response(answer: Answer) -> HttpResponse:
    headers = retry_after_header(answer.retry_after_ms) if answer.retry_after_ms else {}
    return HttpResponse(_STATUS_BY_OUTCOME[answer.outcome], answer, headers)
