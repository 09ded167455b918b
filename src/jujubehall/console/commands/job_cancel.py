"""The command ``jujubehall job cancel``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import argument
from result import Err

from jujubehall.console.job_table import JOB_HEADERS
from jujubehall.console.job_table import job_rows
from jujubehall.console.job_waiter import job_path
from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.core.jobs.job import JobRecord

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


@register
class JobCancelCommand(SiteCommand):
    """Requests the cancellation of a job."""

    name = "job cancel"
    description = "Requests the cancellation of a job."
    arguments: ClassVar[list[Argument]] = [argument("job", "Identifier of the job.")]
    options: ClassVar[list[Option]] = SITE_OPTIONS

    def handle(self) -> int:
        """Cancels the job, prints its current record and returns the exit code."""
        path = job_path(self.argument("job"))
        result = self.client.call("cancel job", "DELETE", path, JobRecord)
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        if self.wants_json:
            return self.show_json(result.ok_value)
        return self.show_table(JOB_HEADERS, job_rows([result.ok_value]))
