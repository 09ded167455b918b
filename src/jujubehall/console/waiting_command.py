"""Base class of the commands that wait for a job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import option
from result import Err

from jujubehall.console.configuration_change import parse_non_negative_int
from jujubehall.console.job_table import JOB_HEADERS
from jujubehall.console.job_table import format_placement
from jujubehall.console.job_table import job_rows
from jujubehall.console.job_waiter import exit_code_for
from jujubehall.console.job_waiter import wait_for_job
from jujubehall.console.site_command import SiteCommand

if TYPE_CHECKING:
    from jujubehall.core.jobs.job import JobRecord

DEFAULT_JOB_TIMEOUT_MS = "3600000"
TIMEOUT_OPTION = option(
    "timeout-ms",
    None,
    "Maximum time to wait for the end of the job, in milliseconds.",
    flag=False,
    default=DEFAULT_JOB_TIMEOUT_MS,
)


class WaitingCommand(SiteCommand):
    """Base class of the commands that can wait until a job has ended."""

    def wait(self, job: str) -> int:
        """Waits until a job has ended, printing its changes, then prints its final record.

        Returns the exit code.
        """
        timeout = parse_non_negative_int("--timeout-ms", self.option("timeout-ms"))
        if isinstance(timeout, Err):
            return self.show_failure(timeout.err_value)
        result = wait_for_job(self.client, job, timeout.ok_value, self._report)
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        record: JobRecord = result.ok_value
        if self.wants_json:
            self.show_json(record)
        else:
            self.show_table(JOB_HEADERS, job_rows([record]))
        return int(exit_code_for(record))

    def _report(self, record: JobRecord) -> None:
        placement = format_placement(record)
        location = f" on {placement}" if placement else ""
        self.show_text(f"{record.id}: {record.state.value}, attempt {record.attempt}{location}")
