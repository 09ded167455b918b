"""Which workers are fast enough for a group to end within its latency objective.

Urgent groups are placed on the fastest workers with room for them. Other groups are placed on the
slowest workers on which they are still expected to be in time, so that fast workers stay free for
urgent work. Where the workers are alike, all of this has no effect.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY
from jujubehall.core.fleet.worker_speed import FASTEST_CLASS
from jujubehall.core.fleet.worker_speed import SLOWEST_CLASS
from jujubehall.core.fleet.worker_speed import SPEED_CLASS_RATIO

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker

START_AND_END_MS = 100
"""Time from a placement until its tasks work, and from their end until the job's end is stored."""

FACTOR_MARGIN = 1.08
"""Work must be expected to end in time even if a worker takes longer than learned by this factor."""

MAX_FACTOR = float(SPEED_CLASS_RATIO ** (SLOWEST_CLASS + 0.5))
MIN_FACTOR = float(SPEED_CLASS_RATIO ** (FASTEST_CLASS - 0.5))

TOO_SLOW_RANK = 2 * SLOWEST_CLASS
"""Added to the rank of workers on which a group is expected to be late."""


class SpeedPreference(NamedTuple):
    """The order in which a group uses workers of different speed."""

    slowest_class: int
    """The slowest class, relative to estimates, in which the group is expected to end in time."""

    prefers_fast: bool

    def rank(self, worker: FleetWorker) -> int:
        """Returns the rank of a worker; workers of the lowest rank are used first."""
        speed_class = worker.speed.speed_class
        if self.prefers_fast:
            return speed_class
        if worker.speed.end_class > self.slowest_class:
            return TOO_SLOW_RANK + speed_class
        return -speed_class

    def rank_all(self, workers: Collection[FleetWorker]) -> int:
        """Returns the rank of the workers of a whole group, which ends with the slowest of them."""
        slowest = max(each.speed.speed_class for each in workers)
        unused_speed = -sum(each.speed.speed_class for each in workers)
        if self.prefers_fast:
            return TOO_SLOW_RANK * len(workers) * slowest + unused_speed
        if not self.is_in_time(workers):
            return TOO_SLOW_RANK * len(workers) + slowest
        return unused_speed

    def is_in_time(self, workers: Collection[FleetWorker]) -> bool:
        """Returns whether a group is expected to end in time on these workers."""
        return all(each.speed.end_class <= self.slowest_class for each in workers)


ANY_SPEED = SpeedPreference(SLOWEST_CLASS, prefers_fast=False)
"""Used where all workers are alike."""


def preference_among(
    group: TaskGroup, workers: Iterable[FleetWorker], now_ms: int, delay_ms: float = 0.0
) -> SpeedPreference:
    """Returns the preference of a group for workers of which some may differ in speed."""
    if any(each.speed.speed_class for each in workers):
        return speed_preference(group, now_ms, delay_ms)
    return ANY_SPEED


def speed_preference(group: TaskGroup, now_ms: int, delay_ms: float = 0.0) -> SpeedPreference:
    """Returns the preference of a group that starts after ``delay_ms``."""
    is_urgent = group.job.priority == HIGHEST_PRIORITY
    factor = _max_duration_factor(group, now_ms + delay_ms) / FACTOR_MARGIN
    factor = max(MIN_FACTOR, min(factor, MAX_FACTOR))
    slowest_class = math.floor(math.log(factor) / math.log(SPEED_CLASS_RATIO))
    if slowest_class < FASTEST_CLASS and not is_urgent:
        # It is late wherever it runs, so it leaves the fast workers to work that can be in time.
        return ANY_SPEED
    return SpeedPreference(slowest_class, prefers_fast=is_urgent)


def _max_duration_factor(group: TaskGroup, start_ms: float) -> float:
    """Returns how many times the usual duration the group may take for its job to be in time.

    The objective is a multiple of the work itself, so that the error of the caller's estimate only
    matters for the time that has passed.
    """
    job = group.job
    queue = job.queue
    request = group.request
    if queue is None or request.runs_until_cancelled or not request.expected_ms:
        return MAX_FACTOR if job.priority != HIGHEST_PRIORITY else 1.0
    if job.accepted.request.occurrences:
        chain_ms = remaining_ms = request.expected_ms
        waited_ms = start_ms - (group.ready_since_ms or start_ms)
    else:
        chain_ms = job.expected_chain_ms()
        remaining_ms = max(job.expected_remaining_ms(), request.expected_ms)
        waited_ms = start_ms - job.accepted_ms
    objective_ms = queue.objective_ms + queue.objective_factor * chain_ms
    return (objective_ms - waited_ms - START_AND_END_MS) / remaining_ms
