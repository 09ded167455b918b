"""Estimates the speed of a run from the progress that its worker reports."""

from __future__ import annotations

MIN_SAMPLE_INTERVAL_MS = 400
"""Samples closer together are inaccurate, because progress is reported in whole percent."""

COMPLETE_PERCENT = 100


class RunProgress:
    """The reported progress of one run over time.

    progress = RunProgress(started_ms=0)
    progress.record(20, 1_000)
    progress.duration_ms   # 5000
    """

    def __init__(self, started_ms: int, is_from_scratch: bool = True) -> None:
        # A run that resumed from a checkpoint, or that another owner started, has already done an
        # unknown part of its work at its first report.
        self._has_baseline = is_from_scratch
        self.is_from_scratch = is_from_scratch
        self.baseline: tuple[int, int] | None = None
        """Percentage and time of the first report of a run that was not seen from its beginning."""

        self._percent = 0
        self._last_sample_ms = started_ms
        self._last_advance_ms = started_ms
        self._last_report_ms = started_ms
        self._best_duration_ms: float | None = None
        self._recent_duration_ms: float | None = None

    @property
    def percent(self) -> int:
        """The completed share of the work in percent."""
        return self._percent

    @property
    def duration_ms(self) -> float | None:
        """Estimated total duration at the speed of the last sample; None without a sample."""
        return self._recent_duration_ms

    @property
    def best_duration_ms(self) -> float | None:
        """Estimated total duration at the highest speed sampled; None without a sample."""
        return self._best_duration_ms

    def remaining_ms(self, now_ms: int) -> float | None:
        """Returns the estimated remaining time at the last sampled speed; None without a sample."""
        if self._recent_duration_ms is None:
            return None
        return self._recent_duration_ms * (COMPLETE_PERCENT - self._percent) / COMPLETE_PERCENT - (
            now_ms - self._last_sample_ms
        )

    @property
    def stalled_ms(self) -> int:
        """How long reports have shown no progress.

        Always 0 for a run at 100 percent, which is waiting for the other members of its gang.
        """
        if self._percent >= COMPLETE_PERCENT:
            return 0
        return self._last_report_ms - self._last_advance_ms

    def record(self, percent: int, now_ms: int) -> None:
        """Records a progress report."""
        self._last_report_ms = now_ms
        if not self._has_baseline:
            self._has_baseline = True
            self._percent = percent
            self.baseline = (percent, now_ms)
            self._last_sample_ms = self._last_advance_ms = now_ms
            return
        if percent <= self._percent or percent >= COMPLETE_PERCENT:
            self._percent = max(self._percent, percent)
            return
        self._last_advance_ms = now_ms
        elapsed_ms = now_ms - self._last_sample_ms
        if elapsed_ms < MIN_SAMPLE_INTERVAL_MS:
            return
        self._recent_duration_ms = elapsed_ms * COMPLETE_PERCENT / (percent - self._percent)
        if self._best_duration_ms is None or self._recent_duration_ms < self._best_duration_ms:
            self._best_duration_ms = self._recent_duration_ms
        self._percent = percent
        self._last_sample_ms = now_ms
