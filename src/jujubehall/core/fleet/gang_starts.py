"""Which gangs to stop because some of their members would wait for others that don't come.

The members of a gang are started one by one, work only together, and occupy their accelerators
while they wait. The load that this answers: owners that change, or that have more commands to send
than they can, while gangs are being started. Each member that has started would otherwise wait for
the whole time that its worker allows, and the gang could not be started again before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.state import FleetState

STOP_ALLOWANCE_MS = 1_000
"""Time that is kept for the stops: 200 ms until the next round, and 700 ms until they are answered."""


def incomplete_gangs(fleet_state: FleetState, now_ms: int) -> Iterator[TaskGroup]:
    """Yields the gangs to stop, and forgets those of which all members have started."""
    for group in sorted(fleet_state.starting_gangs, key=lambda each: (each.job.id, each.key)):
        if not group.is_starting:
            fleet_state.starting_gangs.discard(group)
        elif not _may_become_complete(group, fleet_state, now_ms):
            yield group


def _may_become_complete(group: TaskGroup, fleet_state: FleetState, now_ms: int) -> bool:
    """Returns whether the members that have not started may still start in time.

    Members that an earlier owner started may be running on a worker that has not reported yet.
    """
    if len(group.placements) < len(group.indexes):
        return fleet_state.may_have_unreported_run(group, now_ms)
    limit_ms = fleet_state.gang_start_timeout_ms - STOP_ALLOWANCE_MS
    first_running_ms = group.first_running_ms
    return first_running_ms is None or now_ms - first_running_ms < limit_ms
