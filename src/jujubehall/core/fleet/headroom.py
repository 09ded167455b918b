"""Accelerators kept free for urgent work that is likely to come.

Answers loads in which urgent jobs come in bursts: batch work that is started in every gap is stopped
again seconds later, and without checkpoints all that it has done is thrown away.
"""

from __future__ import annotations

import math

HALF_LIFE_MS = 8_000
"""How fast the memory of a peak fades: about the length of a batch task on these sites."""


class UrgentDemand:
    """Remembers the recent peak of accelerators that urgent work used or waited for.

    demand = UrgentDemand()
    demand.note(in_use=24, now_ms=0)
    demand.headroom(in_use=8, now_ms=0)   # 16
    """

    def __init__(self) -> None:
        self._peak = 0.0
        self._noted_ms = 0

    def note(self, in_use: int, now_ms: int) -> None:
        """Takes in what urgent work uses and waits for now."""
        self._peak = max(float(in_use), self._faded(now_ms))
        self._noted_ms = now_ms

    def headroom(self, in_use: int, now_ms: int) -> int:
        """How many accelerators to keep free of work that can't be interrupted cheaply."""
        return max(0, math.floor(self._faded(now_ms)) - in_use)

    def _faded(self, now_ms: int) -> float:
        elapsed_ms = max(0, now_ms - self._noted_ms)
        return self._peak * float(0.5 ** (elapsed_ms / HALF_LIFE_MS))
