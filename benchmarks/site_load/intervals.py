"""Computes means over seeds with confidence intervals."""

from __future__ import annotations

import math
import statistics

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

CONFIDENCE = 0.95
BISECTIONS = 60
MAX_QUANTILE = 100.0


def mean_with_interval(samples: Sequence[float]) -> tuple[float, float]:
    """Returns the mean and the half width of its confidence interval; NaN for a single sample."""
    mean = statistics.fmean(samples)
    if len(samples) < 2 or not math.isfinite(mean):
        return mean, math.nan
    standard_error = statistics.stdev(samples) / math.sqrt(len(samples))
    return mean, student_quantile(CONFIDENCE, len(samples) - 1) * standard_error


def student_quantile(confidence: float, degrees: int) -> float:
    """Returns t such that a Student variable lies in [-t, t] with probability ``confidence``.

    >>> round(student_quantile(0.95, 9), 3)
    2.262
    """
    low, high = 0.0, MAX_QUANTILE
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if _central_probability(middle, degrees) < confidence:
            low = middle
        else:
            high = middle
    return high


def _central_probability(quantile: float, degrees: int) -> float:
    """Returns the probability of [-t, t]: Abramowitz and Stegun, 26.7.3 and 26.7.4."""
    angle = math.atan(quantile / math.sqrt(degrees))
    is_odd = degrees % 2
    term = math.cos(angle) if is_odd else 1.0
    total = 0.0
    for number in range(2 if is_odd else 1, degrees, 2):
        total += term
        term *= math.cos(angle) ** 2 * number / (number + 1)
    total *= math.sin(angle)
    return 2 / math.pi * (angle + total) if is_odd else total
