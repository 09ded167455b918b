"""Run-time estimates based on finished jobs, since declared run times are inaccurate."""

from __future__ import annotations

import math

from bisect import bisect_right
from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING

from jujubehall.identifiers import TeamName

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jujubehall.core.jobs.job import JobSpec

MAX_SAMPLES_PER_HISTORY = 32
"""Number of most recent finished jobs kept for each team and kind."""

MAX_HISTORIES = 1_000
"""Number of (team, kind) histories kept; the least recently updated is evicted first."""

MIN_SAMPLES_PER_HISTORY = 4
"""With fewer finished jobs than this, the declared run time is the better estimate."""

OVERRUN_FACTOR = 0.5
"""Expected remaining time, as a share of its age, of a job older than all past run times."""


class RunTimeHistory:
    """Recent run times of one team's jobs of one kind and their ratios to the declared times."""

    def __init__(self) -> None:
        self._run_times = deque[float](maxlen=MAX_SAMPLES_PER_HISTORY)
        self._ratios = deque[float](maxlen=MAX_SAMPLES_PER_HISTORY)
        self._sorted_run_times: list[float] = []
        self._ratios_vary_less = False
        self._sorted_ratios: list[float] = []

    def add(self, run_time_ms: int, declared_ms: int) -> None:
        """Adds the actual and the declared run time of a finished job."""
        self._run_times.append(max(1.0, run_time_ms))
        self._ratios.append(max(1.0, run_time_ms) / declared_ms)
        self._sorted_run_times = sorted(self._run_times)
        self._sorted_ratios = sorted(self._ratios)
        self._ratios_vary_less = _log_interquartile_range(
            self._sorted_ratios
        ) < _log_interquartile_range(self._sorted_run_times)

    def run_times(self, declared_ms: int) -> Sequence[float]:
        """Returns sorted sample run times in milliseconds, empty if there are too few.

        The samples are past run times, or past ratios applied to ``declared_ms`` if the ratios
        vary less.
        """
        if len(self._sorted_run_times) < MIN_SAMPLES_PER_HISTORY:
            return ()
        if self._ratios_vary_less:
            return [ratio * declared_ms for ratio in self._sorted_ratios]
        return self._sorted_run_times


class RunTimeEstimates:
    """Estimates run times by team and kind of job; falls back to the declared run time."""

    def __init__(self) -> None:
        self._histories = OrderedDict[tuple[TeamName, str], RunTimeHistory]()

    def record(self, spec: JobSpec, run_time_ms: int) -> None:
        """Records the run time of a job that ran to completion."""
        key = (spec.team, spec.kind)
        history = self._histories.setdefault(key, RunTimeHistory())
        history.add(run_time_ms, spec.run_time_ms)
        self._histories.move_to_end(key)
        if len(self._histories) > MAX_HISTORIES:
            self._histories.popitem(last=False)

    def run_time_ms(self, spec: JobSpec, quantile: float = 0.5) -> int:
        """Returns the expected run time of a job that has not started."""
        history = self._histories.get((spec.team, spec.kind))
        run_times = history.run_times(spec.run_time_ms) if history else ()
        return int(_quantile(run_times, quantile)) if run_times else spec.run_time_ms

    def remaining_ms(self, spec: JobSpec, age_ms: int, quantile: float = 0.5) -> int:
        """Returns the expected remaining run time of a job that has run for ``age_ms``.

        Only samples that exceed ``age_ms`` are considered. If the job has run longer than all of
        them, the estimate grows in proportion to its age.
        """
        history = self._histories.get((spec.team, spec.kind))
        run_times = history.run_times(spec.run_time_ms) if history else ()
        longer = run_times[bisect_right(run_times, age_ms) :]
        if not run_times and spec.run_time_ms > age_ms:
            longer = [float(spec.run_time_ms)]
        if not longer:
            return max(1, int(age_ms * OVERRUN_FACTOR))
        return max(1, int(_quantile(longer, quantile)) - age_ms)


def _quantile(sorted_values: Sequence[float], quantile: float) -> float:
    return sorted_values[min(len(sorted_values) - 1, int(len(sorted_values) * quantile))]


def _log_interquartile_range(sorted_values: Sequence[float]) -> float:
    """Returns the difference between the logarithms of the upper and lower quartiles."""
    return math.log(_quantile(sorted_values, 0.75) / _quantile(sorted_values, 0.25))
