"""Formats job records as table rows."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.jobs.job import JobRecord

JOB_HEADERS = ["Job", "Team", "Kind", "Parts", "State", "Zone", "Attempt", "Workers", "Reason"]


def job_rows(jobs: Iterable[JobRecord]) -> list[tuple[object, ...]]:
    """Returns one row under ``JOB_HEADERS`` for each job."""
    return [
        (
            job.id,
            job.spec.team,
            job.spec.kind,
            f"{job.spec.parts} x {job.spec.accelerators_per_part}",
            job.state.value,
            job.zone,
            job.attempt,
            format_placement(job),
            job.reason,
        )
        for job in jobs
    ]


def format_placement(job: JobRecord) -> str:
    """Lists the workers of a job with the number of parts on each, for example ``worker-1 x2``."""
    parts = Counter(part.worker for part in job.placement)
    return ", ".join(f"{worker} x{count}" for worker, count in sorted(parts.items()))
