"""Finds workers on which tasks stand still or take much longer than elsewhere.

A worker may look healthy and still do so; what shows it is the progress of its tasks compared with
that of their peers, with what they did before, and, as a last resort, with the caller's guess.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.progress import WHOLE

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker

STANDING_MS = 1_000
"""A second without a percent of progress: more than ten percent of most tasks on these sites."""

STANDING_SHARE = 0.03
"""Longer tasks need this share of their expected duration to show a percent of progress."""

GUESS_TOLERANCE = 2.0
"""A caller's guess may be off by this factor without telling anything."""

JUDGEMENT_MS = 4_000
"""A judgement that no report renews ends after this time, and the worker is tried again."""


def judge_worker(worker: FleetWorker, now_ms: int) -> None:
    """Judges a worker by its present runs; without any, the last judgement stands for a while."""
    runs = [
        (group, placement)
        for (group, _), placement in worker.placements.items()
        if not group.request.runs_until_cancelled
        and placement.phase is Phase.RUNNING
        and placement.progress.percent < WHOLE
        and not _is_far(group, placement)
    ]
    if not runs:
        return
    ratios = [ratio for group, placement in runs if (ratio := _ratio(group, placement)) is not None]
    is_standing = all(_stands(group, placement) for group, placement in runs)
    worker.judge(median(ratios) if ratios else 1.0, is_standing, now_ms + JUDGEMENT_MS)


def _is_far(group: TaskGroup, placement: Placement) -> bool:
    """Whether the run is slow because of where it was placed, not because of its worker."""
    rack = placement.worker.listed.rack
    if group.request.data_rack and rack != group.request.data_rack:
        return True
    if not group.request.prefers_one_rack:
        return False
    return any(each.worker.listed.rack != rack for each in group.placements.values())


def normal_duration_ms(group: TaskGroup) -> float:
    """What a task of the group takes on a sound worker, as far as is known."""
    durations = _peer_durations(group, None)
    if durations:
        return median(durations)
    return float(group.request.expected_ms)


def _stands(group: TaskGroup, placement: Placement) -> bool:
    limit_ms = max(STANDING_MS, STANDING_SHARE * group.request.expected_ms)
    return placement.progress.standing_ms >= limit_ms


def _ratio(group: TaskGroup, placement: Placement) -> float | None:
    """How many times as long the run takes as it should."""
    duration_ms = placement.progress.duration_ms
    if duration_ms is None:
        return None
    peers = _peer_durations(group, placement.worker)
    if peers:
        return duration_ms / max(1.0, median(peers))
    ratios = [1.0]
    best_ms = placement.progress.best_duration_ms
    if best_ms:
        ratios.append(duration_ms / best_ms)
    if group.request.expected_ms:
        ratios.append(duration_ms / group.request.expected_ms / GUESS_TOLERANCE)
    return max(ratios)


def _peer_durations(group: TaskGroup, but: FleetWorker | None) -> list[float]:
    """Durations of the tasks of the same step on other workers, done or going on."""
    groups = group.job.groups[group.occurrence, group.step]
    durations = []
    for each in groups:
        if each.done_in_ms is not None:
            durations.append(float(each.done_in_ms))
            continue
        for placement in each.placements.values():
            best_ms = placement.progress.best_duration_ms
            if placement.worker is not but and best_ms is not None:
                durations.append(best_ms)
    return durations
