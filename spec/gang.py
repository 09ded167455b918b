"""No gang runs twice at once, and no part runs without the recorded decision for all parts.

One job of two parts on two workers, an owner of the zone (epoch 1) that may pause at any moment,
and a second owner (epoch 2) that takes over while the first may still act. Commands travel for
any time, may be lost and may arrive more than once. A lease may lapse at any moment; that a lease *must* have lapsed may be
concluded only where the protocol says so.

Stands for ``jujubehall.core.jobs.gang`` and the workers' protocol.
"""

from __future__ import annotations

from enum import IntEnum

import z3

from spec.model import Action
from spec.model import Expression
from spec.model import Model
from spec.model import State
from spec.model import literal

OWNERS = (1, 2)
WORKERS = (0, 1)
ATTEMPTS = (1, 2)


class TaskPhase(IntEnum):
    """A part of one attempt at its worker."""

    NONE = 0
    RESERVED = 1
    RUNNING = 2
    ENDED = 3


class RecordPhase(IntEnum):
    """The job's record in the platform's service."""

    QUEUED = 0
    RESERVING = 1
    RUNNING = 2


class OwnerPhase(IntEnum):
    """What an owner is doing with the job."""

    IDLE = 0
    RESERVING = 1
    STARTED = 2
    STOPPING = 3
    ADOPTING = 4


class GangVariant(IntEnum):
    """The protocol as it is, and ways to break it."""

    CORRECT = 0
    NO_FENCE = 1
    """Workers carry out commands of any epoch."""

    NO_WAIT = 2
    """A stopping owner queues the job again without knowing that every part has ended."""

    START_WITHOUT_DECISION = 3
    """Parts are started as soon as they are reserved."""

    RECORD_WITHOUT_VERSION = 4
    """Records are written without compare-and-swap."""

    WAIT_WITHOUT_FENCE = 5
    """An owner concludes from time alone that leases lapsed, having fenced no worker."""


def make_gang_model(variant: GangVariant = GangVariant.CORRECT) -> Model:
    """Makes the model of one job, two workers and two owners."""
    initial: dict[str, bool | int] = {
        "record": int(RecordPhase.QUEUED),
        "attempt": 0,
        "active_2": False,
    }
    for attempt in ATTEMPTS:
        initial[f"decided_{attempt}"] = False
    for owner in OWNERS:
        initial |= {f"phase_{owner}": 0, f"attempt_{owner}": 0, f"fresh_{owner}": owner == 1}
        for worker in WORKERS:
            initial |= {f"reserved_{owner}_{worker}": False, f"ended_{owner}_{worker}": False}
            for attempt in ATTEMPTS:
                initial[f"reserve_wire_{owner}_{worker}_{attempt}"] = False
                initial[f"start_wire_{owner}_{worker}_{attempt}"] = False
    for worker in WORKERS:
        initial[f"epoch_{worker}"] = 0
        for attempt in ATTEMPTS:
            initial[f"task_{worker}_{attempt}"] = int(TaskPhase.NONE)
    actions: list[Action] = [_take_over()]
    for owner in OWNERS:
        actions += _owner_actions(owner, variant)
    for worker in WORKERS:
        for attempt in ATTEMPTS:
            actions += [_lapse(worker, attempt), _forget(worker, attempt)]
    return Model(f"gang/{variant.name.lower()}", initial, actions, _safe)


def _safe(s: State) -> Expression:
    runs = {
        attempt: z3.Or(*(s[f"task_{w}_{attempt}"] == TaskPhase.RUNNING for w in WORKERS))
        for attempt in ATTEMPTS
    }
    decided = [z3.Implies(runs[attempt], s[f"decided_{attempt}"]) for attempt in ATTEMPTS]
    return z3.And(z3.Not(z3.And(runs[1], runs[2])), *decided)


def _holds(s: State, worker: int, attempt: int) -> Expression:
    task = s[f"task_{worker}_{attempt}"]
    return z3.Or(task == TaskPhase.RESERVED, task == TaskPhase.RUNNING)


def _own_attempt_holds(s: State, owner: int, worker: int) -> Expression:
    return z3.Or(*(z3.And(s[f"attempt_{owner}"] == a, _holds(s, worker, a)) for a in ATTEMPTS))


def _is_active(s: State, owner: int) -> Expression:
    return s["active_2"] if owner == 2 else literal(True)


def _may_write(s: State, owner: int, variant: GangVariant) -> Expression:
    return literal(True) if variant is GangVariant.RECORD_WITHOUT_VERSION else s[f"fresh_{owner}"]


def _written(owner: int) -> dict[str, Expression]:
    return {f"fresh_{owner}": literal(True), f"fresh_{3 - owner}": literal(False)}


def _take_over() -> Action:
    """The second owner reads the record; the first may still hold it for its own."""

    def updates(s: State) -> dict[str, Expression]:
        queued = s["record"] == RecordPhase.QUEUED
        reserving = s["record"] == RecordPhase.RESERVING
        phase = z3.If(
            queued,
            literal(int(OwnerPhase.IDLE)),
            z3.If(reserving, literal(int(OwnerPhase.STOPPING)), literal(int(OwnerPhase.ADOPTING))),
        )
        return {
            "active_2": literal(True),
            "fresh_2": literal(True),
            "phase_2": phase,
            "attempt_2": s["attempt"],
        }

    return Action("take over", lambda s: z3.Not(s["active_2"]), updates)


def _owner_actions(owner: int, variant: GangVariant) -> list[Action]:
    actions = [
        _record_placement(owner, variant),
        _decide(owner, variant),
        _give_up(owner),
        _queue_again(owner, variant),
    ]
    if owner == 2:
        actions += [_reread(owner), _adopt(owner)]
        actions += [_fence(owner, worker) for worker in WORKERS]
    for worker in WORKERS:
        actions += [
            _stop(owner, worker, variant),
            _wait_out(owner, worker, variant),
        ]
        for attempt in ATTEMPTS:
            actions += [
                _deliver_reserve(owner, worker, attempt, variant),
                _deliver_start(owner, worker, attempt, variant),
            ]
    return actions


def _record_placement(o: int, variant: GangVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        changed = {
            "record": literal(int(RecordPhase.RESERVING)),
            "attempt": s["attempt"] + 1,
            f"attempt_{o}": s["attempt"] + 1,
            f"phase_{o}": literal(int(OwnerPhase.RESERVING)),
        }
        for worker in WORKERS:
            changed |= {
                f"reserved_{o}_{worker}": literal(False),
                f"ended_{o}_{worker}": literal(False),
            }
            for a in ATTEMPTS:
                wire = s[f"reserve_wire_{o}_{worker}_{a}"]
                changed[f"reserve_wire_{o}_{worker}_{a}"] = z3.Or(wire, s["attempt"] + 1 == a)
        return changed | _written(o)

    return Action(
        f"record placement {o}",
        lambda s: z3.And(
            _is_active(s, o),
            s[f"phase_{o}"] == OwnerPhase.IDLE,
            _may_write(s, o, variant),
            s["record"] == RecordPhase.QUEUED,
            s["attempt"] < len(ATTEMPTS),
        ),
        updates,
    )


def _admits(s: State, worker: int, owner: int, variant: GangVariant) -> Expression:
    if variant is GangVariant.NO_FENCE:
        return literal(True)
    return s[f"epoch_{worker}"] <= owner


def _deliver_reserve(o: int, worker: int, a: int, variant: GangVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        task = s[f"task_{worker}_{a}"]
        acknowledged = z3.And(
            s[f"phase_{o}"] == OwnerPhase.RESERVING,
            s[f"attempt_{o}"] == a,
            z3.Or(task == TaskPhase.NONE, task == TaskPhase.RESERVED),
        )
        return {
            f"epoch_{worker}": literal(o),
            f"task_{worker}_{a}": z3.If(
                task == TaskPhase.NONE, literal(int(TaskPhase.RESERVED)), task
            ),
            f"reserved_{o}_{worker}": z3.Or(s[f"reserved_{o}_{worker}"], acknowledged),
        }

    return Action(
        f"deliver reserve {o} {worker} {a}",
        lambda s: z3.And(s[f"reserve_wire_{o}_{worker}_{a}"], _admits(s, worker, o, variant)),
        updates,
    )


def _decide(o: int, variant: GangVariant) -> Action:
    def guard(s: State) -> Expression:
        reserved = z3.And(*(s[f"reserved_{o}_{w}"] for w in WORKERS))
        may_write = _may_write(s, o, variant)
        if variant is GangVariant.START_WITHOUT_DECISION:
            may_write = literal(True)
            reserved = z3.Or(*(s[f"reserved_{o}_{w}"] for w in WORKERS))
        return z3.And(s[f"phase_{o}"] == OwnerPhase.RESERVING, reserved, may_write)

    def updates(s: State) -> dict[str, Expression]:
        changed = {f"phase_{o}": literal(int(OwnerPhase.STARTED))} | _start_wires(s, o)
        if variant is GangVariant.START_WITHOUT_DECISION:
            return changed
        changed["record"] = literal(int(RecordPhase.RUNNING))
        for a in ATTEMPTS:
            changed[f"decided_{a}"] = z3.Or(s[f"decided_{a}"], s[f"attempt_{o}"] == a)
        return changed | _written(o)

    return Action(f"decide {o}", guard, updates)


def _start_wires(s: State, o: int) -> dict[str, Expression]:
    return {
        f"start_wire_{o}_{w}_{a}": z3.Or(s[f"start_wire_{o}_{w}_{a}"], s[f"attempt_{o}"] == a)
        for w in WORKERS
        for a in ATTEMPTS
    }


def _deliver_start(o: int, worker: int, a: int, variant: GangVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        task = s[f"task_{worker}_{a}"]
        return {
            f"epoch_{worker}": literal(o),
            f"task_{worker}_{a}": z3.If(
                task == TaskPhase.RESERVED, literal(int(TaskPhase.RUNNING)), task
            ),
        }

    return Action(
        f"deliver start {o} {worker} {a}",
        lambda s: z3.And(s[f"start_wire_{o}_{worker}_{a}"], _admits(s, worker, o, variant)),
        updates,
    )


def _lapse(worker: int, a: int) -> Action:
    """A part's lease lapses, or the part ends by itself."""
    return Action(
        f"lapse {worker} {a}",
        lambda s: _holds(s, worker, a),
        lambda s: {f"task_{worker}_{a}": literal(int(TaskPhase.ENDED))},
    )


def _forget(worker: int, a: int) -> Action:
    """A worker forgets a task that ended long ago; a paused owner's commands may still come."""
    return Action(
        f"forget {worker} {a}",
        lambda s: z3.And(
            s[f"task_{worker}_{a}"] == TaskPhase.ENDED,
            s[f"epoch_{worker}"] == 2,
            z3.Not(s[f"reserve_wire_2_{worker}_{a}"]),
            z3.Not(s[f"start_wire_2_{worker}_{a}"]),
        ),
        lambda s: {f"task_{worker}_{a}": literal(int(TaskPhase.NONE))},
    )


def _give_up(o: int) -> Action:
    """A part is lost or refused, or the owner is told to stop the job."""
    return Action(
        f"give up {o}",
        lambda s: z3.Or(
            s[f"phase_{o}"] == OwnerPhase.RESERVING,
            s[f"phase_{o}"] == OwnerPhase.STARTED,
            s[f"phase_{o}"] == OwnerPhase.ADOPTING,
        ),
        lambda s: {f"phase_{o}": literal(int(OwnerPhase.STOPPING))},
    )


def _stop(o: int, worker: int, variant: GangVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        changed: dict[str, Expression] = {
            f"epoch_{worker}": literal(o),
            f"ended_{o}_{worker}": literal(True),
        }
        for a in ATTEMPTS:
            task = s[f"task_{worker}_{a}"]
            stops = z3.And(s[f"attempt_{o}"] == a, _holds(s, worker, a))
            changed[f"task_{worker}_{a}"] = z3.If(stops, literal(int(TaskPhase.ENDED)), task)
        return changed

    return Action(
        f"stop {o} {worker}",
        lambda s: z3.And(s[f"phase_{o}"] == OwnerPhase.STOPPING, _admits(s, worker, o, variant)),
        updates,
    )


def _wait_out(o: int, worker: int, variant: GangVariant) -> Action:
    """The owner waits until a lease on an unreachable worker must have lapsed.

    Leases are renewed only while all parts are known to hold. So once one worker is fenced, an
    earlier owner stops renewing on all workers, and after the wait the part has ended. Without a
    fenced worker nothing follows from the time.
    """

    def guard(s: State) -> Expression:
        fenced = z3.Or(*(s[f"epoch_{w}"] == o for w in WORKERS))
        lapsed = z3.Not(_own_attempt_holds(s, o, worker))
        conclusion = z3.And(fenced, lapsed)
        if variant is GangVariant.WAIT_WITHOUT_FENCE:
            conclusion = z3.Or(z3.Not(fenced), lapsed)
        return z3.And(s[f"phase_{o}"] == OwnerPhase.STOPPING, conclusion)

    return Action(f"wait out {o} {worker}", guard, lambda s: {f"ended_{o}_{worker}": literal(True)})


def _queue_again(o: int, variant: GangVariant) -> Action:
    def guard(s: State) -> Expression:
        ended = z3.And(*(s[f"ended_{o}_{w}"] for w in WORKERS))
        if variant is GangVariant.NO_WAIT:
            ended = literal(True)
        return z3.And(s[f"phase_{o}"] == OwnerPhase.STOPPING, ended, _may_write(s, o, variant))

    return Action(
        f"queue again {o}",
        guard,
        lambda s: {
            "record": literal(int(RecordPhase.QUEUED)),
            f"phase_{o}": literal(int(OwnerPhase.IDLE)),
        }
        | _written(o),
    )


def _fence(o: int, worker: int) -> Action:
    return Action(
        f"fence {o} {worker}",
        lambda s: z3.And(_is_active(s, o), s[f"epoch_{worker}"] < o),
        lambda s: {f"epoch_{worker}": literal(o)},
    )


def _reread(o: int) -> Action:
    """The new owner lost a write against the old one: it reads the record and begins again."""

    def updates(s: State) -> dict[str, Expression]:
        taken = _take_over().updates(s)
        return {name: taken[name] for name in ("fresh_2", "phase_2", "attempt_2")} | {
            f"ended_{o}_{worker}": literal(False) for worker in WORKERS
        }

    return Action(
        f"reread {o}", lambda s: z3.And(_is_active(s, o), z3.Not(s[f"fresh_{o}"])), updates
    )


def _adopt(o: int) -> Action:
    def guard(s: State) -> Expression:
        seen = [z3.And(s[f"epoch_{w}"] == o, _own_attempt_holds(s, o, w)) for w in WORKERS]
        return z3.And(s[f"phase_{o}"] == OwnerPhase.ADOPTING, s[f"fresh_{o}"], *seen)

    return Action(
        f"adopt {o}",
        guard,
        lambda s: {f"phase_{o}": literal(int(OwnerPhase.STARTED))} | _start_wires(s, o),
    )
