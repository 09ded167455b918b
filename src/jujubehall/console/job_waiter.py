"""Waits for a job's end and reports each change on the way."""

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
_TRANSIENT = (ExitCode.UNREACHABLE, ExitCode.NOT_RUN, ExitCode.UNKNOWN)


def wait_for_job(
    site: SiteClient, job: str, timeout_ms: int, report: Callable[[JobRecord], None]
) -> Result[JobRecord, CallFailure]:
    """Polls until the job has ended; an entry host that is away for a while is no failure."""
    clock = system_clock()
    give_up_at_ms = clock.now_ms + timeout_ms
    shown: tuple[JobState, int] | None = None
    while True:
        found = site.get("show job", job_path(job), JobRecord)
        if isinstance(found, Err) and found.err_value.exit_code not in _TRANSIENT:
            return found
        if isinstance(found, Ok):
            record: JobRecord = found.ok_value
            if (record.state, record.attempt) != shown:
                shown = (record.state, record.attempt)
                report(record)
            if record.state.is_final:
                return found
        if clock.now_ms >= give_up_at_ms:
            if isinstance(found, Err):
                return found
            message = f"{job} is {record.state.value} after {timeout_ms} ms"
            return Err(CallFailure(ExitCode.TIMED_OUT, message, "wait for job", "entry host"))
        time.sleep(to_seconds(POLL_INTERVAL_MS))


def job_path(job: str) -> str:
    """The path of a job's record."""
    return f"/v1/jobs/{quote(job, safe='')}"


def exit_code_of(record: JobRecord) -> ExitCode:
    """Success only for a job that ran to its end."""
    return ExitCode.SUCCESS if record.state is JobState.SUCCEEDED else ExitCode.FAILED
