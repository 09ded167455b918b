"""Accelerators that are kept free for expected urgent work.

Urgent jobs may arrive in bursts. Batch work started in each gap between bursts would be preempted
seconds later, and without checkpoints all its progress would be lost.
"""

from __future__ import annotations

import math

PEAK_HALF_LIFE_MS = 8_000
"""Half-life of the recorded demand peak, about the duration of a batch task on these sites."""


class UrgentDemand:
    """Tracks a decaying peak of the accelerators that urgent work used or was waiting for.

    demand = UrgentDemand()
    demand.record(in_use=24, now_ms=0)
    demand.headroom(in_use=8, now_ms=0)   # 16
    """

    def __init__(self) -> None:
        self._peak = 0.0
        self._updated_ms = 0

    def record(self, in_use: int, now_ms: int) -> None:
        """Records the number of accelerators that urgent work uses or is waiting for."""
        self._peak = max(float(in_use), self._decayed_peak(now_ms))
        self._updated_ms = now_ms

    def headroom(self, in_use: int, now_ms: int) -> int:
        """Returns how many accelerators to keep free of work that is expensive to preempt."""
        return max(0, math.floor(self._decayed_peak(now_ms)) - in_use)

    def _decayed_peak(self, now_ms: int) -> float:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        return self._peak * float(0.5 ** (elapsed_ms / PEAK_HALF_LIFE_MS))
