"""Relocates groups from stalled, slow or draining workers.

Workers may hang or slow down for seconds while urgent work has little time. Restarting such work on
other workers then finishes it sooner than leaving it in place.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.slowness import PeerDurations
    from jujubehall.core.fleet.workers import FleetWorker

RELOCATION_OVERHEAD_MS = 500
"""Time for stopping a group, polling its worker and starting the group again."""

ASSUMED_STALL_MS = 4_000
"""How much longer a stalled worker is assumed to stay stalled."""

FINAL_CHECKPOINT_MS = 1_200
"""Twice the time that a stop, its checkpoint and the report of it take."""

MIN_RELOCATION_GAIN_MS = 500
MAX_RELOCATIONS = 2
"""Relocations allowed per group, so that a job that is slow by itself isn't moved repeatedly."""


def should_relocate(group: TaskGroup, peers: PeerDurations, now_ms: int) -> bool:
    """Returns whether the group should finish sooner if it is restarted on healthy workers."""
    if (
        group.is_stopping
        or group.relocations >= MAX_RELOCATIONS
        or group.request.runs_until_cancelled
    ):
        return False
    if group.job.priority != HIGHEST_PRIORITY and not group.request.saves_checkpoints:
        # Restarting a long run from the beginning loses more work than slow workers cost.
        return False
    degraded = [each for each in group.placements.values() if each.worker.is_degraded(now_ms)]
    if not degraded:
        return False
    typical_ms = peers.typical_ms(group)
    remaining_ms = max(_remaining_ms(each, typical_ms, now_ms) for each in degraded)
    restart_ms = typical_ms
    if group.request.saves_checkpoints:
        restart_ms *= 1 - min(each.progress.percent for each in group.placements.values()) / 100
    return remaining_ms > restart_ms + RELOCATION_OVERHEAD_MS + MIN_RELOCATION_GAIN_MS


def should_evacuate(
    group: TaskGroup, worker: FleetWorker, peers: PeerDurations, now_ms: int
) -> bool:
    """Returns whether to stop the group now because ``worker`` is draining and leaves soon.

    A group that should finish in time stays. Checkpointed work stays until shortly before the
    worker leaves; other work is stopped at once, since all its further progress would be lost.
    Services that run until cancelled are always moved.
    """
    if worker.departure_ms is None or not worker.listed.is_draining or group.is_stopping:
        return False
    time_left_ms = worker.departure_ms - now_ms
    if group.request.runs_until_cancelled:
        return True
    typical_ms = peers.typical_ms(group)
    if (
        max(_remaining_ms(each, typical_ms, now_ms) for each in group.placements.values())
        < time_left_ms
    ):
        return False
    return not group.request.saves_checkpoints or time_left_ms < FINAL_CHECKPOINT_MS


def _remaining_ms(placement: Placement, typical_ms: float, now_ms: int) -> float:
    remaining_share = 1 - placement.progress.percent / 100
    if placement.worker.is_stalled(now_ms):
        return ASSUMED_STALL_MS + remaining_share * typical_ms
    duration_ms = placement.progress.duration_ms or typical_ms
    return remaining_share * duration_ms
