"""Retry policy for jobs whose attempt has failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobState

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.identifiers import WorkerName

MAX_FAILED_WORKERS = 3
"""Number of distinct workers on which a job may fail before it ends as failed."""

MAX_FAILURES = 6
"""Number of failures after which a job ends as failed, on however few workers they occurred."""


def apply_failure(
    record: JobRecord, worker: WorkerName, is_quarantined: Callable[[WorkerName], bool]
) -> JobRecord:
    """Returns the job's record after an attempt in which a part failed on ``worker``.

    The job is queued again until a limit is reached. A failure on a quarantined worker is not
    counted. Nor does a worker that was quarantined after an earlier failure count towards
    ``MAX_FAILED_WORKERS``.
    """
    if is_quarantined(worker):
        return msgspec.structs.replace(
            record, state=JobState.QUEUED, reason=f"failed on quarantined worker {worker}"
        )
    workers = tuple(dict.fromkeys((*record.failed_workers, worker)))
    counted = [name for name in workers if not is_quarantined(name)]
    failures = record.failures + 1
    ends = len(counted) >= MAX_FAILED_WORKERS or failures >= MAX_FAILURES
    reason = f"failed {failures} times, on {', '.join(counted)}"
    return msgspec.structs.replace(
        record,
        state=JobState.FAILED if ends else JobState.QUEUED,
        failures=failures,
        failed_workers=workers,
        reason=reason,
    )
