"""Client of the platform's workers: starts and stops runs, renews leases and reads reports."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.core.fleet.reports import EndedTask
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.reports import TaskId
from jujubehall.core.fleet.reports import WorkerReport
from jujubehall.decoding import Count
from jujubehall.decoding import Integer
from jujubehall.decoding import Number
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.http.client import HttpClient
from jujubehall.identifiers import JobId
from jujubehall.platform.adapter import wire
from jujubehall.platform.site_store import RefusalReason
from jujubehall.platform.site_store import StartRefusal

if TYPE_CHECKING:
    from jujubehall.clock import Reactor
    from jujubehall.core.fleet.workers import ListedWorker
    from jujubehall.http.client import ClientResponse
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import WorkerName
    from jujubehall.platform.site_store import StartCommand

PEER = "worker"
COMMAND_TIMEOUT_MS = 700
"""Workers respond within a few milliseconds.

A start without a response may have taken effect, so it has to be ruled out by a stop.
"""

REPORT_TIMEOUT_MS = 900
"""Time for a report in addition to the time that the worker is asked to wait."""

MAX_IDLE_CONNECTIONS_PER_WORKER = 8
"""One for the pending report, others for concurrent starts; each new connection is billed."""

MAX_ENDS_PER_REPORT = 500
"""How many unacknowledged ends a worker lists at a time."""

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_EXPIRED,
    "broken": EndKind.GANG_BROKEN,
    "alone": EndKind.GANG_INCOMPLETE,
}
_REFUSAL_BY_REASON = {
    "fence": RefusalReason.FENCED,
    "old": RefusalReason.SUPERSEDED_RUN,
    "late": RefusalReason.LEASE_EXPIRED,
    "room": RefusalReason.NO_ROOM,
    "ticket": RefusalReason.INVALID_TICKET,
}
_REFUSAL_BY_STATUS = {
    400: RefusalReason.MALFORMED,
    421: RefusalReason.OTHER_WORKER,
    429: RefusalReason.UNHEALTHY,
    503: RefusalReason.UNHEALTHY,
}


class WorkerCommandClient:
    """Implements ``SiteWorkers`` over HTTP."""

    def __init__(self, reactor: Reactor) -> None:
        self._http = HttpClient(reactor, PEER, MAX_IDLE_CONNECTIONS_PER_WORKER)

    async def start(
        self, worker: ListedWorker, token: FencingToken, command: StartCommand
    ) -> Result[None, StartRefusal | Failure]:
        """Starts a run, unless the worker refuses to."""
        body = wire.RunStart(
            _format_task_name(command.task),
            command.run,
            command.spec,
            command.lease_until_ms,
            token,
            command.checkpoint,
            command.ticket,
        )
        result = await self._send("start", worker, "/run-start", body, COMMAND_TIMEOUT_MS)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status // 100 == 2:
            return Ok(None)
        if response.status == 409:
            reason = _refusal_reason(response)
            if reason in _REFUSAL_BY_REASON:
                return Err(StartRefusal(_REFUSAL_BY_REASON[reason]))
        elif response.status in _REFUSAL_BY_STATUS:
            return Err(
                StartRefusal(_REFUSAL_BY_STATUS[response.status], f"status {response.status}")
            )
        return Err(_to_failure("start", worker, response))

    async def stop(
        self, worker: ListedWorker, token: FencingToken, task: TaskId, run: int
    ) -> Result[None, Failure]:
        """Stops a run; the worker refuses to start the run if its start arrives later."""
        body = wire.RunStop(_format_task_name(task), run, token)
        result = await self._send("stop", worker, "/run-stop", body, COMMAND_TIMEOUT_MS)
        return result.and_then(
            lambda response: (
                Ok(None)
                if response.status // 100 == 2
                else Err(_to_failure("stop", worker, response))
            )
        )

    async def poll(
        self,
        worker: ListedWorker,
        token: FencingToken,
        confirmed_ends: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, Failure]:
        """Renews the leases of all runs, acknowledges ended runs and reads the worker's report."""
        body = wire.HoldRequest(token, confirmed_ends, until_ms, wait_ms)
        timeout_ms = wait_ms + REPORT_TIMEOUT_MS
        result = await self._send("report", worker, "/hold", body, timeout_ms)
        if isinstance(result, Err):
            return result
        if result.ok_value.status // 100 != 2:
            return Err(_to_failure("report", worker, result.ok_value))
        return decode_report(worker.name, result.ok_value)

    async def _send(
        self, step: str, worker: ListedWorker, path: str, body: object, timeout_ms: int
    ) -> Result[ClientResponse, Failure]:
        return await self._http.call(
            step,
            "POST",
            f"http://{worker.address}{path}",
            body,
            timeout_ms=timeout_ms,
            peer=worker.name,
            extra_headers={"Expect-Instance": worker.name},
        )


def decode_report(worker: WorkerName, response: ClientResponse) -> Result[WorkerReport, Failure]:
    """Decodes the response to a report request."""
    try:
        return Ok(_to_worker_report(response.decode(wire.HoldResponse)))
    except (msgspec.DecodeError, ValueError, KeyError) as error:
        return Err(Failure(FailureKind.INVALID, "report", worker, repr(error)))


def _to_failure(step: str, worker: ListedWorker, response: ClientResponse) -> Failure:
    kinds = {409: FailureKind.CONFLICT, 421: FailureKind.NOT_FOUND}
    unavailable = FailureKind.UNAVAILABLE if response.status in (429, 503) else None
    kind = unavailable or kinds.get(response.status, FailureKind.NO_ANSWER)
    detail = f"status {response.status} {_refusal_reason(response)}".strip()
    return Failure(kind, step, worker.name, detail)


def _refusal_reason(response: ClientResponse) -> str:
    try:
        return str(response.decode(wire.RefusalBody).reason)
    except msgspec.DecodeError:
        return ""


def _format_task_name(task: TaskId) -> str:
    return f"{task.job}.{task.occurrence}.{task.step}.{task.position}"


def _parse_task_name(text: str) -> TaskId:
    job, *numbers = text.split(".")
    occurrence, step, position = (msgspec.convert(each, Count, strict=False) for each in numbers)
    return TaskId(JobId(job), occurrence, step, position)


def _to_worker_report(response: wire.HoldResponse) -> WorkerReport:
    return WorkerReport(
        response.born,
        response.clock_ms,
        tuple(_to_running_task(row) for row in response.running),
        tuple(
            EndedTask(number, _parse_task_name(task), run, _END_KINDS[kind], checkpoint)
            for number, task, run, kind, checkpoint in response.finished
        ),
        lists_all_ends=len(response.finished) < MAX_ENDS_PER_REPORT,
    )


def _to_running_task(row: list[Any]) -> RunningTask:
    task, run, checkpoint, percent = msgspec.convert(row[:4], tuple[str, Count, str, Integer])
    # The fifth entry, an approximate load, is missing from the reports of older workers.
    load = msgspec.convert(row[4], Number) if len(row) > 4 else 0.0
    return RunningTask(_parse_task_name(task), run, checkpoint, percent, round(load))
