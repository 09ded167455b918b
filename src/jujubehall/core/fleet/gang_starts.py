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


def incomplete_gangs(fleet_state: FleetState, now_ms: int) -> Iterator[TaskGroup]:
    """Yields the gangs to stop, and forgets those of which all members have started.

    A gang without some of its members stays as it is while one of them may be running on a worker
    that has not reported to this owner yet.
    """
    for group in sorted(fleet_state.starting_gangs, key=lambda each: (each.job.id, each.key)):
        if not group.placements or group.is_stopping or group.is_complete:
            fleet_state.starting_gangs.discard(group)
        elif len(group.placements) < len(
            group.indexes
        ) and not fleet_state.may_run_on_unreported_worker(group, now_ms):
            yield group
