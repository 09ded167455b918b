"""The command ``jujubehall job list``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from cleo.helpers import option
from result import Err

from jujubehall.console.job_table import JOB_HEADERS
from jujubehall.console.job_table import job_rows
from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.site_command import SiteCommand
from jujubehall.core.jobs.job import JobRecord

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option


@register
class JobListCommand(SiteCommand):
    """Lists jobs."""

    name = "job list"
    description = "Lists jobs in the order of their submission."
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option("team", None, "Show only the jobs of this team.", flag=False),
        option("state", None, "Show only the jobs in this state, for example running.", flag=False),
    ]

    def handle(self) -> int:
        """Reads and prints the jobs, and returns the exit code."""
        result = self.client.get("list jobs", "/v1/jobs", list[JobRecord])
        if isinstance(result, Err):
            return self.show_failure(result.err_value)
        jobs = [job for job in result.ok_value if self._matches_filters(job)]
        jobs.sort(key=lambda job: (job.submitted_unix_ms, job.id))
        if self.wants_json:
            return self.show_json(jobs)
        return self.show_table(JOB_HEADERS, job_rows(jobs))

    def _matches_filters(self, job: JobRecord) -> bool:
        team = self.option("team")
        state = self.option("state")
        return team in (None, job.spec.team) and state in (None, job.state.value)
