"""Learns how long jobs really run, since declared times are far off."""

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

MAX_SAMPLES = 32
MAX_HISTORIES = 1_000
MIN_SAMPLES = 4
"""Fewer finished jobs than this say less than the declared time."""

OVERRUN_FACTOR = 0.5
"""A job that outlived every earlier one is expected to run this much of its age longer."""


class History:
    """The last run times of one team's jobs of one kind, with their ratios to the declared ones."""

    def __init__(self) -> None:
        self._run_times = deque[float](maxlen=MAX_SAMPLES)
        self._ratios = deque[float](maxlen=MAX_SAMPLES)
        self._sorted_run_times: list[float] = []
        self._ratios_are_tighter = False
        self._sorted_ratios: list[float] = []

    def add(self, run_time_ms: int, declared_ms: int) -> None:
        """Adds a finished job."""
        self._run_times.append(max(1.0, run_time_ms))
        self._ratios.append(max(1.0, run_time_ms) / declared_ms)
        self._sorted_run_times = sorted(self._run_times)
        self._sorted_ratios = sorted(self._ratios)
        self._ratios_are_tighter = _spread(self._sorted_ratios) < _spread(self._sorted_run_times)

    def run_times(self, declared_ms: int) -> Sequence[float]:
        """Sorted run times to expect, by whichever of time and ratio scattered less; or none."""
        if len(self._sorted_run_times) < MIN_SAMPLES:
            return ()
        if self._ratios_are_tighter:
            return [ratio * declared_ms for ratio in self._sorted_ratios]
        return self._sorted_run_times


class RunTimeEstimates:
    """Estimates run times by team and kind, from finished jobs where there are enough."""

    def __init__(self) -> None:
        self._histories = OrderedDict[tuple[TeamName, str], History]()

    def record(self, spec: JobSpec, run_time_ms: int) -> None:
        """Learns from a job that ran to its end."""
        key = (spec.team, spec.kind)
        history = self._histories.setdefault(key, History())
        history.add(run_time_ms, spec.run_time_ms)
        self._histories.move_to_end(key)
        if len(self._histories) > MAX_HISTORIES:
            self._histories.popitem(last=False)

    def run_time_ms(self, spec: JobSpec, quantile: float = 0.5) -> int:
        """The expected run time of a job that has not started."""
        history = self._histories.get((spec.team, spec.kind))
        run_times = history.run_times(spec.run_time_ms) if history else ()
        return int(_quantile(run_times, quantile)) if run_times else spec.run_time_ms

    def remaining_ms(self, spec: JobSpec, age_ms: int, quantile: float = 0.5) -> int:
        """The expected rest of a job that has run for ``age_ms``.

        Only earlier jobs that ran at least as long count; beyond all of them, the rest grows
        with the age.
        """
        history = self._histories.get((spec.team, spec.kind))
        run_times = history.run_times(spec.run_time_ms) if history else ()
        longer = run_times[bisect_right(run_times, age_ms) :]
        if not run_times and spec.run_time_ms > age_ms:
            longer = [float(spec.run_time_ms)]
        if not longer:
            return max(1, int(age_ms * OVERRUN_FACTOR))
        return max(1, int(_quantile(longer, quantile)) - age_ms)


def _quantile(ordered: Sequence[float], quantile: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]


def _spread(ordered: Sequence[float]) -> float:
    """The interquartile range on a logarithmic scale."""
    return math.log(_quantile(ordered, 0.75) / _quantile(ordered, 0.25))
