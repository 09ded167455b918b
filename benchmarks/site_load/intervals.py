"""Computes means over seeds with confidence intervals."""

from __future__ import annotations

import math
import statistics

from typing import TYPE_CHECKING

from scipy import stats

if TYPE_CHECKING:
    from collections.abc import Sequence

CONFIDENCE = 0.95


def mean_with_interval(samples: Sequence[float]) -> tuple[float, float]:
    """Returns the mean and the half width of its confidence interval; NaN for a single sample."""
    mean = statistics.fmean(samples)
    if len(samples) < 2:
        return mean, math.nan
    standard_error = statistics.stdev(samples) / math.sqrt(len(samples))
    quantile = float(stats.t.ppf((1 + CONFIDENCE) / 2, len(samples) - 1))
    return mean, quantile * standard_error
