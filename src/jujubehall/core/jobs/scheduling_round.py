"""One round of decisions over one zone."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Refuse
from jujubehall.core.jobs.feasibility import shape_of
from jujubehall.core.jobs.guarantee_book import GuaranteeBook
from jujubehall.core.jobs.guaranteed_placement import plan_guaranteed
from jujubehall.core.jobs.invariants import RoundOutcome
from jujubehall.core.jobs.invariants import check_round
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.moves import plan_moves
from jujubehall.core.jobs.placement import FreeSpace
from jujubehall.core.jobs.placement import place_gang
from jujubehall.core.jobs.policy_memory import CLAIM_TIMEOUT_MS
from jujubehall.core.jobs.policy_memory import GUARANTEE_MEMORY_MS
from jujubehall.core.jobs.policy_memory import Claim
from jujubehall.core.jobs.preemption import index_victims
from jujubehall.core.jobs.preemption import plan_preemption
from jujubehall.core.jobs.queue_order import arrival_order
from jujubehall.core.jobs.queue_order import has_waited_long
from jujubehall.core.jobs.queue_order import queue_order
from jujubehall.core.jobs.reservation import make_reservation
from jujubehall.core.jobs.running_job import RunningJob
from jujubehall.core.jobs.running_job import make_running_job

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.feasibility import Shape
    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.job import PartPlacement
    from jujubehall.core.jobs.policy_memory import PolicyMemory
    from jujubehall.core.jobs.policy_options import PolicyOptions
    from jujubehall.core.jobs.preemption import Occupants
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
    """Decides once: first guaranteed work, then urgent work, then other borrowed work.

    ``_spaces`` is what new placements may take. ``_unheld`` is what no task holds, of which
    claims may take their part.
    """

    def __init__(self, view: ZoneView, memory: PolicyMemory, options: PolicyOptions) -> None:
        self._view = view
        self._memory = memory
        self._options = options
        self._decisions: list[Decision] = []
        self._spaces = {
            worker.name: _free_space(worker) for worker in view.workers if worker.usable
        }
        self._unheld = {name: space.copy() for name, space in self._spaces.items()}
        self._running = [self._read_running(job) for job in view.running]
        self._moving = {job.record.id: job for job in self._running}
        self._stopping: set[JobId] = set()
        self._reservations: list[Reservation] = []
        self._blocked: JobView | None = None
        self._occupants: dict[tuple[bool, bool, int], Occupants] = {}
        self._quota = {team.name: team.accelerator_quota for team in view.teams}
        self._in_use = Counter[str]()
        for job in self._running:
            self._in_use[job.spec.team] += job.spec.parts * job.spec.accelerators_per_part
        self._queued = {j.record.id: j for j in view.queued if not j.record.cancel_requested}
        self._book = GuaranteeBook(view.workers, view.teams, memory.floating)

    def run(self) -> list[Decision]:
        """Makes all decisions of the round, checks them and remembers what the next one needs."""
        self._forget()
        self._refuse_impossible()
        self._read_guaranteed()
        unpacked_before = len(self._book.unpacked)
        claimed_before = self._book.claimed()
        self._place_claims(guaranteed=True)
        self._place_guaranteed()
        self._place_claims(guaranteed=False)
        self._place_urgent()
        self._place_borrowed()
        if self._options.moves:
            self._move_aside()
        guaranteed = frozenset(job.record.id for job in self._running if job.guaranteed)
        outcome = RoundOutcome(
            self._running,
            guaranteed,
            self._book,
            unpacked_before,
            claimed_before,
            self._reservations,
        )
        check_round(self._view, self._decisions, outcome)
        self._memory.floating = tuple(self._book.floating)
        for job in guaranteed:
            self._memory.guaranteed[job] = self._view.now_ms
        return self._decisions

    def _read_running(self, job: JobView) -> RunningJob:
        age_ms = max(0, self._view.now_ms - job.started_at_ms)
        remaining_ms = self._remaining_ms(job.record.spec, age_ms)
        return make_running_job(job, self._view.now_ms, self._view.now_ms + remaining_ms)

    def _run_time_ms(self, spec: JobSpec) -> int:
        if not self._options.learns:
            return spec.run_time_ms
        return self._memory.estimates.run_time_ms(spec)

    def _remaining_ms(self, spec: JobSpec, age_ms: int) -> int:
        if not self._options.learns:
            return max(1, spec.run_time_ms - age_ms)
        return self._memory.estimates.remaining_ms(spec, age_ms)

    def _forget(self) -> None:
        """Drops what the memory holds about jobs that are gone and claims that can't be met."""
        now_ms = self._view.now_ms
        old_placements = {job.record.id: job.record.placement for job in self._running}
        running = old_placements.keys()
        self._memory.guaranteed = {
            job: since_ms
            for job, since_ms in self._memory.guaranteed.items()
            if job in running
            or (job not in self._queued and now_ms - since_ms < GUARANTEE_MEMORY_MS)
        }
        self._memory.moved = {j: at_ms for j, at_ms in self._memory.moved.items() if j in running}
        for job, claim in list(self._memory.claims.items()):
            live = (
                (job in self._queued or old_placements.get(job, claim.placement) != claim.placement)
                and now_ms - claim.since_ms < CLAIM_TIMEOUT_MS
                and all(part.worker in self._spaces for part in claim.placement)
            )
            if not live:
                del self._memory.claims[job]

    def _refuse_impossible(self) -> None:
        if not self._view.complete or not self._view.workers:
            return
        feasibility = self._memory.feasibility
        feasibility.read_workers(self._view.workers)
        for job_id, job in list(self._queued.items()):
            spec = job.record.spec
            reason = feasibility.reason_impossible(spec, self._quota.get(spec.team))
            if reason is not None:
                self._decisions.append(Refuse(job_id, reason))
                self._memory.claims.pop(job_id, None)
                del self._queued[job_id]

    def _read_guaranteed(self) -> None:
        """Tells guaranteed from borrowed work among what runs, and packs the unused blocks."""
        oldest_first = sorted(self._running, key=lambda job: (job.started_at_ms, job.record.id))
        others: list[RunningJob] = []
        for job in oldest_first:
            if job.record.id in self._memory.guaranteed:
                job.guaranteed = self._book.anchor(job.spec, job.record.placement, forced=True)
            if not job.guaranteed:
                others.append(job)
        for job_id, claim in list(self._memory.claims.items()):
            if not claim.guaranteed:
                continue
            spec = self._queued[job_id].record.spec
            if not self._book.anchor(spec, claim.placement, forced=True):
                del self._memory.claims[job_id]
        self._book.pack()
        for claim in self._memory.claims.values():
            self._stopping |= claim.victims
        for job in others:
            stops = job.record.state is JobState.STOPPING or job.record.id in self._stopping
            if not stops and self._book.has_unused(job.spec.team, job.spec.accelerators_per_part):
                job.guaranteed = self._book.anchor(job.spec, job.record.placement)

    def _place_claims(self, *, guaranteed: bool) -> None:
        """Places the jobs whose space has become free; the others keep their claims."""
        for job_id, claim in list(self._memory.claims.items()):
            if claim.guaranteed != guaranteed:
                continue
            queued = self._queued.get(job_id)
            spec = queued.record.spec if queued else self._moving[job_id].spec
            _take(self._spaces, spec, claim.placement)
            if not guaranteed and self._is_lost(claim):
                _take(self._spaces, spec, claim.placement, -1)
                del self._memory.claims[job_id]
                continue
            if queued is None:
                continue
            _take(self._unheld, spec, claim.placement)
            if all(_not_overfull(self._unheld[part.worker]) for part in claim.placement):
                self._decisions.append(Place(job_id, claim.placement))
                del self._memory.claims[job_id]
            else:
                _take(self._unheld, spec, claim.placement, -1)
            self._add_running(job_id, claim.placement, claim.guaranteed)

    def _is_lost(self, claim: Claim) -> bool:
        """Whether a claim's space would be too small even after all stops have ended."""
        later = {part.worker: self._spaces[part.worker].copy() for part in claim.placement}
        for job in self._running:
            if job.record.id in self._stopping or job.record.state is JobState.STOPPING:
                for worker, parts in job.parts_on.items():
                    if worker in later:
                        later[worker].take(job.spec, -parts)
        return not all(_not_overfull(space) for space in later.values())

    def _place_guaranteed(self) -> None:
        """Starts each job that its team's guarantee covers, over borrowed work if need be."""
        failed: set[tuple[Shape, TeamName]] = set()
        waiting = sorted(
            self._queued.values(),
            key=lambda job: (not job.record.spec.urgent, job.queued_since_ms, job.record.id),
        )
        for job in waiting:
            spec = job.record.spec
            key = (shape_of(spec), spec.team)
            if spec.accelerators_per_part == 0 or key in failed or not self._within_quota(spec):
                continue
            if not self._book.has_unused(spec.team, spec.accelerators_per_part):
                continue
            occupants = self._index_victims(urgent=True, at_once=spec.urgent)
            plan = plan_guaranteed(spec, self._book, self._spaces, occupants)
            if plan is None:
                failed.add(key)
                continue
            self._carry_out(job.record.id, plan, "the guarantee of its team", guaranteed=True)

    def _place_urgent(self) -> None:
        """Starts urgent jobs beyond a guarantee over other borrowed work that is not urgent."""
        waiting = [job for job in self._queued.values() if job.record.spec.urgent]
        for job in sorted(waiting, key=lambda job: (job.queued_since_ms, job.record.id)):
            spec = job.record.spec
            if not self._within_quota(spec):
                continue
            placement = place_gang(spec, self._spaces.values())
            if placement is not None:
                self._place(job.record.id, placement)
                continue
            occupants = self._index_victims(urgent=False, at_once=True)
            plan = plan_preemption(spec, self._spaces.values(), occupants)
            if plan is not None:
                self._carry_out(job.record.id, plan, "an urgent job", guaranteed=False)

    def _place_borrowed(self) -> None:
        """Places what fits in order of priority, around the reservations of gangs that don't."""
        failed: set[tuple[Shape, tuple[bool, ...]]] = set()
        for job in sorted(self._queued.values(), key=self._priority):
            spec = job.record.spec
            if not self._within_quota(spec):
                continue
            ends_at_ms = self._view.now_ms + self._run_time_ms(spec)
            late = tuple(ends_at_ms > held.start_ms for held in self._reservations)
            if (shape_of(spec), late) in failed:
                continue
            placement = place_gang(spec, self._limited(ends_at_ms))
            if placement is not None:
                self._place(job.record.id, placement)
                continue
            failed.add((shape_of(spec), late))
            patient = self._options.patience and not has_waited_long(job, self._view.now_ms)
            if len(self._reservations) < self._options.reservations and not patient:
                self._reserve(job)
            elif self._blocked is None:
                self._blocked = job

    def _limited(self, ends_at_ms: int) -> Iterable[FreeSpace]:
        spaces: Iterable[FreeSpace] = self._spaces.values()
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
            _take(spaces, self._queued[earlier.job].record.spec, earlier.placement)
        return make_reservation(
            job.record.id, job.record.spec, list(spaces.values()), self._running
        )

    def _move_aside(self) -> None:
        """Moves borrowed jobs out of the way of the first gang that waits, where that pays."""
        if self._reservations:
            waiting = self._reservations.pop(0)
            if not self._move_for(waiting):
                self._reservations.insert(0, waiting)
        elif self._blocked is not None:
            expected = self._plan_reservation(self._blocked)
            if expected is not None:
                self._move_for(expected)

    def _move_for(self, waiting: Reservation) -> bool:
        now_ms = self._view.now_ms
        movable = [j for j in self._victims(urgent=False) if j.record.id not in self._memory.moved]
        plan = plan_moves(
            self._queued[waiting.job].record.spec,
            self._limited(_FAR_FUTURE_MS),
            movable,
            waiting.start_ms - now_ms,
        )
        if plan is None:
            return False
        for job, placement in plan.moves:
            reason = f"makes room for {waiting.job}"
            self._decisions.append(Move(job.record.id, placement, reason))
            self._memory.moved[job.record.id] = now_ms
            self._memory.claims[job.record.id] = Claim(placement, now_ms, frozenset(), False)
        moved = frozenset(job.record.id for job, _ in plan.moves)
        self._memory.claims[waiting.job] = Claim(plan.placement, now_ms, moved, False)
        return True

    def _priority(self, job: JobView) -> Priority:
        run_time_ms = self._run_time_ms(job.record.spec)
        if not self._options.orders_queue:
            return arrival_order(job)
        return queue_order(job, self._view.now_ms, run_time_ms, self._view.fragmentation_weight)

    def _victims(self, *, urgent: bool) -> list[RunningJob]:
        """Borrowed work that may be stopped; ``urgent`` says whether urgent work counts."""
        return [
            job
            for job in self._running
            if job.preemptible
            and job.record.id not in self._stopping
            and (urgent or not job.spec.urgent)
        ]

    def _index_victims(self, *, urgent: bool, at_once: bool) -> Occupants:
        """The victims by worker; indexed anew only when some of them have been stopped."""
        key = (urgent, at_once, len(self._stopping))
        if key not in self._occupants:
            self._occupants[key] = index_victims(self._victims(urgent=urgent), at_once=at_once)
        return self._occupants[key]

    def _within_quota(self, spec: JobSpec) -> bool:
        quota = self._quota.get(spec.team)
        wanted = spec.parts * spec.accelerators_per_part
        return quota is None or self._in_use[spec.team] + wanted <= quota

    def _carry_out(
        self, job_id: JobId, plan: PreemptionPlan, reason: str, *, guaranteed: bool
    ) -> None:
        if not plan.victims:
            self._place(job_id, plan.placement, guaranteed=guaranteed)
            return
        victims = frozenset(victim.record.id for victim in plan.victims)
        at_once = self._queued[job_id].record.spec.urgent
        for victim in plan.victims:
            preempt = Preempt(victim.record.id, job_id, f"preempted for {reason}", at_once)
            self._decisions.append(preempt)
        self._stopping |= victims
        self._memory.claims[job_id] = Claim(
            plan.placement, self._view.now_ms, victims, guaranteed=guaranteed
        )
        _take(self._spaces, self._queued[job_id].record.spec, plan.placement)
        self._add_running(job_id, plan.placement, guaranteed)

    def _place(
        self, job_id: JobId, placement: tuple[PartPlacement, ...], *, guaranteed: bool = False
    ) -> None:
        self._decisions.append(Place(job_id, placement))
        self._memory.claims.pop(job_id, None)
        spec = self._queued[job_id].record.spec
        _take(self._spaces, spec, placement)
        _take(self._unheld, spec, placement)
        job = self._add_running(job_id, placement, guaranteed)
        for reservation in self._reservations:
            reservation.take(spec, placement, job.ends_at_ms)

    def _add_running(
        self, job_id: JobId, placement: tuple[PartPlacement, ...], guaranteed: bool
    ) -> RunningJob:
        """Counts a placed or claiming job as running from now on."""
        record = self._queued.pop(job_id).record
        now_ms = self._view.now_ms
        parts_on: dict[WorkerName, int] = dict(Counter(part.worker for part in placement))
        ends_at_ms = now_ms + self._run_time_ms(record.spec)
        job = RunningJob(record, now_ms, ends_at_ms, parts_on, 0, 0, guaranteed)
        self._running.append(job)
        self._in_use[record.spec.team] += record.spec.parts * record.spec.accelerators_per_part
        return job


def _take(
    spaces: Mapping[WorkerName, FreeSpace],
    spec: JobSpec,
    placement: Iterable[PartPlacement],
    times: int = 1,
) -> None:
    for part in placement:
        spaces[part.worker].take(spec, times)


def _not_overfull(space: FreeSpace) -> bool:
    return min(space.accelerators, space.cores, space.memory_gb) >= 0


def _free_space(worker: WorkerView) -> FreeSpace:
    return FreeSpace(
        worker.name,
        worker.rack,
        worker.capacity.accelerators - worker.held.accelerators - worker.foreign.accelerators,
        worker.capacity.cores - worker.held.cores - worker.foreign.cores,
        worker.capacity.memory_gb - worker.held.memory_gb - worker.foreign.memory_gb,
        worker.capacity.accelerators,
    )
