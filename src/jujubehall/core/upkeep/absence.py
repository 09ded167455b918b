"""How many tasks of a service may be away because of the scheduler's own decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.progress import WHOLE

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup


def may_take_away(group: TaskGroup) -> bool:
    """Whether the tasks of ``group`` may be ended while others of its step are away.

    A service without a bound on absences may be ended at any moment, as other work.
    """
    bound = group.request.may_be_absent
    if not bound or not group.request.runs_until_cancelled:
        return True
    away = sum(
        1
        for each in group.job.groups[group.occurrence, group.step]
        for index in each.indexes
        if each is group or not _is_at_work(each, index)
    )
    return away <= bound


def _is_at_work(group: TaskGroup, index: int) -> bool:
    placement = group.placements.get(index)
    return (
        placement is not None
        and placement.phase is Phase.RUNNING
        and placement.progress.percent >= WHOLE
    )
