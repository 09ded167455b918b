"""What occupies the workers, and what is lost if it is stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.groups import Phase

if TYPE_CHECKING:
    from jujubehall.core.fleet.delay_cost import DelayCost
    from jujubehall.core.fleet.delay_cost import StopLoss
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.workers import FleetWorker

COMPLETION_MARGIN_MS = 150
"""Added to the expected remaining time of a task: the report of its end takes a few milliseconds,
and progress is only reported in whole percent."""


class Occupant(NamedTuple):
    """The tasks of one group on one worker that are not being stopped."""

    loss: StopLoss
    group: TaskGroup
    needs: Resources
    remaining_ms: float | None
    """Expected time until its last task finishes; None if unknown."""

    def ends_within(self, limit_ms: float) -> bool:
        """Returns whether its tasks are expected to finish within the limit."""
        return self.remaining_ms is not None and self.remaining_ms <= limit_ms


class WorkerOccupants:
    """The occupants of the workers in one scheduling round.

    Every urgent group of a burst examines all workers, so the occupants of a worker are cached for
    the round and recomputed only after a change on that worker.
    """

    def __init__(self, now_ms: int, delay_cost: DelayCost) -> None:
        self._now_ms = now_ms
        self._delay_cost = delay_cost
        self._cached: dict[FleetWorker, list[Occupant]] = {}

    def invalidate(self, group: TaskGroup) -> None:
        """Drops cached occupants of the group's workers after its tasks were placed or stopped."""
        for placement in group.placements.values():
            self._cached.pop(placement.worker, None)

    def of(self, worker: FleetWorker) -> list[Occupant]:
        """Returns the occupants of a worker that are not being stopped, cheapest to stop first."""
        cached = self._cached.get(worker)
        if cached is None:
            cached = self._cached[worker] = self._compute(worker)
        return cached

    def _compute(self, worker: FleetWorker) -> list[Occupant]:
        placements: dict[TaskGroup, list[Placement]] = {}
        for (group, _), placement in worker.placements.items():
            if placement.phase is not Phase.STOPPING:
                placements.setdefault(group, []).append(placement)
        occupants = [
            Occupant(
                self._delay_cost.stop_loss(group),
                group,
                group.occupied_resources.times(len(group_placements)),
                (
                    None
                    if group.request.runs_until_cancelled
                    else _remaining_ms(group_placements, self._now_ms)
                ),
            )
            for group, group_placements in placements.items()
        ]
        return sorted(
            occupants,
            key=lambda each: (sum(each.loss), each.group.job.id, each.group.key),
        )


def _remaining_ms(placements: list[Placement], now_ms: int) -> float | None:
    """Returns the time until all placements should have finished.

    Returns None if that is unknown, a worker is stalled, or the time has passed already.
    """
    longest_ms = 0.0
    for placement in placements:
        remaining_ms = placement.progress.remaining_ms(now_ms)
        if remaining_ms is None or placement.worker.is_stalled(now_ms):
            return None
        longest_ms = max(longest_ms, remaining_ms + COMPLETION_MARGIN_MS)
    return longest_ms or None
