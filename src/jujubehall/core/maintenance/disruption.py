"""Limits how many tasks of a service are unavailable because of the scheduler's own decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.progress import COMPLETE_PERCENT

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup


def may_disrupt(group: TaskGroup) -> bool:
    """Returns whether the tasks of ``group`` may be stopped now.

    Stopping them must not leave more than ``max_unavailable`` tasks of the service's step
    unavailable, including those that are unavailable already. A service without such a limit may
    be stopped at any time, like other work.
    """
    max_unavailable = group.request.max_unavailable
    if not max_unavailable or not group.request.runs_until_cancelled:
        return True
    unavailable = sum(
        1
        for each in group.job.groups[group.occurrence, group.step]
        for index in each.indexes
        if each is group or not _is_available(each, index)
    )
    return unavailable <= max_unavailable


def _is_available(group: TaskGroup, index: int) -> bool:
    placement = group.placements.get(index)
    return (
        placement is not None
        and placement.phase is Phase.RUNNING
        and placement.progress.percent >= COMPLETE_PERCENT
    )
