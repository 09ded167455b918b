"""Amounts of work: resources multiplied by the time for which they are occupied."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from jujubehall.core.fleet.resources import Resources


class Work(NamedTuple):
    """Accelerators, millicores and megabytes of memory, each multiplied by a time in ms.

    ``work_of(Resources(accelerators=2), 500).duration_on(Resources(accelerators=8))`` is 125.0.
    """

    accelerator_ms: float = 0.0
    millicore_ms: float = 0.0
    memory_mb_ms: float = 0.0

    def plus(self, other: Work, factor: float = 1.0) -> Work:
        """Returns the sum of this amount and ``factor`` times another one."""
        return Work(
            self.accelerator_ms + factor * other.accelerator_ms,
            self.millicore_ms + factor * other.millicore_ms,
            self.memory_mb_ms + factor * other.memory_mb_ms,
        )

    def duration_on(self, capacity: Resources) -> float:
        """Returns how many ms all of ``capacity`` needs, without any fragmentation.

        Returns 0 for resources of which ``capacity`` has none.
        """
        return max(
            amount / available if available else 0.0
            for amount, available in (
                (self.accelerator_ms, capacity.accelerators),
                (self.millicore_ms, capacity.millicores),
                (self.memory_mb_ms, capacity.memory_mb),
            )
        )


NO_WORK = Work()
UNLIMITED_WORK = Work(math.inf, math.inf, math.inf)


def work_of(needs: Resources, duration_ms: float) -> Work:
    """Returns the work of a task that needs ``needs`` for ``duration_ms``."""
    return Work(
        needs.accelerators * duration_ms,
        needs.millicores * duration_ms,
        needs.memory_mb * duration_ms,
    )
