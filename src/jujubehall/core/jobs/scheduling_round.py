"""A single scheduling round over one zone."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Reject
from jujubehall.core.jobs.feasibility import job_shape
from jujubehall.core.jobs.guarantee_allocator import GuaranteeAllocator
from jujubehall.core.jobs.guaranteed_placement import plan_guaranteed_placement
from jujubehall.core.jobs.invariants import RoundOutcome
from jujubehall.core.jobs.invariants import check_round
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.moves import plan_moves
from jujubehall.core.jobs.placement import FreeResources
from jujubehall.core.jobs.placement import place_gang
from jujubehall.core.jobs.policy_state import GUARANTEE_RETENTION_MS
from jujubehall.core.jobs.policy_state import PENDING_PLACEMENT_TIMEOUT_MS
from jujubehall.core.jobs.policy_state import PendingPlacement
from jujubehall.core.jobs.preemption import index_candidate_victims
from jujubehall.core.jobs.preemption import plan_preemption
from jujubehall.core.jobs.queue_order import arrival_priority
from jujubehall.core.jobs.queue_order import has_waited_long
from jujubehall.core.jobs.queue_order import queue_priority
from jujubehall.core.jobs.reservation import make_reservation
from jujubehall.core.jobs.running_job import RunningJob
from jujubehall.core.jobs.running_job import make_running_job

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.feasibility import JobShape
    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.job import PartPlacement
    from jujubehall.core.jobs.policy_options import PolicyOptions
    from jujubehall.core.jobs.policy_state import PolicyState
    from jujubehall.core.jobs.preemption import CandidateVictims
    from jujubehall.core.jobs.preemption import PreemptionPlan
    from jujubehall.core.jobs.queue_order import Priority
    from jujubehall.core.jobs.reservation import Reservation
    from jujubehall.core.jobs.zone_view import JobView
    from jujubehall.core.jobs.zone_view import WorkerView
    from jujubehall.core.jobs.zone_view import ZoneView
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import TeamName
    from jujubehall.identifiers import WorkerName

_FAR_FUTURE_MS = 2**62


class SchedulingRound:
    """Makes the decisions of one round: guaranteed work first, then urgent, then other borrowed.

    ``_spaces`` is the capacity that new placements may use: neither occupied by tasks nor held for
    pending placements. ``_unoccupied_spaces`` is the capacity that no task occupies, including the
    capacity held for pending placements, which only those may use.
    """

    def __init__(self, view: ZoneView, policy_state: PolicyState, options: PolicyOptions) -> None:
        self._view = view
        self._policy_state = policy_state
        self._options = options
        self._decisions: list[Decision] = []
        self._spaces = {
            worker.name: _free_space(worker) for worker in view.workers if worker.usable
        }
        self._unoccupied_spaces = {name: space.copy() for name, space in self._spaces.items()}
        self._running = [self._read_running(job) for job in view.running]
        self._running_by_id = {job.record.id: job for job in self._running}
        self._stopping: set[JobId] = set()
        self._reservations: list[Reservation] = []
        self._blocked_job: JobView | None = None
        self._victim_cache: dict[tuple[bool, bool, int], CandidateVictims] = {}
        self._quota_by_team = {team.name: team.accelerator_quota for team in view.teams}
        self._accelerators_in_use = Counter[str]()
        for job in self._running:
            self._accelerators_in_use[job.spec.team] += (
                job.spec.parts * job.spec.accelerators_per_part
            )
        self._queued = {j.record.id: j for j in view.queued if not j.record.cancel_requested}
        self._allocator = GuaranteeAllocator(view.workers, view.teams, policy_state.unallocated)

    def run(self) -> list[Decision]:
        """Makes and checks all decisions of the round and updates the policy state."""
        self._prune_state()
        self._reject_infeasible()
        self._classify_running()
        unplaced_before = len(self._allocator.unplaced)
        block_accelerators_before = self._allocator.block_accelerators()
        self._place_pending(guaranteed=True)
        self._place_guaranteed()
        self._place_pending(guaranteed=False)
        self._place_urgent()
        self._place_borrowed()
        if self._options.move_jobs:
            self._move_running_jobs()
        guaranteed = frozenset(job.record.id for job in self._running if job.guaranteed)
        outcome = RoundOutcome(
            self._running,
            guaranteed,
            self._allocator,
            unplaced_before,
            block_accelerators_before,
            self._reservations,
        )
        check_round(self._view, self._decisions, outcome)
        self._policy_state.unallocated = tuple(self._allocator.unallocated)
        for job in guaranteed:
            self._policy_state.guaranteed_at_ms[job] = self._view.now_ms
        return self._decisions

    def _read_running(self, job: JobView) -> RunningJob:
        age_ms = max(0, self._view.now_ms - job.started_at_ms)
        remaining_ms = self._remaining_ms(job.record.spec, age_ms)
        return make_running_job(job, self._view.now_ms, self._view.now_ms + remaining_ms)

    def _run_time_ms(self, spec: JobSpec) -> int:
        if not self._options.use_learned_run_times:
            return spec.run_time_ms
        return self._policy_state.estimates.run_time_ms(spec)

    def _remaining_ms(self, spec: JobSpec, age_ms: int) -> int:
        if not self._options.use_learned_run_times:
            return max(1, spec.run_time_ms - age_ms)
        return self._policy_state.estimates.remaining_ms(spec, age_ms)

    def _prune_state(self) -> None:
        """Removes obsolete pending placements and the state of jobs that left the view."""
        now_ms = self._view.now_ms
        current_placements = {job.record.id: job.record.placement for job in self._running}
        running = current_placements.keys()
        self._policy_state.guaranteed_at_ms = {
            job: since_ms
            for job, since_ms in self._policy_state.guaranteed_at_ms.items()
            if job in running
            or (job not in self._queued and now_ms - since_ms < GUARANTEE_RETENTION_MS)
        }
        self._policy_state.moved_at_ms = {
            j: at_ms for j, at_ms in self._policy_state.moved_at_ms.items() if j in running
        }
        for job, pending in list(self._policy_state.pending_placements.items()):
            valid = (
                (
                    job in self._queued
                    or current_placements.get(job, pending.placement) != pending.placement
                )
                and now_ms - pending.since_ms < PENDING_PLACEMENT_TIMEOUT_MS
                and all(part.worker in self._spaces for part in pending.placement)
            )
            if not valid:
                del self._policy_state.pending_placements[job]

    def _reject_infeasible(self) -> None:
        if not self._view.all_workers_known or not self._view.workers:
            return
        feasibility = self._policy_state.feasibility
        feasibility.update_workers(self._view.workers)
        for job_id, job in list(self._queued.items()):
            spec = job.record.spec
            reason = feasibility.infeasibility_reason(spec, self._quota_by_team.get(spec.team))
            if reason is not None:
                self._decisions.append(Reject(job_id, reason))
                self._policy_state.pending_placements.pop(job_id, None)
                del self._queued[job_id]

    def _classify_running(self) -> None:
        """Classifies running jobs as guaranteed or borrowed and packs the unallocated blocks."""
        oldest_first = sorted(self._running, key=lambda job: (job.started_at_ms, job.record.id))
        unclassified: list[RunningJob] = []
        for job in oldest_first:
            if job.record.id in self._policy_state.guaranteed_at_ms:
                job.guaranteed = self._allocator.allocate(
                    job.spec, job.record.placement, forced=True
                )
            if not job.guaranteed:
                unclassified.append(job)
        for job_id, pending in list(self._policy_state.pending_placements.items()):
            if not pending.guaranteed:
                continue
            spec = self._queued[job_id].record.spec
            if not self._allocator.allocate(spec, pending.placement, forced=True):
                del self._policy_state.pending_placements[job_id]
        self._allocator.pack()
        for pending in self._policy_state.pending_placements.values():
            self._stopping |= pending.victims
        for job in unclassified:
            is_stopping = job.record.state is JobState.STOPPING or job.record.id in self._stopping
            if not is_stopping and self._allocator.may_fit_part(
                job.spec.team, job.spec.accelerators_per_part
            ):
                job.guaranteed = self._allocator.allocate(job.spec, job.record.placement)

    def _place_pending(self, *, guaranteed: bool) -> None:
        """Places jobs whose held capacity has become free; the others remain pending."""
        for job_id, pending in list(self._policy_state.pending_placements.items()):
            if pending.guaranteed != guaranteed:
                continue
            queued = self._queued.get(job_id)
            spec = queued.record.spec if queued else self._running_by_id[job_id].spec
            _allocate(self._spaces, spec, pending.placement)
            if not guaranteed and self._is_unsatisfiable(pending):
                _allocate(self._spaces, spec, pending.placement, -1)
                del self._policy_state.pending_placements[job_id]
                continue
            if queued is None:
                continue
            _allocate(self._unoccupied_spaces, spec, pending.placement)
            if all(
                _is_within_capacity(self._unoccupied_spaces[part.worker])
                for part in pending.placement
            ):
                self._decisions.append(Place(job_id, pending.placement))
                del self._policy_state.pending_placements[job_id]
            else:
                _allocate(self._unoccupied_spaces, spec, pending.placement, -1)
            self._add_running(job_id, pending.placement, pending.guaranteed)

    def _is_unsatisfiable(self, pending: PendingPlacement) -> bool:
        """Whether a pending placement won't fit even after all stopping jobs have stopped."""
        future_spaces = {
            part.worker: self._spaces[part.worker].copy() for part in pending.placement
        }
        for job in self._running:
            if job.record.id in self._stopping or job.record.state is JobState.STOPPING:
                for worker, parts in job.parts_by_worker.items():
                    if worker in future_spaces:
                        future_spaces[worker].allocate(job.spec, -parts)
        return not all(_is_within_capacity(space) for space in future_spaces.values())

    def _place_guaranteed(self) -> None:
        """Places each job that its team's guarantee covers, preempting borrowed work if needed."""
        failed: set[tuple[JobShape, TeamName]] = set()
        waiting = sorted(
            self._queued.values(),
            key=lambda job: (not job.record.spec.urgent, job.queued_since_ms, job.record.id),
        )
        for job in waiting:
            spec = job.record.spec
            key = (job_shape(spec), spec.team)
            if spec.accelerators_per_part == 0 or key in failed or not self._within_quota(spec):
                continue
            if not self._allocator.may_fit_part(spec.team, spec.accelerators_per_part):
                continue
            candidate_victims = self._index_candidate_victims(urgent=True, immediate=spec.urgent)
            plan = plan_guaranteed_placement(spec, self._allocator, self._spaces, candidate_victims)
            if plan is None:
                failed.add(key)
                continue
            self._apply_plan(job.record.id, plan, "guaranteed work", guaranteed=True)

    def _place_urgent(self) -> None:
        """Places urgent jobs beyond a guarantee, preempting borrowed work that is not urgent."""
        waiting = [job for job in self._queued.values() if job.record.spec.urgent]
        for job in sorted(waiting, key=lambda job: (job.queued_since_ms, job.record.id)):
            spec = job.record.spec
            if not self._within_quota(spec):
                continue
            placement = place_gang(spec, self._spaces.values())
            if placement is not None:
                self._place(job.record.id, placement)
                continue
            candidate_victims = self._index_candidate_victims(urgent=False, immediate=True)
            plan = plan_preemption(spec, self._spaces.values(), candidate_victims)
            if plan is not None:
                self._apply_plan(job.record.id, plan, "urgent job", guaranteed=False)

    def _place_borrowed(self) -> None:
        """Places borrowed jobs in order of priority and reserves capacity for gangs that don't fit.

        Jobs of lower priority are backfilled as long as they don't delay a reservation.
        """
        failed: set[tuple[JobShape, tuple[bool, ...]]] = set()
        for job in sorted(self._queued.values(), key=self._priority):
            spec = job.record.spec
            if not self._within_quota(spec):
                continue
            ends_at_ms = self._view.now_ms + self._run_time_ms(spec)
            ends_after_reserved_start = tuple(
                ends_at_ms > reservation.start_ms for reservation in self._reservations
            )
            if (job_shape(spec), ends_after_reserved_start) in failed:
                continue
            placement = place_gang(spec, self._spaces_for_end(ends_at_ms))
            if placement is not None:
                self._place(job.record.id, placement)
                continue
            failed.add((job_shape(spec), ends_after_reserved_start))
            wait_required = self._options.delay_reservations and not has_waited_long(
                job, self._view.now_ms
            )
            if len(self._reservations) < self._options.max_reservations and not wait_required:
                self._reserve(job)
            elif self._blocked_job is None:
                self._blocked_job = job

    def _spaces_for_end(self, ends_at_ms: int) -> Iterable[FreeResources]:
        spaces: Iterable[FreeResources] = self._spaces.values()
        for reservation in self._reservations:
            spaces = [reservation.limit(space, ends_at_ms) for space in spaces]
        return spaces

    def _reserve(self, job: JobView) -> None:
        reservation = self._plan_reservation(job)
        if reservation is not None:
            self._reservations.append(reservation)

    def _plan_reservation(self, job: JobView) -> Reservation | None:
        spaces = {name: space.copy() for name, space in self._spaces.items()}
        for earlier in self._reservations:
            _allocate(spaces, self._queued[earlier.job].record.spec, earlier.placement)
        return make_reservation(
            job.record.id, job.record.spec, list(spaces.values()), self._running
        )

    def _move_running_jobs(self) -> None:
        """Moves borrowed jobs to free adjacent capacity for the first waiting gang if it pays."""
        if self._reservations:
            waiting = self._reservations.pop(0)
            if not self._move_jobs_for(waiting):
                self._reservations.insert(0, waiting)
        elif self._blocked_job is not None:
            expected = self._plan_reservation(self._blocked_job)
            if expected is not None:
                self._move_jobs_for(expected)

    def _move_jobs_for(self, waiting: Reservation) -> bool:
        now_ms = self._view.now_ms
        movable = [
            j
            for j in self._preemptible_jobs(urgent=False)
            if j.record.id not in self._policy_state.moved_at_ms
        ]
        plan = plan_moves(
            self._queued[waiting.job].record.spec,
            self._spaces_for_end(_FAR_FUTURE_MS),
            movable,
            waiting.start_ms - now_ms,
        )
        if plan is None:
            return False
        for job, placement in plan.moves:
            reason = f"moved to free adjacent capacity for {waiting.job}"
            self._decisions.append(Move(job.record.id, placement, reason))
            self._policy_state.moved_at_ms[job.record.id] = now_ms
            self._policy_state.pending_placements[job.record.id] = PendingPlacement(
                placement, now_ms, frozenset(), False
            )
        moved = frozenset(job.record.id for job, _ in plan.moves)
        self._policy_state.pending_placements[waiting.job] = PendingPlacement(
            plan.placement, now_ms, moved, False
        )
        return True

    def _priority(self, job: JobView) -> Priority:
        run_time_ms = self._run_time_ms(job.record.spec)
        if not self._options.use_priority_order:
            return arrival_priority(job)
        return queue_priority(job, self._view.now_ms, run_time_ms, self._view.fragmentation_weight)

    def _preemptible_jobs(self, *, urgent: bool) -> list[RunningJob]:
        """Returns the borrowed jobs that may be preempted; ``urgent`` includes urgent ones."""
        return [
            job
            for job in self._running
            if job.preemptible
            and job.record.id not in self._stopping
            and (urgent or not job.spec.urgent)
        ]

    def _index_candidate_victims(self, *, urgent: bool, immediate: bool) -> CandidateVictims:
        """Returns the preemptible jobs by worker; cached until further jobs are preempted."""
        key = (urgent, immediate, len(self._stopping))
        if key not in self._victim_cache:
            self._victim_cache[key] = index_candidate_victims(
                self._preemptible_jobs(urgent=urgent), immediate=immediate
            )
        return self._victim_cache[key]

    def _within_quota(self, spec: JobSpec) -> bool:
        quota = self._quota_by_team.get(spec.team)
        wanted = spec.parts * spec.accelerators_per_part
        return quota is None or self._accelerators_in_use[spec.team] + wanted <= quota

    def _apply_plan(
        self, job_id: JobId, plan: PreemptionPlan, reason: str, *, guaranteed: bool
    ) -> None:
        if not plan.victims:
            self._place(job_id, plan.placement, guaranteed=guaranteed)
            return
        victims = frozenset(victim.record.id for victim in plan.victims)
        immediate = self._queued[job_id].record.spec.urgent
        for victim in plan.victims:
            preempt = Preempt(victim.record.id, job_id, f"preempted ({reason})", immediate)
            self._decisions.append(preempt)
        self._stopping |= victims
        self._policy_state.pending_placements[job_id] = PendingPlacement(
            plan.placement, self._view.now_ms, victims, guaranteed=guaranteed
        )
        _allocate(self._spaces, self._queued[job_id].record.spec, plan.placement)
        self._add_running(job_id, plan.placement, guaranteed)

    def _place(
        self, job_id: JobId, placement: tuple[PartPlacement, ...], *, guaranteed: bool = False
    ) -> None:
        self._decisions.append(Place(job_id, placement))
        self._policy_state.pending_placements.pop(job_id, None)
        spec = self._queued[job_id].record.spec
        _allocate(self._spaces, spec, placement)
        _allocate(self._unoccupied_spaces, spec, placement)
        job = self._add_running(job_id, placement, guaranteed)
        for reservation in self._reservations:
            reservation.record_placement(spec, placement, job.ends_at_ms)

    def _add_running(
        self, job_id: JobId, placement: tuple[PartPlacement, ...], guaranteed: bool
    ) -> RunningJob:
        """Treats a placed or pending job as running for the rest of the round."""
        record = self._queued.pop(job_id).record
        now_ms = self._view.now_ms
        parts_by_worker: dict[WorkerName, int] = dict(Counter(part.worker for part in placement))
        ends_at_ms = now_ms + self._run_time_ms(record.spec)
        job = RunningJob(record, now_ms, ends_at_ms, parts_by_worker, 0, 0, guaranteed)
        self._running.append(job)
        self._accelerators_in_use[record.spec.team] += (
            record.spec.parts * record.spec.accelerators_per_part
        )
        return job


def _allocate(
    spaces: Mapping[WorkerName, FreeResources],
    spec: JobSpec,
    placement: Iterable[PartPlacement],
    times: int = 1,
) -> None:
    for part in placement:
        spaces[part.worker].allocate(spec, times)


def _is_within_capacity(space: FreeResources) -> bool:
    return min(space.accelerators, space.cores, space.memory_gb) >= 0


def _free_space(worker: WorkerView) -> FreeResources:
    return FreeResources(
        worker.name,
        worker.rack,
        worker.capacity.accelerators - worker.held.accelerators - worker.foreign.accelerators,
        worker.capacity.cores - worker.held.cores - worker.foreign.cores,
        worker.capacity.memory_gb - worker.held.memory_gb - worker.foreign.memory_gb,
        worker.capacity.accelerators,
    )
