"""HTTP interface for operators that says where a job would be placed, without submitting it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import structlog

from result import Err
from twisted.web.resource import Resource

from jujubehall.http.channel import retry_after_seconds
from jujubehall.http.request_handling import start_handler
from jujubehall.platform.adapter.job_api import STATUS_BY_OUTCOME
from jujubehall.platform.adapter.job_api import decode_submission
from jujubehall.platform.adapter.job_api import parse_job_id
from jujubehall.platform.adapter.job_api import to_call
from jujubehall.services.fleet.admission import CallResponse
from jujubehall.services.fleet.admission import Outcome

if TYPE_CHECKING:
    from jujubehall.core.fleet.placement_preview import JobPreview
    from jujubehall.services.fleet.admission import Admission

LOCATE_PATH = "/locate"

log = structlog.get_logger()


class PlacementResource(Resource):
    """Serves ``POST /locate/...``: the call of a caller, with its path behind ``/locate``.

    The response is a ``JobPreview``, or the status and the error that the caller would get.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, admission: Admission) -> None:
        super().__init__()
        self._admission = admission

    def render_POST(self, request: Any) -> int:  # noqa: N802
        """Starts to handle a request; called by Twisted once the request is complete."""
        return start_handler(request, self._serve(request))

    async def _serve(self, request: Any) -> None:
        disconnects: list[object] = []
        request.notifyFinish().addErrback(disconnects.append)
        try:
            response = await self._preview(request)
        except Exception as error:
            log.error("placement preview failed", error=repr(error))
            response = CallResponse(Outcome.UNKNOWN, "internal error")
        if not disconnects:
            _write(request, response)

    async def _preview(self, request: Any) -> JobPreview | CallResponse:
        call = to_call(request)
        admitted = self._admission.check(
            call._replace(path=call.path.removeprefix(LOCATE_PATH), timeout_ms=None)
        )
        if isinstance(admitted, CallResponse):
            return admitted
        job = parse_job_id(admitted.subpath)
        if isinstance(job, Err):
            return CallResponse(Outcome.MALFORMED, job.err_value)
        submission = decode_submission(request.content.read())
        if isinstance(submission, Err):
            return CallResponse(Outcome.MALFORMED, submission.err_value)
        result = await self._admission.preview(admitted, job.ok_value, submission.ok_value)
        return result.err_value if isinstance(result, Err) else result.ok_value


def _write(request: Any, response: JobPreview | CallResponse) -> None:
    if isinstance(response, CallResponse):
        request.setResponseCode(STATUS_BY_OUTCOME[response.outcome])
        if response.retry_after_ms:
            request.setHeader("Retry-After", str(retry_after_seconds(response.retry_after_ms)))
        content = msgspec.json.encode({"error": response.detail})
    else:
        content = msgspec.json.encode(response)
    request.setHeader("Content-Type", "application/json")
    request.setHeader("Content-Length", str(len(content)))
    request.write(content)
    request.finish()
