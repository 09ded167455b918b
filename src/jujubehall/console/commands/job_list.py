"""``jujubehall job list``."""

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
    description = "Lists jobs, the latest submission last."
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        option("team", None, "Only jobs of this team.", flag=False),
        option("state", None, "Only jobs in this state, for example running.", flag=False),
    ]

    def handle(self) -> int:
        """Reads and prints the jobs."""
        found = self.site.get("list jobs", "/v1/jobs", list[JobRecord])
        if isinstance(found, Err):
            return self.fail(found.err_value)
        jobs = [job for job in found.ok_value if self._is_wanted(job)]
        jobs.sort(key=lambda job: (job.submitted_unix_ms, job.id))
        if self.wants_json:
            return self.show_json(jobs)
        return self.show_table(JOB_HEADERS, job_rows(jobs))

    def _is_wanted(self, job: JobRecord) -> bool:
        team = self.option("team")
        state = self.option("state")
        return team in (None, job.spec.team) and state in (None, job.state.value)
