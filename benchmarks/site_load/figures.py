"""Figures of a day: what callers got, and what it cost."""

from __future__ import annotations

import math
import statistics

from typing import TYPE_CHECKING

from benchmarks.site_load.shapes import TRAFFIC_MS
from jujubehall.core.fleet.resources import MILLICORES_PER_ACCELERATOR

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks.site_load.replay import DayOutcome
    from benchmarks.site_load.replay import JobOutcome

WINDOW_MS = 2_000
LEAST_IN_WINDOW = 3
"""Windows with fewer jobs say little about the worst one."""


def day_figures(outcome: DayOutcome) -> dict[str, float]:
    """What callers got on one day, by name of the figure."""
    figures = {"credit share": _credit_share(outcome.jobs), "worst window": _worst_window(outcome)}
    for name in sorted({each.job.shape.queue.name for each in outcome.jobs}):
        jobs = [each for each in outcome.jobs if each.job.shape.queue.name == name]
        waits = sorted(
            outcome.first_starts_ms.get(each.job.id, math.inf) - each.job.submitted_ms
            for each in jobs
        )
        figures |= {
            f"{name} in time": statistics.fmean(each.credit == 1.0 for each in jobs),
            f"{name} late": statistics.fmean(0 < each.credit < 1 for each in jobs),
            f"{name} wait p90 ms": waits[int(0.9 * len(waits))],
        }
    return figures | {
        "lost core-s": outcome.lost_core_s,
        "round ms": outcome.round_ms / max(1, outcome.rounds),
    }


def _credit_share(jobs: Sequence[JobOutcome]) -> float:
    owed = sum(_weight(each) for each in jobs)
    earned = sum(_weight(each) * each.credit for each in jobs)
    return earned / owed if owed else 1.0


def _weight(each: JobOutcome) -> float:
    """What a job is worth: larger jobs of a queue more, up to four times."""
    shape = each.job.shape
    accelerators = statistics.fmean(shape.accelerators)
    cores = (shape.needs.millicores + MILLICORES_PER_ACCELERATOR * accelerators) / 1_000
    mean = shape.tasks * shape.work_ms * cores
    return shape.worth * min(4.0, 0.3 + 0.7 * each.job.core_ms / mean)


def _worst_window(outcome: DayOutcome) -> float:
    """The mean of the two windows in which callers got least."""
    shares = []
    for began_ms in range(0, TRAFFIC_MS, WINDOW_MS):
        jobs = [
            each
            for each in outcome.jobs
            if began_ms <= each.job.submitted_ms < began_ms + WINDOW_MS
        ]
        if len(jobs) >= LEAST_IN_WINDOW:
            shares.append(_credit_share(jobs))
    return statistics.fmean(sorted(shares)[:2]) if shares else 1.0
