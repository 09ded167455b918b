"""Histograms of durations, for the metrics page."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
SHOWN_PERCENTILES = (50, 90, 99, 99.9)


class Latencies:
    """Durations in milliseconds, up to ten minutes."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_MS, SIGNIFICANT_DIGITS)

    def observe(self, duration_ms: int) -> None:
        """Counts one duration."""
        self._histogram.record_value(min(max(1, duration_ms), HIGHEST_MS))

    def percentiles(self) -> dict[float, int]:
        """The shown percentiles."""
        return {
            share: self._histogram.get_value_at_percentile(share) for share in SHOWN_PERCENTILES
        }

    @property
    def count(self) -> int:
        """How many durations have been counted."""
        return int(self._histogram.get_total_count())
