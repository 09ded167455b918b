"""A scheduling round: which waiting groups to start and where, and which groups to stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.decisions import Decision
from jujubehall.core.fleet.decisions import ReserveCapacity
from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.decisions import StopReason
from jujubehall.core.fleet.delay_cost import DelayCost
from jujubehall.core.fleet.disruption import is_limited_service
from jujubehall.core.fleet.expected_end import speed_preference
from jujubehall.core.fleet.gang_starts import incomplete_gangs
from jujubehall.core.fleet.guarantee_room import GuaranteeRoom
from jujubehall.core.fleet.occupants import WorkerOccupants
from jujubehall.core.fleet.placement import choose_workers
from jujubehall.core.fleet.preemption import PreemptionPlanner
from jujubehall.core.fleet.preemption import preemption_loss
from jujubehall.core.fleet.preemption import stop_decision
from jujubehall.core.fleet.priorities import HIGHEST_PRIORITY
from jujubehall.core.fleet.priorities import MIN_DEFERRABLE_PRIORITY
from jujubehall.core.fleet.queue_order import QueueOrder
from jujubehall.core.fleet.reclaiming import ReclaimPlanner
from jujubehall.core.fleet.relocation import should_evacuate
from jujubehall.core.fleet.relocation import should_relocate
from jujubehall.core.fleet.slowness import PeerDurations
from jujubehall.core.fleet.suitability import has_latency_conflict
from jujubehall.core.fleet.task_limits import remaining_task_limit
from jujubehall.core.fleet.worker_candidates import WorkerCandidates
from jujubehall.core.fleet.worker_candidates import needs_proven_workers

if TYPE_CHECKING:
    from jujubehall.core.fleet.best_fit import BestFitHeap
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.preemption import PreemptionPlan
    from jujubehall.core.fleet.resources import Resources
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.core.fleet.workers import FleetWorker

RESERVATION_TIMEOUT_MS = 1_500
"""How long capacity is reserved for a group while other tasks are stopped: the site's limit for a
stop (400 ms) plus two polls of the worker."""

LOCALITY_WAIT_SHARE = 1.0
"""A task waits this share of its expected duration for a placement near its data or within one
rack, since it takes three times as long elsewhere. It doesn't wait if that can't be had."""

MIN_LOCALITY_WAIT_MS = 1_000

SUSPECT_WAIT_MS = 1_000
"""How long a group that may have crashed a worker waits for workers on which nothing runs."""

HEALTHY_WORKER_WAIT_MS = 1_000
"""After this wait, a group may use workers that are slow or on which it has failed."""


MAX_SPEED_PLANS = 8
"""Plans per round for urgent groups that could start at once on slower workers. A plan examines the
work on all workers, 30 ms on 816 of them; the other groups start on the slower workers."""

MAX_SPEED_WAIT_MS = 800
"""Longest wait after which an urgent group may still pass over free slow workers for faster ones. With
the reservation it starts within 2.3 s; urgent work has to start within 2.9 s on the sites."""


MAX_UNSENT_STARTS = 1_024
"""How many starts may have been decided and not be sent yet. A host sends about a thousand a second;
work that arrives meanwhile must not wait for a whole large job, nor a round decide on all of it."""

MAX_UNSENT_URGENT_STARTS = 2 * MAX_UNSENT_STARTS
"""Urgent starts are sent before others, so they don't wait for them to be sent."""


MAX_SERVICE_GROUPS = 32
"""Groups of services that must leave room to guarantees, per round. Each examines all workers, some
milliseconds on 816 of them."""


class SchedulingRound:
    """Makes the scheduling decisions for one moment.

    Starts and stops are recorded in ``FleetState`` as they are decided; the caller sends them to
    the workers.
    """

    def __init__(self, fleet_state: FleetState, now_ms: int) -> None:
        self._fleet_state = fleet_state
        self._now_ms = now_ms
        self._decisions: list[Decision] = []
        self._preempted: set[TaskGroup] = set()
        self._unplaceable_steps: set[tuple[object, ...]] = set()
        """Keys of steps of which a task could not be placed in this round; the step's other tasks
        with the same key are skipped."""

        self._unplaceable_needs: dict[tuple[object, ...], list[Resources]] = {}
        """Needs of unconstrained tasks that could not be placed, by placement class; tasks that
        need at least as much are skipped."""

        self._speed_plans = 0
        """Plans made for urgent groups that could also start on slower workers."""

        self._service_groups = 0
        """Groups of services considered in this round that must leave room to guarantees."""

        self._awaited = 0
        """Accelerators that groups which could not be placed in this round wait for."""

        self._headroom = 0
        """Accelerators to keep free for expected urgent work, beyond those that urgent work
        uses."""

        self._peers = PeerDurations()
        self._candidates = WorkerCandidates(fleet_state, now_ms)
        self._unsent_starts = fleet_state.count_unsent_starts()
        self._waiting = list(fleet_state.waiting_groups(now_ms))
        self._delay_cost = DelayCost(now_ms, fleet_state.work_history)
        self._order = QueueOrder(
            fleet_state.configuration.teams,
            fleet_state.workers.values(),
            self._waiting,
            self._delay_cost,
            now_ms,
        )
        self._occupants = WorkerOccupants(now_ms, self._delay_cost)
        self._planner = PreemptionPlanner(now_ms, self._order, self._delay_cost, self._occupants)
        self._reclaim_planner = ReclaimPlanner(self._order, self._planner, self._occupants)
        self._guarantee_room = GuaranteeRoom(fleet_state, self._order)

    def run(self) -> list[Decision]:
        """Runs the round and returns the decisions in the order in which to carry them out."""
        self._stop_incomplete_gangs()
        self._evacuate()
        if self._fleet_state.are_starts_suspended:
            return self._decisions
        self._relocate()
        waiting = sorted(self._waiting, key=self._order.sort_key)
        self._headroom = self._compute_headroom(waiting)
        for group in waiting:
            if self._unsent_starts >= _max_unsent_starts(group):
                continue
            if self._step_key(group) in self._unplaceable_steps:
                continue
            if self._guarantee_room.applies_to(group):
                if self._service_groups >= MAX_SERVICE_GROUPS:
                    continue
                self._service_groups += 1
            self._schedule(group)
        return self._decisions

    def _stop_incomplete_gangs(self) -> None:
        for group in incomplete_gangs(self._fleet_state, self._now_ms):
            self._stop(group, StopReason.GANG_INCOMPLETE)

    def _evacuate(self) -> None:
        """Stops groups on draining workers that can continue elsewhere."""
        leaving = {
            group: worker
            for worker in self._fleet_state.workers.values()
            if worker.departure_ms is not None
            for group, _ in worker.placements
        }
        for group, worker in sorted(
            leaving.items(), key=lambda each: self._scheduling_order(each[0])
        ):
            if not should_evacuate(group, worker, self._peers, self._now_ms):
                continue
            may_wait = group.request.saves_checkpoints and not is_limited_service(group)
            destination = self._choose(group, self._candidates.healthy(group), relax_locality=True)
            if may_wait or destination is not None:
                self._stop(group, StopReason.WORKER_LEAVES)

    def _stop(self, group: TaskGroup, reason: StopReason) -> None:
        self._fleet_state.mark_stopping(group)
        self._occupants.invalidate(group)
        self._decisions.append(stop_decision(group, reason, self._now_ms))

    def _relocate(self) -> None:
        """Stops groups that should finish sooner on other workers that have free capacity."""
        degraded = {
            group
            for worker in self._fleet_state.workers.values()
            if worker.is_degraded(self._now_ms)
            for group, _ in worker.placements
        }
        for group in sorted(degraded, key=self._scheduling_order):
            if not should_relocate(group, self._peers, self._now_ms):
                continue
            workers = self._candidates.healthy(group)
            if self._choose(group, workers, relax_locality=False) is None:
                continue
            group.relocations += 1
            self._stop(group, StopReason.TOO_SLOW)

    def _scheduling_order(self, group: TaskGroup) -> tuple[int, int, str, str]:
        job = group.job
        return (job.priority, group.ready_since_ms or 0, job.id, group.key)

    def _schedule(self, group: TaskGroup) -> None:
        placement_class = self._placement_class(group)
        if placement_class is not None and any(
            needs.fits_in(group.occupied_resources)
            for needs in self._unplaceable_needs.get(placement_class, ())
        ):
            return
        healthy = self._candidates.healthy(group)
        if group.is_suspect and self._schedule_suspect(group, healthy):
            return
        if group.reserved_workers and not self._resume_reservation(group):
            return
        if not self._leaves_headroom(group):
            self._unplaceable_steps.add(self._step_key(group))
            return
        preferred = self._candidates.preferred(group)
        if self._prefers_to_preempt(group, preferred) and self._preempt_for_speed(group, healthy):
            return
        if self._place_on_healthy_workers(group, preferred, include_cold=False):
            return
        if len(preferred) < len(healthy) and self._place_on_healthy_workers(
            group, healthy, include_cold=True
        ):
            return
        if group.job.priority == HIGHEST_PRIORITY and not group.reserved_workers:
            self._preempt(group, healthy)
        if group.reserved_workers:
            return
        if self._may_relax_locality(group) and self._place(group, healthy, relax_locality=True):
            return
        if self._order.is_guaranteed(group) and self._reclaim(group):
            return
        # Few workers may be left to a large gang that avoids those on which it was.
        relax_locality = bool(group.avoided_workers) and self._may_relax_locality(group)
        if (
            self._waited_ms(group) >= HEALTHY_WORKER_WAIT_MS
            and not needs_proven_workers(group, self._now_ms)
            and self._place(group, self._candidates.eligible(group), relax_locality)
        ):
            return
        self._unplaceable_steps.add(self._step_key(group))
        if group.job.priority < MIN_DEFERRABLE_PRIORITY:
            self._awaited += group.occupied_resources.accelerators * len(group.indexes)
        if placement_class is not None:
            self._unplaceable_needs.setdefault(placement_class, []).append(group.occupied_resources)

    def _schedule_suspect(self, group: TaskGroup, healthy: list[FleetWorker]) -> bool:
        """Starts a group that may have crashed a worker apart from others, or lets it wait.

        So its next crash tells whether it is the cause, and takes little else with it. The groups
        of one job are tried one after the other, and twice as many at a time as have survived.

        Returns False if it has to be placed like any other group.
        """
        if group.reserved_workers:
            return False
        tried = sum(each.is_suspect and bool(each.placements) for each in group.job.all_groups())
        if tried > group.job.cleared_suspects:
            return True
        relax_locality = self._may_relax_locality(group)
        established = [each for each in healthy if each.is_established(self._now_ms)]
        vacant = [each for each in established if not each.placements]
        if self._place(group, vacant, relax_locality):
            return True
        if self._now_ms - group.not_before_ms < SUSPECT_WAIT_MS:
            return True
        least_loss_first = sorted(established, key=self._loss_in_crash)
        count = len(group.indexes)
        while count < 2 * len(least_loss_first):
            if self._place(group, least_loss_first[:count], relax_locality):
                return True
            count *= 2
        return False

    def _loss_in_crash(self, worker: FleetWorker) -> tuple[bool, int, str]:
        """Returns a key by which workers are sorted whose crash would lose least."""
        groups = {group for group, _ in worker.placements}
        return (
            worker.hosts_start(self._now_ms),
            sum(preemption_loss(group, self._now_ms) for group in groups),
            worker.name,
        )

    def _placement_class(self, group: TaskGroup) -> tuple[object, ...] | None:
        """Returns a key for the workers that a single task without constraints may use.

        Returns None for all other groups.
        """
        request = group.request
        queue = group.job.queue
        if (
            queue is None
            or queue.asks_for_advice
            or group.job.priority == HIGHEST_PRIORITY
            or group.is_suspect
            or request.is_gang
            or request.tasks_per_worker
            or request.is_filler
            or request.target_latency_ms
            or group.avoided_workers
            or group.is_at_last_attempt
            or (request.data_rack and not self._may_relax_locality(group))
        ):
            return None
        return (
            queue.pool,
            request.required_label,
            self._waited_ms(group) >= HEALTHY_WORKER_WAIT_MS,
        )

    def _step_key(self, group: TaskGroup) -> tuple[object, ...]:
        """Returns a key shared by the step's tasks that are interchangeable in this round."""
        placement_history = (
            frozenset(group.avoided_workers),
            bool(group.reserved_workers),
            group.is_suspect,
            needs_proven_workers(group, self._now_ms),
        )
        return (
            group.job.id,
            group.occurrence,
            group.step,
            self._may_relax_locality(group),
            placement_history,
        )

    def _compute_headroom(self, waiting: list[TaskGroup]) -> int:
        in_use = sum(
            group.request.needs.accelerators
            for worker in self._fleet_state.workers.values()
            for group, _ in worker.placements
            if group.job.priority == HIGHEST_PRIORITY
        )
        required = sum(
            group.request.needs.accelerators * len(group.indexes)
            for group in waiting
            if group.job.priority == HIGHEST_PRIORITY
        )
        self._fleet_state.urgent_demand.record(in_use + required, self._now_ms)
        return self._fleet_state.urgent_demand.headroom(in_use, self._now_ms)

    def _leaves_headroom(self, group: TaskGroup) -> bool:
        """Returns whether the group may start without using capacity that other work needs.

        That is urgent work that is expected, and work of a higher priority that waits until enough
        accelerators are free together. Overnight tasks would take each of them as it becomes free,
        and the groups that wait for several at once would never start.

        The share of the headroom that is kept free shrinks as the group waits, to prevent
        starvation.
        """
        if group.job.priority < MIN_DEFERRABLE_PRIORITY:
            return True
        # Work with checkpoints is cheap to preempt, but only urgent work preempts.
        headroom = self._awaited + (0 if group.request.saves_checkpoints else self._headroom)
        if not headroom:
            return True
        max_wait_ms = max(1, group.request.expected_ms)
        share = max(0.0, 1 - self._waited_ms(group) / max_wait_ms)
        required = group.occupied_resources.accelerators * len(group.indexes)
        return self._candidates.free_accelerators(group) - required >= headroom * share

    def _place_on_healthy_workers(
        self, group: TaskGroup, healthy: list[FleetWorker], include_cold: bool
    ) -> bool:
        """Places the group on healthy workers, near its data if it has a data rack."""
        best_fit = self._best_fit(group, include_cold)
        if best_fit is None:
            return self._place(group, healthy, relax_locality=False)
        worker = best_fit.find()
        if worker is None:
            return False
        self._start(group, {group.indexes.start: worker})
        return True

    def _best_fit(self, group: TaskGroup, include_cold: bool) -> BestFitHeap | None:
        """Returns the heap of the workers for a single task; None for all other groups."""
        request = group.request
        is_unconstrained = len(group.indexes) == 1 and not (
            request.data_rack
            or request.tasks_per_worker
            or group.avoided_workers
            or group.reserved_workers
            or group.is_at_last_attempt
            or self._guarantee_room.applies_to(group)
        )
        return self._candidates.best_fit(group, include_cold) if is_unconstrained else None

    def _place(self, group: TaskGroup, workers: list[FleetWorker], relax_locality: bool) -> bool:
        chosen = self._choose(group, workers, relax_locality)
        if chosen is None:
            return False
        self._start(group, chosen)
        return True

    def _choose(
        self, group: TaskGroup, workers: list[FleetWorker], relax_locality: bool
    ) -> dict[int, FleetWorker] | None:
        """Chooses free workers for the group's tasks that leave room to guarantees, or None."""
        workers = self._guarantee_room.leaving_room(group, workers)
        chosen = choose_workers(group, workers, self._now_ms, relax_locality)
        if chosen is None or not self._guarantee_room.leaves_room(group, chosen.values()):
            return None
        return chosen

    def _may_relax_locality(self, group: TaskGroup) -> bool:
        if group.job.priority == HIGHEST_PRIORITY:
            return True
        max_wait_ms = max(MIN_LOCALITY_WAIT_MS, LOCALITY_WAIT_SHARE * group.request.expected_ms)
        return self._waited_ms(group) >= max_wait_ms or not self._candidates.can_be_local(group)

    def _waited_ms(self, group: TaskGroup) -> int:
        return self._now_ms - (group.ready_since_ms or self._now_ms)

    def _resume_reservation(self, group: TaskGroup) -> bool:
        """Starts a group whose reserved capacity has become free.

        Returns True if the reservation is no longer usable and the group needs a new placement.
        """
        workers = self._reservable_workers(group)
        usable = all(
            worker in workers
            and group.count_reserved_on(worker) <= remaining_task_limit(group, worker)
            for worker in group.reserved_workers.values()
        )
        if usable and all(
            worker.reserved_for(group).fits_in(worker.free_for(group))
            and not has_latency_conflict(group, worker)
            for worker in group.reserved_workers.values()
        ):
            self._start(group, group.reserved_workers)
            return False
        if usable and self._now_ms < group.reserved_until_ms:
            return False
        self._release_reservation(group)
        return True

    def _start(self, group: TaskGroup, chosen: dict[int, FleetWorker]) -> None:
        self._release_reservation(group)
        self._fleet_state.record_start(group, chosen, self._now_ms)
        self._unsent_starts += len(chosen)
        self._occupants.invalidate(group)
        self._guarantee_room.note_placed(group, chosen.values())
        if group.is_suspect:
            self._candidates.clear()
        else:
            self._candidates.refresh(chosen.values())
        self._decisions.append(StartGroup(group, dict(chosen), group.run))

    def _release_reservation(self, group: TaskGroup) -> None:
        workers = list(group.reserved_workers.values())
        group.release_reservation()
        self._candidates.refresh(workers)

    def _prefers_to_preempt(self, group: TaskGroup, workers: list[FleetWorker]) -> bool:
        """Returns whether an urgent group would be late on the workers that are free."""
        if (
            not self._fleet_state.speeds.has_classes
            or group.job.priority != HIGHEST_PRIORITY
            or group.reserved_workers
            or self._waited_ms(group) > MAX_SPEED_WAIT_MS
            or self._speed_plans >= MAX_SPEED_PLANS
        ):
            return False
        chosen = self._choose_free_workers(group, workers)
        if not chosen:
            return False
        return not speed_preference(group, self._now_ms).is_in_time(chosen)

    def _choose_free_workers(
        self, group: TaskGroup, workers: list[FleetWorker]
    ) -> list[FleetWorker]:
        best_fit = self._best_fit(group, include_cold=False)
        if best_fit is None:
            chosen = choose_workers(group, workers, self._now_ms, relax_locality=False) or {}
            return list(chosen.values())
        worker = best_fit.find()
        return [] if worker is None else [worker]

    def _preempt_for_speed(self, group: TaskGroup, workers: list[FleetWorker]) -> bool:
        """Preempts work on faster workers if the group is expected to be in time on them."""
        self._speed_plans += 1
        plan = self._planner.find_faster(group, self._guarantee_room.leaving_room(group, workers))
        if plan is None:
            return False
        self._carry_out(group, plan)
        return True

    def _preempt(self, group: TaskGroup, workers: list[FleetWorker]) -> None:
        plan = self._planner.find(group, self._guarantee_room.leaving_room(group, workers))
        if plan is not None and self._guarantee_room.leaves_room(group, plan.workers.values()):
            self._carry_out(group, plan)

    def _reclaim(self, group: TaskGroup) -> bool:
        """Takes what a guaranteed group needs from all work that isn't within a guarantee.

        Capacity that is only reserved for such work is taken as well. Returns False if no allowed
        stops make enough room.
        """
        siblings = [
            each
            for each in group.job.groups[group.occurrence, group.step]
            if each is not group and self._may_be_reclaimed_with(each, group)
        ]
        displaced = self._displace_reservations()
        plans = self._find_reclaim_plans([group, *siblings])
        taken = {worker for plan in plans.values() for worker in plan.workers.values()}
        for each, (workers, until_ms) in displaced.items():
            if taken.isdisjoint(workers.values()):
                each.reserve(workers, until_ms)
                self._candidates.refresh(workers.values())
        for each, plan in plans.items():
            self._carry_out(each, plan)
        if plans and not plans[group].victims and not plans[group].wait_ms:
            self._resume_reservation(group)
        return bool(plans)

    def _displace_reservations(self) -> dict[TaskGroup, tuple[dict[int, FleetWorker], int]]:
        """Releases the reservations of groups beyond guarantees; returns their workers and ends."""
        displaced = {
            each: (each.reserved_workers, each.reserved_until_ms)
            for each in self._waiting
            if each.reserved_workers and not self._order.is_guaranteed(each)
        }
        for each in displaced:
            self._release_reservation(each)
        return displaced

    def _find_reclaim_plans(self, groups: list[TaskGroup]) -> dict[TaskGroup, PreemptionPlan]:
        group = groups[0]
        healthy = self._candidates.healthy(group, allow_conflicts=True)
        plans = self._reclaim_planner.find(groups, healthy)
        usable = self._reservable_workers(group)
        if not plans and len(usable) > len(healthy):
            plans = self._reclaim_planner.find(groups, usable)
        return plans

    def _may_be_reclaimed_with(self, group: TaskGroup, first: TaskGroup) -> bool:
        return (
            group.is_waiting
            and self._order.is_guaranteed(group)
            and not group.reserved_workers
            and not group.is_suspect
            and group.avoided_workers == first.avoided_workers
        )

    def _reservable_workers(self, group: TaskGroup) -> list[FleetWorker]:
        """Returns the workers on which capacity may be reserved for the group.

        After a while, a guaranteed group also uses workers that are slow or on which it has failed.
        """
        if (
            self._order.is_guaranteed(group)
            and self._waited_ms(group) >= HEALTHY_WORKER_WAIT_MS
            and not needs_proven_workers(group, self._now_ms)
        ):
            return self._candidates.eligible(group, allow_conflicts=True)
        return self._candidates.healthy(group, allow_conflicts=True)

    def _carry_out(self, group: TaskGroup, plan: PreemptionPlan) -> None:
        reservation_ms = RESERVATION_TIMEOUT_MS
        if plan.wait_ms and not plan.victims:
            reservation_ms = round(plan.wait_ms)
            self._decisions.append(ReserveCapacity(group, plan.workers, reservation_ms))
        group.reserve(plan.workers, self._now_ms + reservation_ms)
        self._guarantee_room.note_placed(group, plan.workers.values())
        self._candidates.refresh(plan.workers.values())
        for victim in sorted(plan.victims, key=lambda each: (each.job.id, each.key)):
            if victim not in self._preempted:
                self._preempted.add(victim)
                self._fleet_state.mark_stopping(victim)
                self._occupants.invalidate(victim)
                self._decisions.append(
                    stop_decision(victim, StopReason.PREEMPTED, self._now_ms, group.job.id)
                )


def _max_unsent_starts(group: TaskGroup) -> int:
    is_urgent = group.job.priority == HIGHEST_PRIORITY
    return MAX_UNSENT_URGENT_STARTS if is_urgent else MAX_UNSENT_STARTS
