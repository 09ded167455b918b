"""Whether a job whose attempt has failed is tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobState

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.identifiers import WorkerName

MAX_FAILED_WORKERS = 3
"""A job ends after it has failed on so many distinct workers."""

MAX_FAILURES = 6
"""A job ends after so many failures, also if they were on fewer workers."""


def after_failure(
    record: JobRecord, worker: WorkerName, is_quarantined: Callable[[WorkerName], bool]
) -> JobRecord:
    """The record after an attempt in which a part failed on ``worker``.

    Failures on quarantined workers don't count, also if the quarantine came after them.
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
