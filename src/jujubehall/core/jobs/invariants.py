"""Invariant checks on the decisions of each scheduling round.

The checks are derived from the view and the decisions rather than from the policy's internal
bookkeeping, so that errors in the bookkeeping are detected. They take a small share of a round's
time and stay enabled in the daemons.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.blocks import split_block
from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Reject
from jujubehall.core.jobs.guarantee_allocator import GuaranteeAllocator
from jujubehall.core.jobs.reservation import Reservation
from jujubehall.core.jobs.running_job import RunningJob
from jujubehall.identifiers import JobId
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.core.jobs.job import JobSpec
    from jujubehall.core.jobs.job import PartPlacement
    from jujubehall.core.jobs.zone_view import ZoneView


class InvariantViolation(AssertionError):
    """The decisions of a round violate an invariant; none of them may be carried out."""


class RoundOutcome(msgspec.Struct, frozen=True):
    """Results of a round that are not part of the view or the decisions.

    ``running`` holds the running jobs of the view, followed by the jobs that this round placed or
    gave a pending placement. ``unplaced_before`` is the number of guaranteed blocks without a
    location before the decisions, and ``block_accelerators_before`` the accelerators that blocks
    occupied on each worker then.
    """

    running: Sequence[RunningJob]
    guaranteed: frozenset[JobId]
    allocator: GuaranteeAllocator
    unplaced_before: int
    block_accelerators_before: Counter[WorkerName]
    reservations: Sequence[Reservation]


def check_round(view: ZoneView, decisions: Sequence[Decision], outcome: RoundOutcome) -> None:
    """Raises ``InvariantViolation`` if the decisions violate an invariant."""
    _check_job_states(view, decisions)
    _check_placements(view, decisions)
    _check_preemptions(decisions, outcome)
    _check_guarantees(view, outcome)
    for reservation in outcome.reservations:
        _check_reservation(view, reservation, outcome.running)


def _require(holds: bool, message: str) -> None:
    if not holds:
        raise InvariantViolation(message)


def _check_job_states(view: ZoneView, decisions: Iterable[Decision]) -> None:
    """Checks that each decision applies to a job in the right state and no job has two."""
    queued = {job.record.id for job in view.queued}
    running = {job.record.id for job in view.running}
    seen: set[JobId] = set()
    for decision in decisions:
        job = decision.job
        known = queued if isinstance(decision, Place | Reject) else running
        _require(job in known, f"decision about job {job}, which is unknown or in another state")
        _require(job not in seen, f"two decisions about job {job}")
        seen.add(job)
        if isinstance(decision, Preempt):
            _require(
                decision.beneficiary in queued,
                f"job {job} preempted for a job that is not queued",
            )


def _check_placements(view: ZoneView, decisions: Iterable[Decision]) -> None:
    """Checks that gangs are placed completely, on usable workers with enough free capacity.

    Capacity that a preempted or moved job will release doesn't count as free yet.
    """
    specs = {job.record.id: job.record.spec for job in (*view.queued, *view.running)}
    taken: dict[WorkerName, list[int]] = {}
    workers = {worker.name: worker for worker in view.workers}
    for decision in decisions:
        if not isinstance(decision, Place | Move):
            continue
        spec = specs[decision.job]
        _check_gang_complete(decision.job, spec, decision.placement)
        for part in decision.placement:
            worker = workers.get(part.worker)
            _require(worker is not None and worker.usable, f"worker {part.worker} is not usable")
            needs = (spec.accelerators_per_part, spec.cores_per_part, spec.memory_gb_per_part)
            total = taken.setdefault(part.worker, [0, 0, 0])
            for index, need in enumerate(needs):
                total[index] += need
        if spec.adjacent:
            racks = {workers[part.worker].rack for part in decision.placement}
            _require(
                len(racks) == 1, f"adjacent job {decision.job} is spread over racks {sorted(racks)}"
            )
    for name, (accelerators, cores, memory_gb) in taken.items():
        capacity, held, foreign = (
            workers[name].capacity,
            workers[name].held,
            workers[name].foreign,
        )
        fits = (
            accelerators <= max(0, capacity.accelerators - held.accelerators - foreign.accelerators)
            and cores <= max(0, capacity.cores - held.cores - foreign.cores)
            and memory_gb <= max(0, capacity.memory_gb - held.memory_gb - foreign.memory_gb)
        )
        _require(fits, f"worker {name} is over-committed")


def _check_gang_complete(job: JobId, spec: JobSpec, placement: Sequence[PartPlacement]) -> None:
    parts = sorted(part.part for part in placement)
    _require(parts == list(range(spec.parts)), f"job {job} has parts {parts} of {spec.parts}")


def _check_preemptions(decisions: Iterable[Decision], outcome: RoundOutcome) -> None:
    """Checks that only borrowed work is preempted or moved."""
    for decision in decisions:
        if isinstance(decision, Preempt | Move):
            borrowed = decision.job not in outcome.guaranteed
            _require(borrowed, f"guaranteed job {decision.job} would be stopped")


def _check_guarantees(view: ZoneView, outcome: RoundOutcome) -> None:
    """Checks that all unallocated guaranteed blocks can still be reclaimed.

    The current packing is the proof: no more blocks than before may lack a location, and blocks
    may not exceed the capacity of a worker further than before.
    """
    allocator = outcome.allocator
    unplaced_count = len(allocator.unplaced)
    _require(
        unplaced_count <= outcome.unplaced_before,
        f"{unplaced_count} guaranteed blocks have no location, up from {outcome.unplaced_before}",
    )
    _check_blocks(view, allocator)
    block_accelerators = allocator.block_accelerators()
    for worker in view.workers:
        if worker.usable:
            available = worker.capacity.accelerators - worker.foreign.accelerators
            allowed = max(available, outcome.block_accelerators_before[worker.name])
            _require(
                block_accelerators[worker.name] <= allowed,
                f"blocks exceed the capacity of worker {worker.name}",
            )


def _check_blocks(view: ZoneView, allocator: GuaranteeAllocator) -> None:
    """Checks that all blocks exist with their full size, in one rack and on distinct workers."""
    rack_of = {worker.name: worker.rack for worker in view.workers}
    usable = {worker.name for worker in view.workers if worker.usable}
    accelerators_per_worker = Counter[str]()
    for worker in view.workers:
        most = max(accelerators_per_worker[worker.rack], worker.capacity.accelerators)
        accelerators_per_worker[worker.rack] = most
    unallocated = allocator.unallocated
    counts = Counter(block.team for block in unallocated)
    for team in view.teams:
        expected = team.guarantee.blocks if team.guarantee else 0
        block_count = counts[team.name] + len(allocator.allocated(team.name))
        _require(
            block_count == expected, f"team {team.name} has {block_count} of {expected} blocks"
        )
        for allocated in allocator.allocated(team.name):
            for slot in allocated.slots:
                _require(slot.used <= slot.size, f"team {team.name} exceeds a block")
    for block in unallocated:
        if not block.chunks:
            continue
        names = {chunk.worker for chunk in block.chunks}
        _require(len(names) == len(block.chunks), "a block uses a worker twice")
        _require(names <= usable, "a block is located on a worker that is not usable")
        _require({rack_of[name] for name in names} == {block.rack}, "a block spans racks")
        sizes = tuple(chunk.accelerators for chunk in block.chunks)
        _require(
            sizes == split_block(block.size, accelerators_per_worker[block.rack]),
            "a block is incomplete",
        )


def _check_reservation(
    view: ZoneView, reservation: Reservation, running: Iterable[RunningJob]
) -> None:
    """Checks that, by the estimates, the reserved gang can still start at the reserved time."""
    parts = Counter(part.worker for part in reservation.placement)
    spec = next(job.record.spec for job in view.queued if job.record.id == reservation.job)
    known = {job.record.id for job in view.running}
    free = {
        worker.name: worker.capacity.accelerators
        - worker.held.accelerators
        - worker.foreign.accelerators
        for worker in view.workers
        if worker.name in parts
    }
    for job in running:
        ends_before = job.ends_at_ms <= reservation.start_ms
        sign = int(ends_before) if job.record.id in known else int(ends_before) - 1
        if sign == 0:
            continue
        for worker, count in job.parts_by_worker.items():
            if worker in free:
                free[worker] += sign * count * job.spec.accelerators_per_part
    for worker_name, count in parts.items():
        enough = free[worker_name] >= count * spec.accelerators_per_part
        _require(enough, f"reserved gang {reservation.job} is delayed on {worker_name}")
