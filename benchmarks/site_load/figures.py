"""Computes the figures of one day: the service that callers got, and its cost."""

from __future__ import annotations

import math
import statistics

from typing import TYPE_CHECKING

from benchmarks.site_load.shapes import ARRIVAL_PERIOD_MS
from jujubehall.core.fleet.resources import MILLICORES_PER_ACCELERATOR

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks.site_load.replay import DayOutcome
    from benchmarks.site_load.replay import JobOutcome
    from jujubehall.identifiers import TeamName

WINDOW_MS = 2_000
MIN_JOBS_PER_WINDOW = 3
"""Windows with fewer jobs are ignored: their credit share says little about the worst window."""


def day_figures(
    outcome: DayOutcome, without_refusals: DayOutcome | None = None
) -> dict[str, float]:
    """Returns the figures of one day by name.

    With the outcome of the same day without refusals, they include the shares of wrong refusals
    and admissions.
    """
    figures = {"credit share": _credit_share(outcome.jobs), "worst window": _worst_window(outcome)}
    figures |= _team_figures(outcome.jobs)
    if without_refusals is not None:
        figures |= _refusal_figures(outcome.jobs, without_refusals.jobs)
    for name in sorted({job_outcome.job.shape.queue.name for job_outcome in outcome.jobs}):
        jobs = [
            job_outcome for job_outcome in outcome.jobs if job_outcome.job.shape.queue.name == name
        ]
        waits = sorted(
            outcome.first_starts_ms.get(job_outcome.job.id, math.inf) - job_outcome.job.submitted_ms
            for job_outcome in jobs
            if not job_outcome.is_refused
        ) or [math.nan]
        figures |= {
            f"{name} in time": statistics.fmean(job_outcome.credit == 1.0 for job_outcome in jobs),
            f"{name} late": statistics.fmean(0 < job_outcome.credit < 1 for job_outcome in jobs),
            f"{name} never": statistics.fmean(
                job_outcome.credit == 0 and not job_outcome.is_refused for job_outcome in jobs
            ),
            f"{name} refused": statistics.fmean(job_outcome.is_refused for job_outcome in jobs),
            f"{name} wait p50 ms": waits[len(waits) // 2],
            f"{name} wait p90 ms": waits[int(0.9 * len(waits))],
        }
    return figures | {
        "lost core-s": outcome.lost_core_s,
        "round ms": outcome.round_ms / max(1, outcome.rounds),
    }


def _team_figures(jobs: Sequence[JobOutcome]) -> dict[str, float]:
    """Returns the credit share of the worst-served team and the tenth percentile of the teams."""
    jobs_by_team: dict[TeamName, list[JobOutcome]] = {}
    for job_outcome in jobs:
        jobs_by_team.setdefault(job_outcome.job.team, []).append(job_outcome)
    shares = [_credit_share(team_jobs) for team_jobs in jobs_by_team.values()]
    if len(shares) < 2:
        return {}
    return {
        "worst tenth of teams": statistics.quantiles(shares, n=10, method="inclusive")[0],
        "worst team": min(shares),
    }


def _refusal_figures(
    jobs: Sequence[JobOutcome], without_refusals: Sequence[JobOutcome]
) -> dict[str, float]:
    """Returns the shares of jobs that were refused or admitted wrongly.

    A refusal is wrong if the job is in time without refusals; an admission, if the job is not in
    time with them.
    """
    in_time = {each.job.id for each in without_refusals if each.credit == 1.0}
    return {
        "wrongly refused": statistics.fmean(
            each.is_refused and each.job.id in in_time for each in jobs
        ),
        "wrongly admitted": statistics.fmean(
            not each.is_refused and each.credit < 1.0 for each in jobs
        ),
    }


def _credit_share(jobs: Sequence[JobOutcome]) -> float:
    total_value = sum(_job_value(job_outcome) for job_outcome in jobs)
    credited_value = sum(_job_value(job_outcome) * job_outcome.credit for job_outcome in jobs)
    return credited_value / total_value if total_value else 1.0


def _job_value(job_outcome: JobOutcome) -> float:
    """Returns the value of a job, which grows with its size up to four times its queue's value."""
    shape = job_outcome.job.shape
    accelerators = statistics.fmean(shape.accelerators)
    cores = (shape.needs.millicores + MILLICORES_PER_ACCELERATOR * accelerators) / 1_000
    mean_core_ms = shape.tasks * shape.work_ms * cores
    return shape.full_value * min(4.0, 0.3 + 0.7 * job_outcome.job.core_ms / mean_core_ms)


def _worst_window(outcome: DayOutcome) -> float:
    """Returns the mean credit share of the two windows with the lowest credit shares."""
    shares = []
    for window_start_ms in range(0, ARRIVAL_PERIOD_MS, WINDOW_MS):
        jobs = [
            job_outcome
            for job_outcome in outcome.jobs
            if window_start_ms <= job_outcome.job.submitted_ms < window_start_ms + WINDOW_MS
        ]
        if len(jobs) >= MIN_JOBS_PER_WINDOW:
            shares.append(_credit_share(jobs))
    return statistics.fmean(sorted(shares)[:2]) if shares else 1.0
