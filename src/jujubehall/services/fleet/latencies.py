"""Latency histograms for the metrics endpoint."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MAX_DURATION_MS = 600_000
SIGNIFICANT_DIGITS = 2
REPORTED_PERCENTILES = (50, 90, 99, 99.9)


class LatencyHistogram:
    """A histogram of durations in milliseconds; longer ones are counted as ten minutes."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS)

    def observe(self, duration_ms: int) -> None:
        """Records one duration."""
        self._histogram.record_value(min(max(1, duration_ms), MAX_DURATION_MS))

    def percentiles(self) -> dict[float, int]:
        """Returns the duration in milliseconds at each reported percentile."""
        return {
            percentile: self._histogram.get_value_at_percentile(percentile)
            for percentile in REPORTED_PERCENTILES
        }

    @property
    def count(self) -> int:
        """The number of durations recorded."""
        return int(self._histogram.get_total_count())
