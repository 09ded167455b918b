"""Moves groups away from workers on which they stand still or go on slowly.

Answers days on which some workers hang or turn slow for seconds while urgent work has little time:
started again elsewhere, it ends sooner than if it is left where it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.priorities import MOST_URGENT
from jujubehall.core.fleet.slowness import normal_duration_ms

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker

STOP_MS = 500
"""A stop, a look at the worker and a new start."""

STANDSTILL_MS = 4_000
"""How much longer a standstill is assumed to last."""

LAST_CHECKPOINT_MS = 1_200
"""A stop, its checkpoint and a report of it, twice."""

LEAST_GAIN_MS = 500
MOST_RESCUES = 2
"""How often a group may be moved; a job that is slow by itself must not wander."""


def is_worth_moving(group: TaskGroup, now_ms: int) -> bool:
    """Whether the group would end sooner if it were started again on sound workers."""
    if group.is_stopping or group.rescues >= MOST_RESCUES or group.request.runs_until_cancelled:
        return False
    if group.job.priority != MOST_URGENT and not group.request.saves_checkpoints:
        # A long run that starts from nothing throws away more than slow workers cost.
        return False
    slow = [each for each in group.placements.values() if each.worker.is_troubled(now_ms)]
    if not slow:
        return False
    normal_ms = normal_duration_ms(group)
    remaining_ms = max(_remaining_ms(each, normal_ms, now_ms) for each in slow)
    again_ms = normal_ms
    if group.request.saves_checkpoints:
        again_ms *= 1 - min(each.progress.percent for each in group.placements.values()) / 100
    return remaining_ms > again_ms + STOP_MS + LEAST_GAIN_MS


def should_leave(group: TaskGroup, worker: FleetWorker, now_ms: int) -> bool:
    """Whether the group should be stopped now because ``worker`` is draining and leaves soon.

    What ends in time stays. Checkpointed work stays until shortly before the end, other work goes
    at once, since all that it does until then is lost.
    """
    if worker.leaves_ms is None or not worker.listed.is_draining or group.is_stopping:
        return False
    left_ms = worker.leaves_ms - now_ms
    if group.request.runs_until_cancelled:
        return True
    normal_ms = normal_duration_ms(group)
    if max(_remaining_ms(each, normal_ms, now_ms) for each in group.placements.values()) < left_ms:
        return False
    return not group.request.saves_checkpoints or left_ms < LAST_CHECKPOINT_MS


def _remaining_ms(placement: Placement, normal_ms: float, now_ms: int) -> float:
    left = 1 - placement.progress.percent / 100
    if placement.worker.is_standing(now_ms):
        return STANDSTILL_MS + left * normal_ms
    duration_ms = placement.progress.duration_ms or normal_ms
    return left * duration_ms
