"""What a round of scheduling decides."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.workers import FleetWorker


class StartGroup(NamedTuple):
    """Start all tasks of a group, each on its worker."""

    group: TaskGroup
    workers: dict[int, FleetWorker]


class StopGroup(NamedTuple):
    """Stop all tasks of a group, for the given reason."""

    group: TaskGroup
    reason: str


Decision = StartGroup | StopGroup
