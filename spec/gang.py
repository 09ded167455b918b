"""Model of gangs: no gang runs twice at once, and no part runs before the decision to start all.

One job of two parts runs on two workers. The first owner of the zone (epoch 1) may pause at any
time, and a second owner (epoch 2) takes over while the first may still act. Commands may take any
time, get lost or arrive more than once. A lease may expire at any time, but an owner may conclude
that a lease has expired only where the protocol allows it.

Models ``jujubehall.core.jobs.gang`` and the protocol of the workers.
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
    """The state, at its worker, of a part of one attempt."""

    NONE = 0
    RESERVED = 1
    RUNNING = 2
    ENDED = 3


class RecordPhase(IntEnum):
    """The state of the job's record in the platform's service."""

    QUEUED = 0
    RESERVING = 1
    RUNNING = 2


class OwnerPhase(IntEnum):
    """The progress of an owner with the job."""

    IDLE = 0
    RESERVING = 1
    STARTED = 2
    STOPPING = 3
    ADOPTING = 4


class GangVariant(IntEnum):
    """The correct protocol and its deliberately broken variants."""

    CORRECT = 0
    NO_FENCE = 1
    """Workers execute commands of any epoch."""

    NO_WAIT = 2
    """A stopping owner requeues the job without knowing that every part has ended."""

    START_WITHOUT_DECISION = 3
    """Parts are started as soon as any of them is reserved, without a recorded decision."""

    RECORD_WITHOUT_VERSION = 4
    """Records are written without compare-and-swap."""

    WAIT_WITHOUT_FENCE = 5
    """An owner concludes from the elapsed time alone that leases expired; no worker is fenced."""


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
        initial |= {
            f"phase_{owner}": 0,
            f"attempt_{owner}": 0,
            f"version_matches_{owner}": owner == 1,
        }
        for worker in WORKERS:
            initial |= {f"reserved_{owner}_{worker}": False, f"ended_{owner}_{worker}": False}
            for attempt in ATTEMPTS:
                initial[f"reserve_in_flight_{owner}_{worker}_{attempt}"] = False
                initial[f"start_in_flight_{owner}_{worker}_{attempt}"] = False
    for worker in WORKERS:
        initial[f"epoch_{worker}"] = 0
        for attempt in ATTEMPTS:
            initial[f"task_{worker}_{attempt}"] = int(TaskPhase.NONE)
    actions: list[Action] = [_take_over()]
    for owner in OWNERS:
        actions += _owner_actions(owner, variant)
    for worker in WORKERS:
        for attempt in ATTEMPTS:
            actions += [_end_task(worker, attempt), _delete_task(worker, attempt)]
    return Model(f"gang/{variant.name.lower()}", initial, actions, _invariant)


def _invariant(s: State) -> Expression:
    runs = {
        attempt: z3.Or(*(s[f"task_{w}_{attempt}"] == TaskPhase.RUNNING for w in WORKERS))
        for attempt in ATTEMPTS
    }
    decided = [z3.Implies(runs[attempt], s[f"decided_{attempt}"]) for attempt in ATTEMPTS]
    return z3.And(z3.Not(z3.And(runs[1], runs[2])), *decided)


def _is_held(s: State, worker: int, attempt: int) -> Expression:
    task = s[f"task_{worker}_{attempt}"]
    return z3.Or(task == TaskPhase.RESERVED, task == TaskPhase.RUNNING)


def _own_attempt_is_held(s: State, owner: int, worker: int) -> Expression:
    return z3.Or(
        *(
            z3.And(s[f"attempt_{owner}"] == attempt, _is_held(s, worker, attempt))
            for attempt in ATTEMPTS
        )
    )


def _is_active(s: State, owner: int) -> Expression:
    return s["active_2"] if owner == 2 else literal(True)


def _may_write(s: State, owner: int, variant: GangVariant) -> Expression:
    return (
        literal(True)
        if variant is GangVariant.RECORD_WITHOUT_VERSION
        else s[f"version_matches_{owner}"]
    )


def _write_updates(owner: int) -> dict[str, Expression]:
    return {
        f"version_matches_{owner}": literal(True),
        f"version_matches_{3 - owner}": literal(False),
    }


def _take_over() -> Action:
    """The second owner reads the record, while the first may still take itself for the owner."""

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
            "version_matches_2": literal(True),
            "phase_2": phase,
            "attempt_2": s["attempt"],
        }

    return Action("take over", lambda s: z3.Not(s["active_2"]), updates)


def _owner_actions(owner: int, variant: GangVariant) -> list[Action]:
    actions = [
        _record_placement(owner, variant),
        _decide(owner, variant),
        _begin_stop(owner),
        _requeue(owner, variant),
    ]
    if owner == 2:
        actions += [_reread(owner), _adopt(owner)]
        actions += [_fence(owner, worker) for worker in WORKERS]
    for worker in WORKERS:
        actions += [
            _stop(owner, worker, variant),
            _wait_for_lease_expiry(owner, worker, variant),
        ]
        for attempt in ATTEMPTS:
            actions += [
                _deliver_reserve(owner, worker, attempt, variant),
                _deliver_start(owner, worker, attempt, variant),
            ]
    return actions


def _record_placement(owner: int, variant: GangVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        updated = {
            "record": literal(int(RecordPhase.RESERVING)),
            "attempt": s["attempt"] + 1,
            f"attempt_{owner}": s["attempt"] + 1,
            f"phase_{owner}": literal(int(OwnerPhase.RESERVING)),
        }
        for worker in WORKERS:
            updated |= {
                f"reserved_{owner}_{worker}": literal(False),
                f"ended_{owner}_{worker}": literal(False),
            }
            for attempt in ATTEMPTS:
                is_in_flight = s[f"reserve_in_flight_{owner}_{worker}_{attempt}"]
                updated[f"reserve_in_flight_{owner}_{worker}_{attempt}"] = z3.Or(
                    is_in_flight, s["attempt"] + 1 == attempt
                )
        return updated | _write_updates(owner)

    return Action(
        f"record placement {owner}",
        lambda s: z3.And(
            _is_active(s, owner),
            s[f"phase_{owner}"] == OwnerPhase.IDLE,
            _may_write(s, owner, variant),
            s["record"] == RecordPhase.QUEUED,
            s["attempt"] < len(ATTEMPTS),
        ),
        updates,
    )


def _accepts_epoch(s: State, worker: int, owner: int, variant: GangVariant) -> Expression:
    if variant is GangVariant.NO_FENCE:
        return literal(True)
    return s[f"epoch_{worker}"] <= owner


def _deliver_reserve(owner: int, worker: int, attempt: int, variant: GangVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        task = s[f"task_{worker}_{attempt}"]
        acknowledged = z3.And(
            s[f"phase_{owner}"] == OwnerPhase.RESERVING,
            s[f"attempt_{owner}"] == attempt,
            z3.Or(task == TaskPhase.NONE, task == TaskPhase.RESERVED),
        )
        return {
            f"epoch_{worker}": literal(owner),
            f"task_{worker}_{attempt}": z3.If(
                task == TaskPhase.NONE, literal(int(TaskPhase.RESERVED)), task
            ),
            f"reserved_{owner}_{worker}": z3.Or(s[f"reserved_{owner}_{worker}"], acknowledged),
        }

    return Action(
        f"deliver reserve {owner} {worker} {attempt}",
        lambda s: z3.And(
            s[f"reserve_in_flight_{owner}_{worker}_{attempt}"],
            _accepts_epoch(s, worker, owner, variant),
        ),
        updates,
    )


def _decide(owner: int, variant: GangVariant) -> Action:
    def guard(s: State) -> Expression:
        reserved = z3.And(*(s[f"reserved_{owner}_{w}"] for w in WORKERS))
        may_write = _may_write(s, owner, variant)
        if variant is GangVariant.START_WITHOUT_DECISION:
            may_write = literal(True)
            reserved = z3.Or(*(s[f"reserved_{owner}_{w}"] for w in WORKERS))
        return z3.And(s[f"phase_{owner}"] == OwnerPhase.RESERVING, reserved, may_write)

    def updates(s: State) -> dict[str, Expression]:
        updated = {f"phase_{owner}": literal(int(OwnerPhase.STARTED))} | _start_command_updates(
            s, owner
        )
        if variant is GangVariant.START_WITHOUT_DECISION:
            return updated
        updated["record"] = literal(int(RecordPhase.RUNNING))
        for attempt in ATTEMPTS:
            updated[f"decided_{attempt}"] = z3.Or(
                s[f"decided_{attempt}"], s[f"attempt_{owner}"] == attempt
            )
        return updated | _write_updates(owner)

    return Action(f"decide {owner}", guard, updates)


def _start_command_updates(s: State, owner: int) -> dict[str, Expression]:
    return {
        f"start_in_flight_{owner}_{w}_{attempt}": z3.Or(
            s[f"start_in_flight_{owner}_{w}_{attempt}"], s[f"attempt_{owner}"] == attempt
        )
        for w in WORKERS
        for attempt in ATTEMPTS
    }


def _deliver_start(owner: int, worker: int, attempt: int, variant: GangVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        task = s[f"task_{worker}_{attempt}"]
        return {
            f"epoch_{worker}": literal(owner),
            f"task_{worker}_{attempt}": z3.If(
                task == TaskPhase.RESERVED, literal(int(TaskPhase.RUNNING)), task
            ),
        }

    return Action(
        f"deliver start {owner} {worker} {attempt}",
        lambda s: z3.And(
            s[f"start_in_flight_{owner}_{worker}_{attempt}"],
            _accepts_epoch(s, worker, owner, variant),
        ),
        updates,
    )


def _end_task(worker: int, attempt: int) -> Action:
    """The lease of a part expires, or the part ends by itself."""
    return Action(
        f"end task {worker} {attempt}",
        lambda s: _is_held(s, worker, attempt),
        lambda s: {f"task_{worker}_{attempt}": literal(int(TaskPhase.ENDED))},
    )


def _delete_task(worker: int, attempt: int) -> Action:
    """A worker deletes a task that ended long ago; commands of a paused owner may still arrive."""
    return Action(
        f"delete task {worker} {attempt}",
        lambda s: z3.And(
            s[f"task_{worker}_{attempt}"] == TaskPhase.ENDED,
            s[f"epoch_{worker}"] == 2,
            z3.Not(s[f"reserve_in_flight_2_{worker}_{attempt}"]),
            z3.Not(s[f"start_in_flight_2_{worker}_{attempt}"]),
        ),
        lambda s: {f"task_{worker}_{attempt}": literal(int(TaskPhase.NONE))},
    )


def _begin_stop(owner: int) -> Action:
    """A part is lost or refused, or the owner has to stop the job."""
    return Action(
        f"begin stop {owner}",
        lambda s: z3.Or(
            s[f"phase_{owner}"] == OwnerPhase.RESERVING,
            s[f"phase_{owner}"] == OwnerPhase.STARTED,
            s[f"phase_{owner}"] == OwnerPhase.ADOPTING,
        ),
        lambda s: {f"phase_{owner}": literal(int(OwnerPhase.STOPPING))},
    )


def _stop(owner: int, worker: int, variant: GangVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        updated: dict[str, Expression] = {
            f"epoch_{worker}": literal(owner),
            f"ended_{owner}_{worker}": literal(True),
        }
        for attempt in ATTEMPTS:
            task = s[f"task_{worker}_{attempt}"]
            stops = z3.And(s[f"attempt_{owner}"] == attempt, _is_held(s, worker, attempt))
            updated[f"task_{worker}_{attempt}"] = z3.If(stops, literal(int(TaskPhase.ENDED)), task)
        return updated

    return Action(
        f"stop {owner} {worker}",
        lambda s: z3.And(
            s[f"phase_{owner}"] == OwnerPhase.STOPPING, _accepts_epoch(s, worker, owner, variant)
        ),
        updates,
    )


def _wait_for_lease_expiry(owner: int, worker: int, variant: GangVariant) -> Action:
    """The owner waits until a lease on an unreachable worker must have expired.

    An owner renews leases only while all parts confirm that they hold theirs. So once one worker is
    fenced, an earlier owner stops renewing on all workers, and the part has ended after the wait.
    Without a fenced worker, the elapsed time proves nothing.
    """

    def guard(s: State) -> Expression:
        fenced = z3.Or(*(s[f"epoch_{w}"] == owner for w in WORKERS))
        expired = z3.Not(_own_attempt_is_held(s, owner, worker))
        conclusion = z3.And(fenced, expired)
        if variant is GangVariant.WAIT_WITHOUT_FENCE:
            conclusion = z3.Or(z3.Not(fenced), expired)
        return z3.And(s[f"phase_{owner}"] == OwnerPhase.STOPPING, conclusion)

    return Action(
        f"wait for lease expiry {owner} {worker}",
        guard,
        lambda s: {f"ended_{owner}_{worker}": literal(True)},
    )


def _requeue(owner: int, variant: GangVariant) -> Action:
    def guard(s: State) -> Expression:
        ended = z3.And(*(s[f"ended_{owner}_{w}"] for w in WORKERS))
        if variant is GangVariant.NO_WAIT:
            ended = literal(True)
        return z3.And(
            s[f"phase_{owner}"] == OwnerPhase.STOPPING, ended, _may_write(s, owner, variant)
        )

    return Action(
        f"requeue {owner}",
        guard,
        lambda s: {
            "record": literal(int(RecordPhase.QUEUED)),
            f"phase_{owner}": literal(int(OwnerPhase.IDLE)),
        }
        | _write_updates(owner),
    )


def _fence(owner: int, worker: int) -> Action:
    return Action(
        f"fence {owner} {worker}",
        lambda s: z3.And(_is_active(s, owner), s[f"epoch_{worker}"] < owner),
        lambda s: {f"epoch_{worker}": literal(owner)},
    )


def _reread(owner: int) -> Action:
    """The new owner lost a write to the old one, so it reads the record and starts over."""

    def updates(s: State) -> dict[str, Expression]:
        take_over_updates = _take_over().updates(s)
        return {
            name: take_over_updates[name] for name in ("version_matches_2", "phase_2", "attempt_2")
        } | {f"ended_{owner}_{worker}": literal(False) for worker in WORKERS}

    return Action(
        f"reread {owner}",
        lambda s: z3.And(_is_active(s, owner), z3.Not(s[f"version_matches_{owner}"])),
        updates,
    )


def _adopt(owner: int) -> Action:
    def guard(s: State) -> Expression:
        seen = [
            z3.And(s[f"epoch_{w}"] == owner, _own_attempt_is_held(s, owner, w)) for w in WORKERS
        ]
        return z3.And(
            s[f"phase_{owner}"] == OwnerPhase.ADOPTING, s[f"version_matches_{owner}"], *seen
        )

    return Action(
        f"adopt {owner}",
        guard,
        lambda s: {f"phase_{owner}": literal(int(OwnerPhase.STARTED))}
        | _start_command_updates(s, owner),
    )
