"""What the commands that wait for a job share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import option
from result import Err

from jujubehall.console.configuration_change import parse_number
from jujubehall.console.job_table import JOB_HEADERS
from jujubehall.console.job_table import job_rows
from jujubehall.console.job_table import placement_text
from jujubehall.console.job_waiter import exit_code_of
from jujubehall.console.job_waiter import wait_for_job
from jujubehall.console.site_command import SiteCommand

if TYPE_CHECKING:
    from jujubehall.core.jobs.job import JobRecord

DEFAULT_TIMEOUT_MS = "3600000"
TIMEOUT_OPTION = option(
    "timeout-ms",
    None,
    "How long to wait, in milliseconds.",
    flag=False,
    default=DEFAULT_TIMEOUT_MS,
)


class WaitingCommand(SiteCommand):
    """A command that can wait for a job's end."""

    def wait(self, job: str) -> int:
        """Waits, reporting progress, and shows the job as it ended."""
        timeout = parse_number("--timeout-ms", self.option("timeout-ms"))
        if isinstance(timeout, Err):
            return self.fail(timeout.err_value)
        ended = wait_for_job(self.site, job, timeout.ok_value, self._report)
        if isinstance(ended, Err):
            return self.fail(ended.err_value)
        record: JobRecord = ended.ok_value
        if self.wants_json:
            self.show_json(record)
        else:
            self.show_table(JOB_HEADERS, job_rows([record]))
        return int(exit_code_of(record))

    def _report(self, record: JobRecord) -> None:
        where = placement_text(record)
        on = f" on {where}" if where else ""
        self.say(f"{record.id}: {record.state.value}, attempt {record.attempt}{on}")
