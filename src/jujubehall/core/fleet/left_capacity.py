"""How long work takes at least on the capacity that runs leave to it until they end."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.work import work_of

if TYPE_CHECKING:
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.work import Work


class RunningTask(NamedTuple):
    """What a run occupies, and for how long it still does."""

    occupied: Resources
    remaining_ms: float


class LeftCapacity:
    """The capacity of a pool over time, less what its runs occupy until they end.

    With 8 accelerators, of which a run occupies 6 for another second, 4,000 accelerator-ms take
    1,250 ms.
    """

    def __init__(self, capacity: Resources, runs: list[RunningTask]) -> None:
        runs = sorted(runs, key=lambda each: each.remaining_ms)
        ends_ms = [each.remaining_ms for each in runs]
        occupied = [work_of(each.occupied, 1) for each in runs]
        amounts = zip(*occupied, strict=True) if occupied else ((), (), ())
        self._resources = [
            _LeftResource(available, list(zip(ends_ms, each, strict=True)))
            for available, each in zip(work_of(capacity, 1), amounts, strict=True)
        ]

    def duration_ms(self, work: Work) -> float:
        """Returns how long the work takes, without any fragmentation.

        That is the smallest t for which the work, and what the runs do until t, aren't more than
        the whole capacity does until t. It is 0 for resources of which there are none.
        """
        return max(
            resource.duration_ms(amount)
            for resource, amount in zip(self._resources, work, strict=True)
        )


class _LeftResource:
    def __init__(self, capacity: float, runs: list[tuple[float, float]]) -> None:
        self._capacity = capacity
        self._times_ms = [0.0]
        self._done = [0.0]
        """The work that can have been done at each of the times; negative while more is occupied
        than there is."""

        self._rates = [capacity - sum(amount for _, amount in runs)]
        for end_ms, amount in runs:
            elapsed_ms = end_ms - self._times_ms[-1]
            self._done.append(self._done[-1] + self._rates[-1] * elapsed_ms)
            self._times_ms.append(end_ms)
            self._rates.append(self._rates[-1] + amount)
        # The rate only grows, so that these are in ascending order.
        self._ascending = [max(0.0, each) for each in self._done]

    def duration_ms(self, work: float) -> float:
        if not self._capacity or work <= 0:
            return 0.0
        index = bisect_left(self._ascending, work) - 1
        return self._times_ms[index] + (work - self._done[index]) / self._rates[index]
