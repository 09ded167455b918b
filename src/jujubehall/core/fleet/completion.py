"""Whether a job is about to end.

The load that this answers: callers that wait for short jobs and ask for their state now and then. One
that asks shortly before the end learns of it only when it asks again, often a second later, although
the job itself was in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.slowness import PeerDurations

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob


def ends_within(job: FleetJob, limit_ms: int, now_ms: int) -> bool:
    """Returns whether all tasks of the job that aren't done should be done within ``limit_ms``.

    A job whose tasks are all done, but whose end is not stored yet, ends soon. A job that has taken
    more than twice the expected time doesn't: nothing is known of its end.
    """
    if job.is_final:
        return job.state is not job.stored_state
    peers = PeerDurations()
    unfinished = [group for group in job.all_groups() if not group.is_done]
    return len(job.groups) == job.occurrences * len(job.accepted.request.steps) and all(
        _group_ends_within(group, peers, limit_ms, now_ms) for group in unfinished
    )


def _group_ends_within(group: TaskGroup, peers: PeerDurations, limit_ms: int, now_ms: int) -> bool:
    if group.request.runs_until_cancelled or group.is_stopping or not group.placements:
        return False
    typical_ms = peers.typical_ms(group)
    remaining_ms = max(
        _remaining_ms(placement, typical_ms, now_ms) for placement in group.placements.values()
    )
    return -typical_ms <= remaining_ms <= limit_ms


def _remaining_ms(placement: Placement, typical_ms: float, now_ms: int) -> float:
    remaining_ms = placement.progress.remaining_ms(now_ms)
    if remaining_ms is None:
        duration_ms = typical_ms * placement.worker.speed.duration_factor
        return duration_ms - (now_ms - placement.started_ms)
    return remaining_ms
