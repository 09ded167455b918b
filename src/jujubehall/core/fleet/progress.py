"""How fast a run goes on, from the progress that its worker reports."""

from __future__ import annotations

MIN_SAMPLE_MS = 400
"""Samples closer together say little: progress is reported in whole percents."""

WHOLE = 100


class RunProgress:
    """Percentages over time of one run.

    progress = RunProgress(started_ms=0)
    progress.note(20, 1_000)
    progress.duration_ms   # 5000
    """

    def __init__(self, started_ms: int, is_from_scratch: bool = True) -> None:
        # A run that goes on from a checkpoint, or was started by another owner, has done an
        # unknown part of its work already when it is first reported.
        self._has_baseline = is_from_scratch
        self.is_from_scratch = is_from_scratch
        self._percent = 0
        self._sampled_ms = started_ms
        self._advanced_ms = started_ms
        self._reported_ms = started_ms
        self._best_ms: float | None = None
        self._recent_ms: float | None = None

    @property
    def percent(self) -> int:
        """How much of the work is done."""
        return self._percent

    @property
    def duration_ms(self) -> float | None:
        """What the whole run would take at the speed of the last sample; None before one."""
        return self._recent_ms

    @property
    def best_duration_ms(self) -> float | None:
        """What the whole run would take at the highest speed that it has had."""
        return self._best_ms

    def remaining_ms(self, now_ms: int) -> float | None:
        """What is left at the speed of the last sample; None before one."""
        if self._recent_ms is None:
            return None
        return self._recent_ms * (WHOLE - self._percent) / WHOLE - (now_ms - self._sampled_ms)

    @property
    def standing_ms(self) -> int:
        """For how long reports have shown no progress; 0 for a run that waits for its gang."""
        if self._percent >= WHOLE:
            return 0
        return self._reported_ms - self._advanced_ms

    def note(self, percent: int, now_ms: int) -> None:
        """Takes in a report."""
        self._reported_ms = now_ms
        if not self._has_baseline:
            self._has_baseline = True
            self._percent = percent
            self._sampled_ms = self._advanced_ms = now_ms
            return
        if percent <= self._percent or percent >= WHOLE:
            self._percent = max(self._percent, percent)
            return
        self._advanced_ms = now_ms
        elapsed_ms = now_ms - self._sampled_ms
        if elapsed_ms < MIN_SAMPLE_MS:
            return
        self._recent_ms = elapsed_ms * WHOLE / (percent - self._percent)
        if self._best_ms is None or self._recent_ms < self._best_ms:
            self._best_ms = self._recent_ms
        self._percent = percent
        self._sampled_ms = now_ms
