"""Waits until a job reaches a final state."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from urllib.parse import quote

from result import Err
from result import Ok
from result import Result

from jujubehall.clock import system_clock
from jujubehall.clock import to_seconds
from jujubehall.console.call_failure import CallFailure
from jujubehall.console.exit_codes import ExitCode
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobState

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.console.site_client import SiteClient

POLL_INTERVAL_MS = 250
_RETRYABLE_EXIT_CODES = (ExitCode.UNREACHABLE, ExitCode.NOT_RUN, ExitCode.UNKNOWN)


def wait_for_job(
    client: SiteClient, job: str, timeout_ms: int, on_change: Callable[[JobRecord], None]
) -> Result[JobRecord, CallFailure]:
    """Polls a job until it reaches a final state, for at most ``timeout_ms``.

    Calls ``on_change`` with the first record and after each change of state or attempt. Temporary
    failures of entry hosts are retried until the timeout.
    """
    clock = system_clock()
    timeout_at_ms = clock.now_ms + timeout_ms
    reported: tuple[JobState, int] | None = None
    while True:
        result = client.get("show job", job_path(job), JobRecord)
        if isinstance(result, Err) and result.err_value.exit_code not in _RETRYABLE_EXIT_CODES:
            return result
        if isinstance(result, Ok):
            record: JobRecord = result.ok_value
            if (record.state, record.attempt) != reported:
                reported = (record.state, record.attempt)
                on_change(record)
            if record.state.is_final:
                return result
        if clock.now_ms >= timeout_at_ms:
            if isinstance(result, Err):
                return result
            message = f"{job} is {record.state.value} after {timeout_ms} ms"
            return Err(CallFailure(ExitCode.TIMED_OUT, message, "wait for job", "entry host"))
        time.sleep(to_seconds(POLL_INTERVAL_MS))


def job_path(job: str) -> str:
    """Returns the URL path of a job."""
    return f"/v1/jobs/{quote(job, safe='')}"


def exit_code_for(record: JobRecord) -> ExitCode:
    """Returns ``SUCCESS`` for a succeeded job and ``FAILED`` in any other state."""
    return ExitCode.SUCCESS if record.state is JobState.SUCCEEDED else ExitCode.FAILED
