"""Plans that give a team what it is guaranteed, from all work that isn't within a guarantee itself.

The load that this answers: a site filled with services, with large jobs outside the rack of a job's
data, or with urgent work beyond other guarantees. See docs/design/guarantees.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.disruption import is_limited_service
from jujubehall.core.fleet.preemption import Demand
from jujubehall.core.fleet.service_stops import NO_STOPS
from jujubehall.core.fleet.service_stops import ServiceStops

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.occupants import WorkerOccupants
    from jujubehall.core.fleet.preemption import PreemptionPlan
    from jujubehall.core.fleet.preemption import PreemptionPlanner
    from jujubehall.core.fleet.queue_order import QueueOrder
    from jujubehall.core.fleet.service_stops import Stops
    from jujubehall.core.fleet.workers import FleetWorker

MAX_SEARCHES = 2
"""Searches for stops of services in one round, of which each may take up to 0.1 s. Other groups wait
for the next round."""


class ReclaimPlanner:
    """Plans for the guaranteed groups of one scheduling round for which nothing else has helped."""

    def __init__(
        self, order: QueueOrder, planner: PreemptionPlanner, occupants: WorkerOccupants
    ) -> None:
        self._order = order
        self._planner = planner
        self._occupants = occupants
        self._searches = 0

    def find(
        self, groups: list[TaskGroup], workers: list[FleetWorker]
    ) -> dict[TaskGroup, PreemptionPlan]:
        """Returns plans for all of the groups, only for the first one, or for none.

        ``groups`` are guaranteed groups of one step that wait, and ``workers`` those on which they may
        run. They are planned together, since each stop of a service uses up some of its limit of
        unavailable tasks. Such services are only stopped if nothing else is enough.
        """
        for chosen in [groups, groups[:1]] if len(groups) > 1 else [groups]:
            stops = self._find_service_stops(chosen, workers)
            if stops is None:
                continue
            plan = self._find_plan(chosen, workers, stops)
            if plan is not None:
                return _split(plan, chosen)
        return {}

    def _find_service_stops(
        self, groups: list[TaskGroup], workers: list[FleetWorker]
    ) -> Stops | None:
        """Returns the tasks of limited services to stop; None if that can't make enough room."""
        search = ServiceStops(
            groups[0], _count_tasks(groups), workers, self._order, self._occupants
        )
        if search.is_enough_without_stops():
            return NO_STOPS
        if not search.is_enough_with_all_stops() or self._searches >= MAX_SEARCHES:
            return None
        self._searches += 1
        return search.find()

    def _find_plan(
        self, groups: list[TaskGroup], workers: list[FleetWorker], stops: Stops
    ) -> PreemptionPlan | None:
        first = groups[0]

        def may_stop(other: TaskGroup) -> bool:
            return self._order.may_reclaim(first, other) and (
                other in stops or not is_limited_service(other)
            )

        demand = Demand(first, range(_count_tasks(groups)), may_stop)
        return self._planner.find_anywhere(demand, workers)


def _count_tasks(groups: list[TaskGroup]) -> int:
    return sum(len(each.indexes) for each in groups)


def _split(plan: PreemptionPlan, groups: list[TaskGroup]) -> dict[TaskGroup, PreemptionPlan]:
    """Returns the plan of each group; all of them wait for the same stops."""
    workers = iter(plan.workers.values())
    return {
        group: plan._replace(workers={index: next(workers) for index in group.indexes})
        for group in groups
    }
