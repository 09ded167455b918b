"""Selection of the cheapest work to preempt for a more urgent group."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.expected_end import preference_among
from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.placement import remaining_task_limit
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY

if TYPE_CHECKING:
    from jujubehall.core.fleet.decisions import StopReason
    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.queue_order import QueueOrder
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import RackName

RESTART_COST_MS = 300
"""Cost of preempting a task even if its checkpoint is saved, in milliseconds of its work: the stop,
the wait for free capacity and the restore."""

MAX_WAIT_SLACK_SHARE = 0.5
"""Share of the slack before its latency objective that a group may wait for other work to finish;
with a higher share, ``benchmarks.site_load`` shows urgent jobs late."""

WAIT_COST_WEIGHT = 2
"""Weight of the work that a group can't do while it waits, relative to the work lost by preemption;
a late job is worse than repeated work."""

MAX_WAIT_MS = 1_200
"""Longest wait of a group for other work to finish. Afterwards there must still be time for a stop
(400 ms) within the 2.9 s in which guaranteed work has to start on the sites, even if the expected
capacity did not become free."""

COMPLETION_MARGIN_MS = 150
"""Added to the expected remaining time of a task: the report of its end takes a few milliseconds,
and progress is only reported in whole percent."""

URGENT_LOSS_WEIGHT = 10
"""Weight of urgent work that is preempted to give another team what it is guaranteed. On the sites,
urgent jobs are worth over ten times as much for each core-second as other jobs."""

EXPECTED_STOP_MS = 200
"""Expected time until preempted work has ended: half the site's limit for a stop."""

LATE_END_WEIGHT = 3
"""Weight of the work of a group that ends late because its workers are slow, relative to the work
lost by preemption on faster ones."""

MILLICORE_MS_PER_CORE_S = 1_000_000


class PreemptionPlan(NamedTuple):
    """Workers for a group, the groups to stop there, and the cost in millicore-milliseconds."""

    cost: int
    workers: dict[int, FleetWorker]
    victims: frozenset[TaskGroup]
    wait_ms: float
    """Time until all the work that is waited for should have finished; 0 if none is."""

    is_in_time: bool = True
    """Whether the workers are fast enough for the group to end in time."""


class _Occupant(NamedTuple):
    """The tasks of one group on one worker that are not being stopped."""

    loss: int
    group: TaskGroup
    needs: Resources
    remaining_ms: float | None
    """Expected time until its last task finishes; None if unknown."""


class _Option(NamedTuple):
    """The additional cost of placing one more task on a worker."""

    cost: int
    worker: FleetWorker
    victims: frozenset[TaskGroup]
    wait_ms: float


def preemption_loss(group: TaskGroup, now_ms: int) -> int:
    """Returns the work lost by stopping a group, in millicore-milliseconds."""
    lost_ms = RESTART_COST_MS
    if not group.request.saves_checkpoints:
        lost_ms += now_ms - min(each.started_ms for each in group.placements.values())
    return lost_ms * group.total_millicore_equivalents


def stop_decision(
    group: TaskGroup, reason: StopReason, now_ms: int, by: JobId | None = None
) -> StopGroup:
    """Returns the decision to stop a group, including the work lost by it."""
    lost_core_s = preemption_loss(group, now_ms) // MILLICORE_MS_PER_CORE_S
    return StopGroup(group, reason, by, lost_core_s)


class PreemptionPlanner:
    """Plans preemption for the urgent groups of one scheduling round.

    Every urgent group of a burst examines all workers, so the occupants of a worker are cached for
    the round and recomputed only after a change on that worker.
    """

    def __init__(self, now_ms: int, order: QueueOrder) -> None:
        self._now_ms = now_ms
        self._order = order
        self._occupants: dict[FleetWorker, list[_Occupant]] = {}

    def invalidate(self, group: TaskGroup) -> None:
        """Drops cached occupants of the group's workers after its tasks were placed or stopped."""
        for placement in group.placements.values():
            self._occupants.pop(placement.worker, None)

    def find(self, group: TaskGroup, workers: list[FleetWorker]) -> PreemptionPlan | None:
        """Returns the cheapest plan to place the group by preempting less urgent work, or None.

        Work that is already being stopped, or should finish soon, costs nothing and is waited for,
        so that bursts of urgent work don't discard work that is nearly done. A group that prefers
        one rack, or has a data rack, is only placed within such a rack.
        """
        if group.request.data_rack:
            local_workers = [
                worker for worker in workers if worker.listed.rack == group.request.data_rack
            ]
            return self._cheapest_plan(group, local_workers)
        racks: dict[RackName, list[FleetWorker]] = {}
        for worker in workers:
            racks.setdefault(worker.listed.rack, []).append(worker)
        plans = [self._cheapest_plan(group, rack) for rack in racks.values()]
        best_plan = min(
            (plan for plan in plans if plan is not None),
            key=lambda plan: _rank(plan, group),
            default=None,
        )
        if best_plan is None and not group.request.prefers_one_rack:
            best_plan = self._cheapest_plan(group, workers)
        return best_plan

    def _cheapest_plan(self, group: TaskGroup, workers: list[FleetWorker]) -> PreemptionPlan | None:
        """Returns the better of two plans: on workers that are fast enough, or on all workers."""
        preference = preference_among(group, workers, self._now_ms, EXPECTED_STOP_MS)
        fast = [each for each in workers if preference.is_in_time([each])]
        fast_plan = self._cheapest_plan_on(group, fast)
        if len(fast) == len(workers) or (fast_plan is not None and not fast_plan.cost):
            return fast_plan
        plan = self._cheapest_plan_on(group, workers)
        if plan is not None:
            plan = plan._replace(is_in_time=preference.is_in_time(plan.workers.values()))
        if plan is None or (
            fast_plan is not None and _rank(fast_plan, group) <= _rank(plan, group)
        ):
            return fast_plan
        return plan

    def _cheapest_plan_on(
        self, group: TaskGroup, workers: list[FleetWorker]
    ) -> PreemptionPlan | None:
        """Returns the cheaper of two plans: preempt now, or wait for work that finishes soon."""
        immediate = self._plan(group, workers, 0.0)
        max_wait_ms = _max_wait_ms(group, self._now_ms)
        if max_wait_ms <= 0 or (immediate is not None and not immediate.cost):
            return immediate
        deferred = self._plan(group, workers, max_wait_ms)
        if immediate is None or (deferred is not None and deferred.cost < immediate.cost):
            return deferred
        return immediate

    def _plan(
        self, group: TaskGroup, workers: list[FleetWorker], max_wait_ms: float
    ) -> PreemptionPlan | None:
        cost = 0
        wait_ms = 0.0
        victims: set[TaskGroup] = set()
        chosen: dict[int, FleetWorker] = {}
        placed_counts: dict[FleetWorker, int] = {}
        options: dict[FleetWorker, _Option] = {}
        stale = set(workers)
        for index in group.indexes:
            for worker in stale:
                option = self._find_option(
                    group, worker, placed_counts.get(worker, 0), victims, max_wait_ms
                )
                if option is None:
                    options.pop(worker, None)
                else:
                    options[worker] = option
            if not options:
                return None
            best = min(options.values(), key=_option_key)
            cost += best.cost
            victims |= best.victims
            chosen[index] = best.worker
            wait_ms = max(wait_ms, best.wait_ms)
            placed_counts[best.worker] = placed_counts.get(best.worker, 0) + 1
            stale = {best.worker}
            for victim in best.victims:
                # Stopping a gang frees capacity on all its workers.
                stale.update(each.worker for each in victim.placements.values())
            stale &= set(workers)
        cost += round(wait_ms * WAIT_COST_WEIGHT * group.total_millicore_equivalents)
        return PreemptionPlan(cost, chosen, frozenset(victims), wait_ms)

    def _find_option(
        self,
        group: TaskGroup,
        worker: FleetWorker,
        placed: int,
        victims: set[TaskGroup],
        max_wait_ms: float,
    ) -> _Option | None:
        if group.request.tasks_per_worker and placed >= remaining_task_limit(group, worker):
            return None
        required = group.occupied_resources.times(placed + 1)
        if not required.fits_in(worker.listed.capacity):
            return None
        retained = worker.untracked_usage + worker.reserved_for_others(group)
        preemptible = []
        reclaimable = []
        wait_ms = 0.0
        fits_now = required.fits_in(worker.free_for(group))
        for occupant in () if fits_now else self._occupants_of(worker):
            if occupant.group in victims:
                continue
            if _ends_within(occupant, max_wait_ms):
                wait_ms = max(wait_ms, occupant.remaining_ms or 0.0)
                continue
            retained = retained + occupant.needs
            other = occupant.group
            if other.request.runs_until_cancelled:
                continue
            if other.job.priority > group.job.priority:
                preemptible.append(occupant)
            elif self._order.may_reclaim(group, other):
                reclaimable.append(occupant)
        capacity = worker.listed.capacity
        new_victims = []
        cost = 0
        for occupant in preemptible + reclaimable:
            if required.fits_in(capacity.minus(retained)):
                break
            new_victims.append(occupant.group)
            is_urgent = occupant.group.job.priority == HIGHEST_PRIORITY
            cost += occupant.loss * (URGENT_LOSS_WEIGHT if is_urgent else 1)
            retained = retained.minus(occupant.needs)
        if not required.fits_in(capacity.minus(retained)):
            return None
        return _Option(cost, worker, frozenset(new_victims), wait_ms)

    def _occupants_of(self, worker: FleetWorker) -> list[_Occupant]:
        """Returns the occupants of a worker that are not being stopped, cheapest to stop first."""
        cached = self._occupants.get(worker)
        if cached is None:
            cached = self._occupants[worker] = self._compute_occupants(worker)
        return cached

    def _compute_occupants(self, worker: FleetWorker) -> list[_Occupant]:
        placements: dict[TaskGroup, list[Placement]] = {}
        for (group, _), placement in worker.placements.items():
            if placement.phase is not Phase.STOPPING:
                placements.setdefault(group, []).append(placement)
        occupants = [
            _Occupant(
                preemption_loss(group, self._now_ms),
                group,
                group.occupied_resources.times(len(group_placements)),
                _remaining_ms(group_placements, self._now_ms),
            )
            for group, group_placements in placements.items()
        ]
        return sorted(occupants, key=lambda each: (each.loss, each.group.job.id, each.group.key))


def _option_key(option: _Option) -> tuple[int, int, str]:
    return (option.cost, option.worker.speed.speed_class, option.worker.name)


def _rank(plan: PreemptionPlan, group: TaskGroup) -> tuple[int, int]:
    """Returns the rank of a plan: its cost, to which a late end adds, then its slowest worker."""
    late_cost = 0
    if not plan.is_in_time:
        late_cost = LATE_END_WEIGHT * group.request.expected_ms * group.total_millicore_equivalents
    slowest = max(each.speed.speed_class for each in plan.workers.values())
    return (plan.cost + late_cost, slowest)


def _max_wait_ms(group: TaskGroup, now_ms: int) -> float:
    """Returns how long the group may wait for other work to finish."""
    queue = group.job.queue
    if queue is None or group.ready_since_ms is None:
        return 0.0
    waited_ms = now_ms - group.ready_since_ms
    slack_ms = queue.objective_ms + (queue.objective_factor - 1) * group.request.expected_ms
    return min(MAX_WAIT_SLACK_SHARE * (slack_ms - waited_ms), MAX_WAIT_MS - waited_ms)


def _remaining_ms(placements: list[Placement], now_ms: int) -> float | None:
    """Returns the time until all placements should have finished.

    Returns None if that is unknown, a worker is stalled, or the time has passed already.
    """
    longest_ms = 0.0
    for placement in placements:
        remaining_ms = placement.progress.remaining_ms(now_ms)
        if remaining_ms is None or placement.worker.is_stalled(now_ms):
            return None
        longest_ms = max(longest_ms, remaining_ms + COMPLETION_MARGIN_MS)
    return longest_ms or None


def _ends_within(occupant: _Occupant, limit_ms: float) -> bool:
    return occupant.remaining_ms is not None and occupant.remaining_ms <= limit_ms
