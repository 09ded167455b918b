"""HTTP API for the platform's clients, and the readiness check for the load balancer."""

from __future__ import annotations

import re

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import structlog

from result import Err
from result import Ok
from result import Result
from twisted.web.resource import Resource

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.decoding import decode_json
from jujubehall.http.channel import retry_after_seconds
from jujubehall.http.request_handling import start_handler
from jujubehall.identifiers import JobId
from jujubehall.identifiers import RackName
from jujubehall.platform.adapter import wire
from jujubehall.services.fleet.admission import AdmittedCall
from jujubehall.services.fleet.admission import CallResponse
from jujubehall.services.fleet.admission import IncomingCall
from jujubehall.services.fleet.admission import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.services.fleet.admission import Admission

JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
TOKEN_SCHEME = "Token "
MAX_DEADLINE_MS = 600_000
MAX_DEADLINE_DIGITS = 18
MAX_LOGGED_PATH_LENGTH = 256

STATUS_BY_OUTCOME = {
    Outcome.ACCEPTED: 200,
    Outcome.SHOWN: 200,
    Outcome.NO_SUCH_QUEUE: 404,
    Outcome.NO_SUCH_JOB: 410,
    Outcome.UNKNOWN_KEY: 401,
    Outcome.MALFORMED: 400,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
}

log = structlog.get_logger()


class JobApiResource(Resource):
    """Passes clients' calls to ``Admission`` and encodes the results as HTTP responses."""

    isLeaf = True  # noqa: N815

    def __init__(self, admission: Admission, is_stopping: Callable[[], bool]) -> None:
        super().__init__()
        self._admission = admission
        self._is_stopping = is_stopping

    def render(self, request: Any) -> int:
        """Starts to handle a request; called by Twisted once the request is complete."""
        return start_handler(request, self._serve(request))

    async def _serve(self, request: Any) -> None:
        disconnects: list[object] = []
        request.notifyFinish().addErrback(disconnects.append)
        try:
            response = await self._dispatch(request)
        except Exception as error:
            path = _decode_text(request.path)[:MAX_LOGGED_PATH_LENGTH]
            log.error("call handler failed", path=path, error=repr(error))
            response = CallResponse(Outcome.UNKNOWN, "internal error")
        if not disconnects:
            self._write_response(request, response)

    async def _dispatch(self, request: Any) -> CallResponse:
        method = _decode_text(request.method)
        admitted = self._admission.check(to_call(request))
        if isinstance(admitted, CallResponse):
            return admitted
        if not admitted.subpath:
            if method == "GET":
                return await self._admission.pending(admitted)
            return CallResponse(Outcome.MALFORMED, "the path has no job identifier")
        parsed = parse_job_id(admitted.subpath)
        if isinstance(parsed, Err):
            return _invalid_job_id(method, parsed.err_value)
        job = parsed.ok_value
        if method == "POST":
            return await self._submit(admitted, job, request.content.read())
        if method == "GET":
            return await self._admission.show(admitted, job)
        if method == "DELETE":
            return await self._admission.cancel(admitted, job)
        return CallResponse(
            Outcome.MALFORMED, f"method {method} is not supported; use GET, POST or DELETE"
        )

    async def _submit(self, admitted: AdmittedCall, job: JobId, body: bytes) -> CallResponse:
        request = decode_submission(body)
        if isinstance(request, Err):
            log.info("invalid job submission", job=job, error=request.err_value)
            return CallResponse(Outcome.MALFORMED, request.err_value)
        return await self._admission.submit(admitted, job, request.ok_value)

    def _write_response(self, request: Any, response: CallResponse) -> None:
        body: dict[str, object] = {}
        if response.state is not None:
            body["state"] = response.state.value
        if response.pending is not None:
            body["pending"] = response.pending
        if response.detail:
            body["error"] = response.detail
        content = msgspec.json.encode(body)
        request.setResponseCode(STATUS_BY_OUTCOME[response.outcome])
        request.setHeader("Content-Type", "application/json")
        request.setHeader("Content-Length", str(len(content)))
        if response.retry_after_ms:
            request.setHeader("Retry-After", str(retry_after_seconds(response.retry_after_ms)))
        if self._is_stopping():
            request.setHeader("Connection", "close")
        request.write(content)
        request.finish()


class ReadinessResource(Resource):
    """Serves the load balancer's readiness check: status 200 if ready, else 503."""

    isLeaf = True  # noqa: N815

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self._is_ready = is_ready

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Responds to a check; called by Twisted."""
        request.setResponseCode(200 if self._is_ready() else 503)
        return b""


def to_call(request: Any) -> IncomingCall:
    """Returns the target, the key and the timeout of an HTTP request."""
    host = _decode_text(request.getHeader(b"host") or b"").partition(":")[0]
    authorization = _decode_text(request.getHeader(b"authorization") or b"")
    key = authorization.removeprefix(TOKEN_SCHEME).strip()
    deadline_header = _decode_text(request.getHeader(b"deadline-ms") or b"")
    timeout_ms = None
    if deadline_header.isdecimal():
        # ``int`` raises an error for thousands of digits.
        is_long = len(deadline_header) > MAX_DEADLINE_DIGITS
        timeout_ms = MAX_DEADLINE_MS if is_long else min(int(deadline_header), MAX_DEADLINE_MS)
    return IncomingCall(host, _decode_text(request.path), key, timeout_ms)


def parse_job_id(subpath: str) -> Result[JobId, str]:
    """Returns the job identifier in the part of a path that follows the queue's prefix."""
    if JOB_ID_PATTERN.fullmatch(subpath) is None:
        return Err("invalid job identifier in the path: 16 hexadecimal digits are required")
    return Ok(JobId(subpath))


def decode_submission(body: bytes) -> Result[JobRequest, str]:
    """Decodes the body of a submission; the error names the invalid field."""
    try:
        return Ok(_to_request(decode_json(body, wire.Submission)))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Err(str(error))


def _invalid_job_id(method: str, error: str) -> CallResponse:
    if method == "POST":
        return CallResponse(Outcome.MALFORMED, error)
    return CallResponse(Outcome.NO_SUCH_JOB, "no such job")


def _to_request(submission: wire.Submission) -> JobRequest:
    return JobRequest(
        submission.spec,
        tuple(_to_step(step) for step in submission.steps),
        submission.repeat_count,
        submission.first_run_ms,
        submission.interval_ms,
    )


def _to_step(step: wire.Step) -> StepRequest:
    # msgspec.convert checks the constraints of the fields, as the decoding of stored records does.
    return msgspec.convert(
        {
            "tasks": step.count,
            "needs": Resources(step.cpu, step.memory_mb, step.accelerators),
            "expected_ms": step.expected_ms,
            "after": tuple(step.after),
            "is_gang": step.gang,
            "prefers_one_rack": step.same_rack,
            "data_rack": RackName(step.data_rack),
            "required_label": step.required_label,
            "tasks_per_worker": step.max_per_worker,
            "saves_checkpoints": step.saves_checkpoints,
            "may_run_copies": step.speculative,
            "runs_until_cancelled": step.long_running,
            "image": step.image,
            "target_latency_ms": step.target_ms,
            "is_filler": step.fills,
            "may_be_absent": step.may_miss,
        },
        StepRequest,
    )


def _decode_text(content: bytes) -> str:
    return content.decode("utf-8", "replace")
