"""Checks each round of decisions against what must always hold.

The checks read the view and the decisions anew rather than the policy's own bookkeeping, so that
a mistake there is found. They cost a small part of a round and stay on in the daemons.
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
from jujubehall.core.jobs.decisions import Refuse
from jujubehall.core.jobs.guarantee_book import GuaranteeBook
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
    """A round of decisions broke a promise; nothing of it may be carried out."""


class RoundOutcome(msgspec.Struct, frozen=True):
    """What a round did, as far as the view doesn't show it.

    ``running`` holds the jobs of the view followed by those placed or given a claim in this
    round; ``unpacked_before`` counts the guaranteed blocks without a place before the decisions.
    """

    running: Sequence[RunningJob]
    guaranteed: frozenset[JobId]
    book: GuaranteeBook
    unpacked_before: int
    claimed_before: Counter[WorkerName]
    reservations: Sequence[Reservation]


def check_round(view: ZoneView, decisions: Sequence[Decision], outcome: RoundOutcome) -> None:
    """Raises ``InvariantViolation`` if a decision breaks what must always hold."""
    _check_known(view, decisions)
    _check_placements(view, decisions)
    _check_preemptions(decisions, outcome)
    _check_guarantees(view, outcome)
    for reservation in outcome.reservations:
        _check_reservation(view, reservation, outcome.running)


def _require(holds: bool, message: str) -> None:
    if not holds:
        raise InvariantViolation(message)


def _check_known(view: ZoneView, decisions: Iterable[Decision]) -> None:
    """Every decision is about a job of the view, and no job gets two."""
    queued = {job.record.id for job in view.queued}
    running = {job.record.id for job in view.running}
    seen: set[JobId] = set()
    for decision in decisions:
        job = decision.job
        known = queued if isinstance(decision, Place | Refuse) else running
        _require(job in known, f"a decision about {job}, which is unknown or in another state")
        _require(job not in seen, f"two decisions about {job}")
        seen.add(job)
        if isinstance(decision, Preempt):
            _require(decision.beneficiary in queued, f"{job} preempted for a job not queued")


def _check_placements(view: ZoneView, decisions: Iterable[Decision]) -> None:
    """Gangs are placed whole, on usable workers, and no worker is over-committed.

    Space that a preempted or moved job will leave doesn't count as free yet.
    """
    specs = {job.record.id: job.record.spec for job in (*view.queued, *view.running)}
    taken: dict[WorkerName, list[int]] = {}
    workers = {worker.name: worker for worker in view.workers}
    for decision in decisions:
        if not isinstance(decision, Place | Move):
            continue
        spec = specs[decision.job]
        _check_whole(decision.job, spec, decision.placement)
        for part in decision.placement:
            worker = workers.get(part.worker)
            _require(worker is not None and worker.usable, f"{part.worker} is not usable")
            needs = (spec.accelerators_per_part, spec.cores_per_part, spec.memory_gb_per_part)
            total = taken.setdefault(part.worker, [0, 0, 0])
            for index, need in enumerate(needs):
                total[index] += need
        if spec.adjacent:
            racks = {workers[part.worker].rack for part in decision.placement}
            _require(len(racks) == 1, f"{decision.job} is spread over racks {sorted(racks)}")
    for name, (accelerators, cores, memory_gb) in taken.items():
        have, held, foreign = (workers[name].capacity, workers[name].held, workers[name].foreign)
        fits = (
            accelerators <= max(0, have.accelerators - held.accelerators - foreign.accelerators)
            and cores <= max(0, have.cores - held.cores - foreign.cores)
            and memory_gb <= max(0, have.memory_gb - held.memory_gb - foreign.memory_gb)
        )
        _require(fits, f"worker {name} is over-committed")


def _check_whole(job: JobId, spec: JobSpec, placement: Sequence[PartPlacement]) -> None:
    parts = sorted(part.part for part in placement)
    _require(parts == list(range(spec.parts)), f"{job} has parts {parts} of {spec.parts}")


def _check_preemptions(decisions: Iterable[Decision], outcome: RoundOutcome) -> None:
    """Only borrowed work is stopped."""
    for decision in decisions:
        if isinstance(decision, Preempt | Move):
            borrowed = decision.job not in outcome.guaranteed
            _require(borrowed, f"guaranteed job {decision.job} would be stopped")


def _check_guarantees(view: ZoneView, outcome: RoundOutcome) -> None:
    """The standing packing is a proof that all unused guarantees can still be reclaimed."""
    book = outcome.book
    missing = len(book.unpacked)
    _require(
        missing <= outcome.unpacked_before,
        f"{missing} guaranteed blocks have no place, {outcome.unpacked_before} before",
    )
    _check_blocks(view, book)
    claimed = book.claimed()
    for worker in view.workers:
        if worker.usable:
            room = worker.capacity.accelerators - worker.foreign.accelerators
            allowed = max(room, outcome.claimed_before[worker.name])
            _require(claimed[worker.name] <= allowed, f"blocks overfill worker {worker.name}")


def _check_blocks(view: ZoneView, book: GuaranteeBook) -> None:
    """Every block is accounted for, has its size and lies in one rack on distinct workers."""
    rack_of = {worker.name: worker.rack for worker in view.workers}
    usable = {worker.name for worker in view.workers if worker.usable}
    per_worker = Counter[str]()
    for worker in view.workers:
        most = max(per_worker[worker.rack], worker.capacity.accelerators)
        per_worker[worker.rack] = most
    floating = book.floating
    counts = Counter(block.team for block in floating)
    for team in view.teams:
        expected = team.guarantee.blocks if team.guarantee else 0
        held = counts[team.name] + len(book.anchored(team.name))
        _require(held == expected, f"team {team.name} has {held} of {expected} blocks")
        for anchored in book.anchored(team.name):
            for slot in anchored.slots:
                _require(slot.used <= slot.size, f"team {team.name} exceeds a block")
    for block in floating:
        if not block.chunks:
            continue
        names = {chunk.worker for chunk in block.chunks}
        _require(len(names) == len(block.chunks), "a block uses a worker twice")
        _require(names <= usable, "a block lies on a worker that is not usable")
        _require({rack_of[name] for name in names} == {block.rack}, "a block spans racks")
        sizes = tuple(chunk.accelerators for chunk in block.chunks)
        _require(sizes == split_block(block.size, per_worker[block.rack]), "a block is incomplete")


def _check_reservation(
    view: ZoneView, reservation: Reservation, running: Iterable[RunningJob]
) -> None:
    """By the estimates, the reserved gang still finds its space at the reserved time."""
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
        for worker, count in job.parts_on.items():
            if worker in free:
                free[worker] += sign * count * job.spec.accelerators_per_part
    for worker_name, count in parts.items():
        enough = free[worker_name] >= count * spec.accelerators_per_part
        _require(enough, f"the reserved gang {reservation.job} is delayed on {worker_name}")
