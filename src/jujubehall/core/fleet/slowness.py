"""Detection of workers on which tasks stall or run much slower than on others.

Such a worker may still appear healthy. The progress of its tasks is compared with that of the same
step's tasks on other workers, with their own earlier speed and, as a last resort, with the caller's
estimate. Usual differences in speed between the workers are allowed for; see ``worker_speed``.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.progress import COMPLETE_PERCENT

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.workers import FleetWorker

MIN_STALL_MS = 1_000
"""A run without one percent of progress for this time is stalled; 1 s is more than ten percent of
the duration of most tasks on these sites."""

STALL_SHARE = 0.03
"""For longer tasks the stall threshold is this share of the expected duration, since they take
longer to progress by one percent."""

ESTIMATE_TOLERANCE = 2.0
"""The caller's estimate may be wrong by this factor before a run counts as slow."""

ASSESSMENT_VALIDITY_MS = 4_000
"""Validity of an assessment; if no report renews it, it expires and the worker is used again."""


class PeerDurations:
    """Typical durations of the tasks of steps, computed once for all runs of a step.

    Valid for one report or round: progress that is recorded later isn't taken into account.
    """

    def __init__(self, excluded: FleetWorker | None = None) -> None:
        self._excluded = excluded
        self._medians: dict[tuple[FleetJob, int, int], float | None] = {}

    def median_ms(self, group: TaskGroup) -> float | None:
        """Returns the median duration of the step's completed and running tasks on usual workers.

        Running tasks on the excluded worker are left out. Returns None without any such task.
        """
        key = (group.job, group.occurrence, group.step)
        if key not in self._medians:
            durations = _peer_durations(group, self._excluded)
            self._medians[key] = median(durations) if durations else None
        return self._medians[key]

    def typical_ms(self, group: TaskGroup) -> float:
        """Returns the median duration, or the caller's estimate as long as nothing is known."""
        median_ms = self.median_ms(group)
        return float(group.request.expected_ms) if median_ms is None else median_ms


def assess_worker(worker: FleetWorker, now_ms: int) -> None:
    """Updates the health of a worker from its current runs.

    Without any suitable run, and while the worker is cold, the last assessment stays in effect
    until it expires.
    """
    if worker.is_cold(now_ms):
        return
    runs = [
        (group, placement)
        for (group, _), placement in worker.placements.items()
        if not group.request.runs_until_cancelled
        and placement.phase is Phase.RUNNING
        and placement.progress.percent < COMPLETE_PERCENT
        and not is_remote(group, placement)
    ]
    if not runs:
        return
    peers = PeerDurations(excluded=worker)
    ratios = [
        ratio
        for group, placement in runs
        if (ratio := _duration_ratio(group, placement, peers)) is not None
    ]
    is_stalled = all(_is_stalled(group, placement) for group, placement in runs)
    worker.set_health(
        median(ratios) if ratios else 1.0, is_stalled, now_ms + ASSESSMENT_VALIDITY_MS
    )


def is_remote(group: TaskGroup, placement: Placement) -> bool:
    """Returns whether the run is slowed down by its placement and not by its worker."""
    rack = placement.worker.listed.rack
    if group.request.data_rack and rack != group.request.data_rack:
        return True
    if not group.request.prefers_one_rack:
        return False
    return any(each.worker.listed.rack != rack for each in group.placements.values())


def _is_stalled(group: TaskGroup, placement: Placement) -> bool:
    limit_ms = max(MIN_STALL_MS, STALL_SHARE * group.request.expected_ms)
    return placement.progress.stalled_ms >= limit_ms


def _duration_ratio(group: TaskGroup, placement: Placement, peers: PeerDurations) -> float | None:
    """Returns the ratio of the run's estimated duration to its normal duration on its worker."""
    if placement.progress.duration_ms is None:
        return None
    duration_factor = placement.worker.speed.duration_factor
    duration_ms = placement.progress.duration_ms / duration_factor
    peer_ms = peers.median_ms(group)
    if peer_ms is not None:
        return duration_ms / max(1.0, peer_ms)
    ratios = [1.0]
    best_ms = placement.progress.best_duration_ms
    if best_ms:
        ratios.append(placement.progress.duration_ms / best_ms)
    if group.request.expected_ms:
        ratios.append(duration_ms / group.request.expected_ms / ESTIMATE_TOLERANCE)
    return max(ratios)


def _peer_durations(group: TaskGroup, excluded: FleetWorker | None) -> list[float]:
    groups = group.job.groups[group.occurrence, group.step]
    durations = []
    for each in groups:
        if each.completed_duration_ms is not None:
            durations.append(float(each.completed_duration_ms))
            continue
        for placement in each.placements.values():
            best_ms = placement.progress.best_duration_ms
            if placement.worker is not excluded and best_ms is not None:
                durations.append(best_ms / placement.worker.speed.duration_factor)
    return durations
