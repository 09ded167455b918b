"""Orders to the platform's workers."""

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
from jujubehall.core.fleet.reports import TaskName
from jujubehall.core.fleet.reports import WorkerReport
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
    from jujubehall.http.client import Response
    from jujubehall.identifiers import FencingToken
    from jujubehall.identifiers import WorkerName
    from jujubehall.platform.site_store import StartOrder

PEER = "worker"
ORDER_TIMEOUT_MS = 700
"""Orders are answered in a few milliseconds; an unanswered one must be excluded by a stop."""

REPORT_TIMEOUT_MS = 900
"""How long a report may take beyond the time that it is asked to wait."""

CONNECTIONS_PER_WORKER = 8
"""One that waits for reports, and starts side by side; the platform prices new connections."""

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_LAPSED,
    "broken": EndKind.GANG_BROKEN,
    "alone": EndKind.GANG_INCOMPLETE,
}
_REFUSALS = {
    "fence": RefusalReason.FENCED,
    "old": RefusalReason.OLD_RUN,
    "late": RefusalReason.LEASE_OVER,
    "room": RefusalReason.NO_ROOM,
    "ticket": RefusalReason.TICKET,
}
_REFUSAL_OF_STATUS = {
    400: RefusalReason.MALFORMED,
    421: RefusalReason.OTHER_LIFE,
    429: RefusalReason.UNHEALTHY,
    503: RefusalReason.UNHEALTHY,
}


class WorkerOrders:
    """Implements ``SiteWorkers``."""

    def __init__(self, reactor: Reactor) -> None:
        self._http = HttpClient(reactor, PEER, CONNECTIONS_PER_WORKER)

    async def start(
        self, worker: ListedWorker, token: FencingToken, order: StartOrder
    ) -> Result[None, StartRefusal | Failure]:
        """Starts a run."""
        body = wire.RunStart(
            _task_text(order.task),
            order.run,
            order.spec,
            order.until_ms,
            token,
            order.checkpoint,
            order.ticket,
        )
        answer = await self._send("start", worker, "/run-start", body, ORDER_TIMEOUT_MS)
        if isinstance(answer, Err):
            return answer
        response = answer.ok_value
        if response.status // 100 == 2:
            return Ok(None)
        if response.status == 409:
            reason = _refusal_text(response)
            if reason in _REFUSALS:
                return Err(StartRefusal(_REFUSALS[reason]))
        elif response.status in _REFUSAL_OF_STATUS:
            return Err(
                StartRefusal(_REFUSAL_OF_STATUS[response.status], f"status {response.status}")
            )
        return Err(_failure("start", worker, response))

    async def stop(
        self, worker: ListedWorker, token: FencingToken, task: TaskName, run: int
    ) -> Result[None, Failure]:
        """Stops a run; one that is not there yet will be refused from now on."""
        body = wire.RunStop(_task_text(task), run, token)
        answer = await self._send("stop", worker, "/run-stop", body, ORDER_TIMEOUT_MS)
        return answer.and_then(
            lambda response: (
                Ok(None) if response.status // 100 == 2 else Err(_failure("stop", worker, response))
            )
        )

    async def report(
        self,
        worker: ListedWorker,
        token: FencingToken,
        confirmed_ends: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, Failure]:
        """Extends the leases of all that runs, confirms ends and asks for the rest."""
        body = wire.Hold(token, confirmed_ends, until_ms, wait_ms)
        timeout_ms = wait_ms + REPORT_TIMEOUT_MS
        answer = await self._send("report", worker, "/hold", body, timeout_ms)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status // 100 != 2:
            return Err(_failure("report", worker, answer.ok_value))
        return decode_report(worker.name, answer.ok_value)

    async def _send(
        self, step: str, worker: ListedWorker, path: str, body: object, timeout_ms: int
    ) -> Result[Response, Failure]:
        return await self._http.call(
            step,
            "POST",
            f"http://{worker.address}{path}",
            body,
            timeout_ms=timeout_ms,
            peer=worker.name,
            extra_headers={"Expect-Instance": worker.name},
        )


def decode_report(worker: WorkerName, response: Response) -> Result[WorkerReport, Failure]:
    """Decodes the answer to a question for a report."""
    try:
        return Ok(_to_report(response.decode(wire.HoldAnswer)))
    except (msgspec.DecodeError, ValueError, KeyError) as error:
        return Err(Failure(FailureKind.INVALID, "report", worker, repr(error)))


def _failure(step: str, worker: ListedWorker, response: Response) -> Failure:
    kinds = {409: FailureKind.CONFLICT, 421: FailureKind.NOT_FOUND}
    unavailable = FailureKind.UNAVAILABLE if response.status in (429, 503) else None
    kind = unavailable or kinds.get(response.status, FailureKind.NO_ANSWER)
    detail = f"status {response.status} {_refusal_text(response)}".strip()
    return Failure(kind, step, worker.name, detail)


def _refusal_text(response: Response) -> str:
    try:
        return str(response.decode(wire.OrderRefused).reason)
    except msgspec.DecodeError:
        return ""


def _task_text(task: TaskName) -> str:
    return f"{task.job}.{task.occurrence}.{task.step}.{task.position}"


def _to_task(text: str) -> TaskName:
    job, occurrence, step, index = text.split(".")
    return TaskName(JobId(job), int(occurrence), int(step), int(index))


def _to_report(answer: wire.HoldAnswer) -> WorkerReport:
    return WorkerReport(
        answer.born,
        answer.clock_ms,
        tuple(_to_running(row) for row in answer.running),
        tuple(
            EndedTask(number, _to_task(task), run, _END_KINDS[kind], checkpoint)
            for number, task, run, kind, checkpoint in answer.finished
        ),
    )


def _to_running(row: list[Any]) -> RunningTask:
    task, run, checkpoint, percent = msgspec.convert(row[:4], tuple[str, int, str, int])
    # The fifth entry is a rough figure that older workers leave out.
    load = msgspec.convert(row[4], float) if len(row) > 4 else 0.0
    return RunningTask(_to_task(task), run, checkpoint, percent, round(load))
