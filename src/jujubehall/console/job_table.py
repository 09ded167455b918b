"""Jobs as rows of a table."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.jobs.job import JobRecord

JOB_HEADERS = ["Job", "Team", "Kind", "Parts", "State", "Zone", "Attempt", "Workers", "Reason"]


def job_rows(jobs: Iterable[JobRecord]) -> list[tuple[object, ...]]:
    """A row for each job."""
    return [
        (
            job.id,
            job.spec.team,
            job.spec.kind,
            f"{job.spec.parts} x {job.spec.accelerators_per_part}",
            job.state.value,
            job.zone,
            job.attempt,
            placement_text(job),
            job.reason,
        )
        for job in jobs
    ]


def placement_text(job: JobRecord) -> str:
    """The workers of a job with the number of parts on each, for example ``worker-1 x2``."""
    parts = Counter(part.worker for part in job.placement)
    return ", ".join(f"{worker} x{count}" for worker, count in sorted(parts.items()))
