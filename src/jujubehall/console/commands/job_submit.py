"""``jujubehall job submit``."""

from __future__ import annotations

import uuid

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

import msgspec

from cleo.helpers import option
from result import Err
from result import Ok
from result import Result

from jujubehall.callers.messages import Submission
from jujubehall.console.call_failure import CallFailure
from jujubehall.console.exit_codes import ExitCode
from jujubehall.console.input_file import read_input
from jujubehall.console.job_table import JOB_HEADERS
from jujubehall.console.job_table import job_rows
from jujubehall.console.registry import register
from jujubehall.console.site_command import SITE_OPTIONS
from jujubehall.console.waiting_command import TIMEOUT_OPTION
from jujubehall.console.waiting_command import WaitingCommand
from jujubehall.core.jobs.job import JobRecord
from jujubehall.identifiers import JobId

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

_NUMBERS = ("parts", "accelerators-per-part", "cores-per-part", "memory-gb-per-part", "run-time-ms")
_TEXTS = ("team", "kind", "command")


@register
class JobSubmitCommand(WaitingCommand):
    """Submits jobs."""

    name = "job submit"
    description = "Submits one job given by options, or the jobs of a JSON file."
    options: ClassVar[list[Option]] = [
        *SITE_OPTIONS,
        TIMEOUT_OPTION,
        option("file", None, 'A JSON list of {"id": ..., "spec": {...}}.', flag=False),
        option("id", None, "The job's identifier; makes a repeat harmless.", flag=False),
        option("team", None, "The team.", flag=False),
        option("kind", None, "The kind of work, for example mix-render.", flag=False),
        option("parts", None, "How many parts run together or not at all.", flag=False),
        option("accelerators-per-part", None, "Accelerators of each part.", flag=False),
        option("cores-per-part", None, "Cores of each part.", flag=False),
        option("memory-gb-per-part", None, "Memory of each part in GB.", flag=False),
        option("run-time-ms", None, "A guess of the run time in milliseconds.", flag=False),
        option("command", None, "What the parts run.", flag=False),
        option("urgent", None, "Starts before work that isn't urgent."),
        option("scattered", None, "The parts need not be in one rack."),
        option("wait", None, "Wait for the end of each job."),
    ]

    def handle(self) -> int:
        """Submits each job, then waits if asked to."""
        read = self._read()
        if isinstance(read, Err):
            return self.fail(read.err_value)
        records: list[JobRecord] = []
        for submission in read.ok_value:
            submitted = self.site.call("submit job", "POST", "/v1/jobs", JobRecord, submission)
            if isinstance(submitted, Err):
                return self.fail(submitted.err_value)
            records.append(submitted.ok_value)
        if self.option("wait"):
            return max([self.wait(record.id) for record in records], default=0)
        if self.wants_json:
            return self.show_json(records)
        return self.show_table(JOB_HEADERS, job_rows(records))

    def _read(self) -> Result[list[Submission], CallFailure]:
        if self.option("file"):
            read = read_input(Path(self.option("file")), list[Submission])
            return read.map(lambda submissions: [_named(each) for each in submissions])
        try:
            submission = msgspec.convert(
                {"spec": self._spec(), "id": self.option("id")}, Submission, strict=False
            )
        except msgspec.ValidationError as error:
            message = f"{error}; give --file, or --team, --kind, --parts, --accelerators-per-part"
            return Err(CallFailure(ExitCode.INVALID, message, "read arguments", "operator"))
        return Ok([_named(submission)])

    def _spec(self) -> dict[str, Any]:
        spec: dict[str, Any] = {
            "urgent": bool(self.option("urgent")),
            "adjacent": not self.option("scattered"),
        }
        for name in (*_NUMBERS, *_TEXTS):
            if self.option(name) is not None:
                spec[name.replace("-", "_")] = self.option(name)
        return spec


def _named(submission: Submission) -> Submission:
    """Gives a job its identifier here, so that a repeat after a lost answer is harmless."""
    if submission.id:
        return submission
    return msgspec.structs.replace(submission, id=JobId(f"job-{uuid.uuid4().hex[:16]}"))
