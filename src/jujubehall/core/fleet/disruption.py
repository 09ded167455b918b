"""Limits how many tasks of a service are unavailable because of the scheduler's own decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.progress import COMPLETE_PERCENT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.fleet.groups import TaskGroup


def is_limited_service(group: TaskGroup) -> bool:
    """Returns whether the group belongs to a service of which only some tasks may be stopped."""
    return bool(group.request.max_unavailable) and group.request.runs_until_cancelled


def may_disrupt(group: TaskGroup, planned: Iterable[TaskGroup] = ()) -> bool:
    """Returns whether the tasks of ``group`` may be stopped now, together with ``planned`` ones.

    Stopping them must not leave more than ``max_unavailable`` tasks of the service's step
    unavailable, including those that are unavailable already. A service without such a limit may
    be stopped at any time, like other work.
    """
    if not is_limited_service(group):
        return True
    stopped = {group, *planned}
    unavailable = sum(
        1
        for each in group.job.groups[group.occurrence, group.step]
        for index in each.indexes
        if each in stopped or not _is_available(each, index)
    )
    return unavailable <= group.request.max_unavailable


def count_available(group: TaskGroup) -> int:
    """Returns how many tasks of the group are at work, as far as known."""
    return sum(_is_available(group, index) for index in group.indexes)


def _is_available(group: TaskGroup, index: int) -> bool:
    placement = group.placements.get(index)
    return (
        placement is not None
        and placement.phase is Phase.RUNNING
        and placement.progress.percent >= COMPLETE_PERCENT
        and placement.worker.is_reachable
    )
