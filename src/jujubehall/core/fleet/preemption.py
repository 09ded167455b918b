"""Selection of the cheapest work to preempt for a more urgent group."""

from __future__ import annotations

import math

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.decisions import StopGroup
from jujubehall.core.fleet.expected_end import preference_among
from jujubehall.core.fleet.suitability import conflicts_in_latency
from jujubehall.core.fleet.suitability import has_latency_conflict
from jujubehall.core.fleet.suitability import has_reserved_conflict
from jujubehall.core.fleet.task_limits import remaining_task_limit

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from jujubehall.core.fleet.decisions import StopReason
    from jujubehall.core.fleet.delay_cost import DelayCost
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.occupants import Occupant
    from jujubehall.core.fleet.occupants import WorkerOccupants
    from jujubehall.core.fleet.queue_order import QueueOrder
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import RackName

RESTART_COST_MS = 300
"""Cost of preempting a task even if its checkpoint is saved, in milliseconds of its work: the stop,
the wait for free capacity and the restore."""

WAIT_SLACK_SHARES = (0.5, 0.8)
"""Shares of the slack before its latency objective that a group may wait for other work to finish.
The higher one is only considered if work would have to be stopped with the lower one."""

WASTE_WEIGHT = 4.0
"""Weight of the value that is put at risk by a stop. Work that is repeated also delays whatever waits
for the same capacity."""

GIVE_UP_WEIGHT = 2.0
"""The same for the decision to stop nothing and leave the group waiting for room. That loses for
certain what a stop only puts at risk, so the weight is lower."""

MAX_WAIT_MS = 1_200
"""Longest wait of a group for other work to finish. Afterwards there must still be time for a stop
(400 ms) within the 2.9 s in which guaranteed work has to start on the sites, even if the expected
capacity did not become free."""

EXPECTED_STOP_MS = 200
"""Expected time until preempted work has ended: half the site's limit for a stop."""

MILLICORE_MS_PER_CORE_S = 1_000_000


class Demand(NamedTuple):
    """What to place, and what may be stopped for it."""

    group: TaskGroup
    tasks: range
    """Keys of the workers in the plan: the group's indexes, or one for each task of several alike
    groups of its step."""

    may_stop: Callable[[TaskGroup], bool]


class PreemptionPlan(NamedTuple):
    """Workers for a group, the groups to stop there, and the expected cost in value to callers."""

    cost: float
    workers: dict[int, FleetWorker]
    victims: frozenset[TaskGroup]
    wait_ms: float
    """Time until all the work that is waited for should have finished; 0 if none is."""

    is_in_time: bool = True
    """Whether the workers are fast enough for the group to end in time."""


class _Option(NamedTuple):
    """The additional cost of placing one more task on a worker."""

    cost: float
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
    """Plans preemption for the urgent groups of one scheduling round."""

    def __init__(
        self, now_ms: int, order: QueueOrder, delay_cost: DelayCost, occupants: WorkerOccupants
    ) -> None:
        self._now_ms = now_ms
        self._order = order
        self._delay_cost = delay_cost
        self._occupants = occupants

    def find(self, group: TaskGroup, workers: list[FleetWorker]) -> PreemptionPlan | None:
        """Returns the cheapest plan to place the group by preempting less urgent work, or None.

        Work that is already being stopped, or should finish soon, costs nothing and is waited for,
        so that bursts of urgent work don't discard work that is nearly done. A group that prefers
        one rack, or has a data rack, is only placed within such a rack.
        """
        must_start = self._order.must_start(group)
        return self._find(
            group,
            workers,
            math.inf if must_start else self._delay_cost.loss_if_not_started(group),
        )

    def find_faster(self, group: TaskGroup, workers: list[FleetWorker]) -> PreemptionPlan | None:
        """Returns the cheapest plan on which the group ends in time, or None.

        The group could start at once on slower workers, so that only the difference is at stake.
        """
        plan = self._find(group, workers, self._delay_cost.loss_if_late(group))
        return plan if plan is not None and plan.is_in_time else None

    def find_anywhere(self, demand: Demand, workers: list[FleetWorker]) -> PreemptionPlan | None:
        """Returns the cheapest plan for a demand, or None.

        Whatever may be stopped is, at any cost, if nothing else helps. The rack of the data and the
        wish for a single rack only matter among plans that don't need more. A plan is found whenever
        there is capacity for the tasks with all that may be stopped stopped.
        """
        group = demand.group
        plans = [
            plan
            for rack in self._preferred_racks(group, workers)
            if (plan := self._cheapest_plan(demand, rack)) is not None
        ]
        plan = min(plans, key=lambda each: self._rank(each, group), default=None)
        if plan is None:
            plan = self._cheapest_plan(demand, workers)
        if plan is not None and len(plan.victims) > 1:
            plan = self._without_unneeded(group, plan)
        return plan

    def _preferred_racks(
        self, group: TaskGroup, workers: list[FleetWorker]
    ) -> list[list[FleetWorker]]:
        """Returns the workers of each rack in which the group would rather be, if it matters."""
        racks = _by_rack(workers)
        if group.request.data_rack:
            return [racks.get(group.request.data_rack, [])]
        return list(racks.values()) if group.request.prefers_one_rack else []

    def _find(
        self, group: TaskGroup, workers: list[FleetWorker], max_loss: float
    ) -> PreemptionPlan | None:
        if not max_loss:
            return None
        plan = self._find_cheapest(group, workers)
        if plan is not None and len(plan.victims) > 1:
            plan = self._without_unneeded(group, plan)
        if plan is None or GIVE_UP_WEIGHT * self._loss(plan.victims) > max_loss:
            return None
        return plan

    def _find_cheapest(self, group: TaskGroup, workers: list[FleetWorker]) -> PreemptionPlan | None:
        demand = Demand(group, group.indexes, lambda other: self._order.may_preempt(group, other))
        racks = _by_rack(workers)
        if group.request.data_rack:
            return self._cheapest_plan(demand, racks.get(group.request.data_rack, []))
        plans = [self._cheapest_plan(demand, rack) for rack in racks.values()]
        best_plan = min(
            (plan for plan in plans if plan is not None),
            key=lambda plan: self._rank(plan, group),
            default=None,
        )
        if best_plan is None and not group.request.prefers_one_rack:
            best_plan = self._cheapest_plan(demand, workers)
        return best_plan

    def _rank(self, plan: PreemptionPlan, group: TaskGroup) -> tuple[float, int]:
        """Returns the rank of a plan: its cost, to which a late end adds, then its slowest worker."""
        late_cost = 0.0 if plan.is_in_time else self._delay_cost.loss_if_late(group)
        slowest = max(each.speed.speed_class for each in plan.workers.values())
        return (plan.cost + late_cost, slowest)

    def _cheapest_plan(self, demand: Demand, workers: list[FleetWorker]) -> PreemptionPlan | None:
        """Returns the better of two plans: on workers that are fast enough, or on all workers."""
        group = demand.group
        preference = preference_among(group, workers, self._now_ms, EXPECTED_STOP_MS)
        fast = [each for each in workers if preference.is_in_time([each])]
        fast_plan = self._cheapest_plan_on(demand, fast)
        if len(fast) == len(workers):
            return fast_plan
        if fast_plan is not None and fast_plan.cost <= self._delay_cost.loss_if_late(group):
            return fast_plan
        plan = self._cheapest_plan_on(demand, workers)
        if plan is not None:
            plan = plan._replace(is_in_time=preference.is_in_time(plan.workers.values()))
        if plan is None or (
            fast_plan is not None and self._rank(fast_plan, group) <= self._rank(plan, group)
        ):
            return fast_plan
        return plan

    def _cheapest_plan_on(
        self, demand: Demand, workers: list[FleetWorker]
    ) -> PreemptionPlan | None:
        """Returns the cheapest of the plans that preempt now or wait for work that ends soon."""
        cheapest = self._plan(demand, workers, 0.0)
        for share in WAIT_SLACK_SHARES:
            max_wait_ms = _max_wait_ms(demand.group, self._now_ms, share)
            if max_wait_ms <= 0 or (cheapest is not None and not cheapest.victims):
                return cheapest
            if not self._has_work_ending_within(workers, max_wait_ms):
                continue
            plan = self._plan(demand, workers, max_wait_ms)
            if cheapest is None or (plan is not None and plan.cost < cheapest.cost):
                cheapest = plan
        return cheapest

    def _has_work_ending_within(self, workers: list[FleetWorker], limit_ms: float) -> bool:
        return any(
            occupant.ends_within(limit_ms)
            for worker in workers
            for occupant in self._occupants.of(worker)
        )

    def _plan(
        self, demand: Demand, workers: list[FleetWorker], max_wait_ms: float
    ) -> PreemptionPlan | None:
        wait_ms = 0.0
        victims: set[TaskGroup] = set()
        chosen: dict[int, FleetWorker] = {}
        placed_counts: dict[FleetWorker, int] = {}
        options: dict[FleetWorker, _Option] = {}
        stale = set(workers)
        for task in demand.tasks:
            for worker in stale:
                option = self._find_option(
                    demand, worker, placed_counts.get(worker, 0), victims, max_wait_ms
                )
                if option is None:
                    options.pop(worker, None)
                else:
                    options[worker] = option
            if not options:
                return None
            best = min(options.values(), key=_option_key)
            victims |= best.victims
            chosen[task] = best.worker
            wait_ms = max(wait_ms, best.wait_ms)
            placed_counts[best.worker] = placed_counts.get(best.worker, 0) + 1
            stale = {best.worker}
            for victim in best.victims:
                # Stopping a gang frees capacity on all its workers.
                stale.update(each.worker for each in victim.placements.values())
            stale &= set(workers)
        cost = self._delay_cost.loss_by_wait(demand.group, wait_ms)
        cost += WASTE_WEIGHT * self._loss(victims)
        return PreemptionPlan(cost, chosen, frozenset(victims), wait_ms)

    def _without_unneeded(self, group: TaskGroup, plan: PreemptionPlan) -> PreemptionPlan:
        """Returns the plan without victims that the group doesn't need, most expensive first.

        A gang that was chosen for one worker may free enough on others, where smaller groups had
        been chosen before.
        """
        victims = set(plan.victims)
        placed_counts = Counter(plan.workers.values())
        for victim in sorted(victims, key=self._dearest_first):
            workers = {each.worker for each in victim.placements.values()}
            others = victims - {victim}
            if all(
                self._fits_without(others, group, worker, placed_counts[worker], plan.wait_ms)
                for worker in workers & placed_counts.keys()
            ):
                victims.discard(victim)
        return plan._replace(victims=frozenset(victims))

    def _dearest_first(self, group: TaskGroup) -> tuple[float, str, str]:
        return (-self._loss([group]), group.job.id, group.key)

    def _fits_without(
        self,
        victims: set[TaskGroup],
        group: TaskGroup,
        worker: FleetWorker,
        placed: int,
        wait_ms: float,
    ) -> bool:
        required = group.occupied_resources.times(placed)
        if required.fits_in(worker.free_for(group)) and not has_latency_conflict(group, worker):
            return True
        retained = worker.untracked_usage + worker.reserved_for_others(group)
        for occupant in self._occupants.of(worker):
            if occupant.group not in victims and not occupant.ends_within(wait_ms):
                if conflicts_in_latency(group, occupant.group):
                    return False
                retained = retained + occupant.needs
        return required.fits_in(worker.listed.capacity.minus(retained))

    def _loss(self, victims: Iterable[TaskGroup]) -> float:
        """Returns the value put at risk by stopping all these groups."""
        waste = 0.0
        risks: dict[FleetJob, float] = {}
        for group in victims:
            loss = self._delay_cost.stop_loss(group)
            waste += loss.waste
            risks[group.job] = max(loss.risk, risks.get(group.job, 0.0))
        return waste + sum(risks.values())

    def _find_option(
        self,
        demand: Demand,
        worker: FleetWorker,
        placed: int,
        victims: set[TaskGroup],
        max_wait_ms: float,
    ) -> _Option | None:
        group = demand.group
        if group.request.tasks_per_worker and placed >= remaining_task_limit(group, worker):
            return None
        required = group.occupied_resources.times(placed + 1)
        if not required.fits_in(worker.listed.capacity):
            return None
        retained = worker.untracked_usage + worker.reserved_for_others(group)
        conflicting: list[Occupant] = []
        lower_priority: list[Occupant] = []
        others: list[Occupant] = []
        wait_ms = 0.0
        has_conflict = has_latency_conflict(group, worker)
        if has_conflict and has_reserved_conflict(group, worker):
            return None
        fits_now = not has_conflict and required.fits_in(worker.free_for(group))
        for occupant in () if fits_now else self._occupants.of(worker):
            if occupant.group in victims:
                continue
            if occupant.ends_within(max_wait_ms):
                wait_ms = max(wait_ms, occupant.remaining_ms or 0.0)
                continue
            retained = retained + occupant.needs
            other = occupant.group
            is_stoppable = demand.may_stop(other)
            if has_conflict and conflicts_in_latency(group, other):
                if not is_stoppable:
                    return None
                conflicting.append(occupant)
            elif is_stoppable:
                is_lower = other.job.priority > group.job.priority
                (lower_priority if is_lower else others).append(occupant)
        capacity = worker.listed.capacity
        new_victims = []
        stopped_jobs = {each.job for each in victims}
        cost = 0.0
        for number, occupant in enumerate(conflicting + lower_priority + others):
            # Work that may not share the worker is stopped whatever it occupies.
            if number >= len(conflicting) and required.fits_in(capacity.minus(retained)):
                break
            new_victims.append(occupant.group)
            cost += occupant.loss.waste
            if occupant.group.job not in stopped_jobs:
                cost += occupant.loss.risk
                stopped_jobs.add(occupant.group.job)
            retained = retained.minus(occupant.needs)
        if not required.fits_in(capacity.minus(retained)):
            return None
        return _Option(WASTE_WEIGHT * cost, worker, frozenset(new_victims), wait_ms)


def _option_key(option: _Option) -> tuple[float, int, str]:
    return (option.cost, option.worker.speed.speed_class, option.worker.name)


def _max_wait_ms(group: TaskGroup, now_ms: int, slack_share: float) -> float:
    """Returns how long the group may wait for other work to finish."""
    queue = group.job.queue
    if queue is None or group.ready_since_ms is None:
        return 0.0
    waited_ms = now_ms - group.ready_since_ms
    slack_ms = queue.objective_ms + (queue.objective_factor - 1) * group.request.expected_ms
    return min(slack_share * (slack_ms - waited_ms), MAX_WAIT_MS - waited_ms)


def _by_rack(workers: list[FleetWorker]) -> dict[RackName, list[FleetWorker]]:
    racks: dict[RackName, list[FleetWorker]] = {}
    for worker in workers:
        racks.setdefault(worker.listed.rack, []).append(worker)
    return racks
