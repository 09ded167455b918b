"""Model of claims: a non-idempotent request runs at most once, even if entry hosts fail.

Two entry hosts, which may crash, pause and restart, own one shard in turn, and one request is
sent through both. The variables of a host end in its number. The compare-and-swap version of a
claim head is reduced to whether the version that a host expects is still the stored one
(``version_matches``), which is all that the protocol uses.

Models ``jujubehall.services.claim_log``, ``shard_takeover`` and ``request_service``.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import z3

from spec.model import Action
from spec.model import Expression
from spec.model import Model
from spec.model import State
from spec.model import literal

if TYPE_CHECKING:
    from collections.abc import Callable

HOSTS = (0, 1)
DEFAULT_EPOCHS = 2
MAX_RUNS = 2


class Phase(IntEnum):
    """The progress of a host's own attempt at the request."""

    IDLE = 0
    CLAIMING = 1
    CLAIMED = 2
    DISPATCHED = 3


class ClaimsVariant(IntEnum):
    """The correct protocol and its deliberately broken variants."""

    CORRECT = 0
    NO_FENCE = 1
    """A new owner doesn't wait until earlier owners are fenced."""

    NO_INHERITANCE = 2
    """A new owner doesn't read the recorded claims."""

    NO_PRECONDITION = 3
    """Claims are written without compare-and-swap."""

    NO_CLAIM = 4
    """Requests are dispatched without a claim."""

    OWN_HEAD_SKIPPED = 5
    """A restarted host doesn't inherit what its earlier incarnation claimed."""

    EPOCH_NOT_CONFIRMED = 6
    """A host opens its log without reading the ownership record after writing its head."""


def make_claims_model(
    variant: ClaimsVariant = ClaimsVariant.CORRECT, epochs: int = DEFAULT_EPOCHS
) -> Model:
    """Makes the model of one request and two entry hosts, for at most ``epochs`` epochs."""
    initial: dict[str, bool | int] = {"epoch": 1, "runs": 0}
    for epoch in range(1, epochs + 1):
        # The owner of a later epoch is chosen when that epoch begins.
        initial[f"host_1_owns_{epoch}"] = False
    for host in HOSTS:
        initial.update(
            {
                f"known_epoch_{host}": 0,
                f"member_from_{host}": 1,
                f"opening_epoch_{host}": 0,
                f"log_epoch_{host}": 0,
                f"fenced_at_epoch_{host}": 0,
                f"ready_since_{host}": 0,
                f"inherited_{host}": False,
                f"phase_{host}": int(Phase.IDLE),
                f"answered_{host}": False,
                f"version_matches_{host}": False,
                f"write_in_flight_{host}": False,
                f"write_version_matches_{host}": False,
                f"head_epoch_{host}": 0,
                f"head_sealed_{host}": True,
                f"head_claimed_{host}": False,
                f"head_is_own_{host}": False,
            }
        )
    actions = _epoch_actions(epochs)
    for host in HOSTS:
        actions += _host_actions(host, variant)
    return Model(f"claims/{variant.name.lower()}", initial, actions, _at_most_one_run)


def _at_most_one_run(state: State) -> Expression:
    return state["runs"] <= 1


def _epoch_actions(epochs: int) -> list[Action]:
    return [_new_epoch(epoch, owner) for epoch in range(2, epochs + 1) for owner in HOSTS]


def _epochs(state: State) -> range:
    return range(1, 1 + sum(name.startswith("host_1_owns_") for name in state.values))


def _new_epoch(epoch: int, owner: int) -> Action:
    return Action(
        f"epoch {epoch} owner {owner}",
        lambda s: s["epoch"] == epoch - 1,
        lambda s: {"epoch": literal(epoch), f"host_1_owns_{epoch}": literal(owner == 1)},
    )


def _is_owner(state: State, host: int, epoch: Expression) -> Expression:
    host_1_owns = z3.Or(*(z3.And(epoch == e, state[f"host_1_owns_{e}"]) for e in _epochs(state)))
    return z3.And(epoch >= 1, host_1_owns if host == 1 else z3.Not(host_1_owns))


def _owned_since(state: State, host: int, epoch: Expression) -> Expression:
    """Returns the epoch since which this incarnation has owned the shard without interruption."""
    since: Expression = literal(1)
    result: Expression = since
    for e in _epochs(state)[1:]:
        owned_continuously = z3.And(
            state[f"host_1_owns_{e}"] == state[f"host_1_owns_{e - 1}"],
            state[f"member_from_{host}"] <= e - 1,
        )
        since = z3.If(owned_continuously, since, literal(e))
        result = z3.If(epoch == e, since, result)
    return result


def _host_actions(host: int, variant: ClaimsVariant) -> list[Action]:
    other = 1 - host
    factories: list[Callable[[int, int, ClaimsVariant], Action]] = [
        _learn_epoch,
        _write_head,
        _confirm_epoch,
        _seal_other,
        _confirm_fenced,
        _inherit_claims,
        _begin_claim,
        _abandon_claim,
        _write_claim,
        _refuse_claim,
        _dispatch,
        _end_without_run,
        _restart,
    ]
    return [factory(host, other, variant) for factory in factories]


def _learn_epoch(host: int, other: int, variant: ClaimsVariant) -> Action:
    return Action(
        f"learn epoch {host}",
        lambda s: z3.And(
            s[f"known_epoch_{host}"] < s["epoch"], s[f"member_from_{host}"] <= s["epoch"]
        ),
        lambda s: {f"known_epoch_{host}": s["epoch"]},
    )


def _write_head(host: int, other: int, variant: ClaimsVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        inherits = z3.And(s[f"head_claimed_{host}"], z3.Not(s[f"head_is_own_{host}"]))
        if variant is ClaimsVariant.OWN_HEAD_SKIPPED:
            inherits = literal(False)
        return {
            f"log_epoch_{host}": literal(0),
            f"opening_epoch_{host}": s[f"known_epoch_{host}"],
            f"head_epoch_{host}": s[f"known_epoch_{host}"],
            f"head_sealed_{host}": literal(False),
            f"head_is_own_{host}": literal(True),
            f"inherited_{host}": z3.Or(s[f"inherited_{host}"], inherits),
            f"version_matches_{host}": literal(True),
            f"write_version_matches_{host}": literal(False),
        }

    def guard(s: State) -> Expression:
        return z3.And(
            s[f"known_epoch_{host}"] >= 1,
            s[f"log_epoch_{host}"] != s[f"known_epoch_{host}"],
            s[f"opening_epoch_{host}"] != s[f"known_epoch_{host}"],
            s[f"head_epoch_{host}"] <= s[f"known_epoch_{host}"],
        )

    return Action(f"write head {host}", guard, updates)


def _confirm_epoch(host: int, other: int, variant: ClaimsVariant) -> Action:
    """The host reads the ownership record again after writing its head.

    If its epoch is still the current one, every later owner finds the head and must seal it.
    """

    def guard(s: State) -> Expression:
        current = s["epoch"] == s[f"known_epoch_{host}"]
        if variant is ClaimsVariant.EPOCH_NOT_CONFIRMED:
            current = literal(True)
        return z3.And(
            s[f"opening_epoch_{host}"] == s[f"known_epoch_{host}"],
            s[f"known_epoch_{host}"] >= 1,
            current,
        )

    return Action(
        f"confirm epoch {host}",
        guard,
        lambda s: {
            f"log_epoch_{host}": s[f"known_epoch_{host}"],
            f"opening_epoch_{host}": literal(0),
        },
    )


def _is_fenced(s: State, host: int, epoch: Expression) -> Expression:
    return z3.Or(s[f"head_sealed_{host}"], s[f"head_epoch_{host}"] >= epoch)


def _seal_other(host: int, other: int, variant: ClaimsVariant) -> Action:
    """A host seals the head of the other one, even without owning this shard.

    It may have become the owner of another shard.
    """
    return Action(
        f"seal {other} by {host}",
        lambda s: z3.And(
            s[f"known_epoch_{host}"] >= 1, z3.Not(_is_fenced(s, other, s[f"known_epoch_{host}"]))
        ),
        lambda s: {
            f"head_sealed_{other}": literal(True),
            f"version_matches_{other}": literal(False),
            f"write_version_matches_{other}": literal(False),
        },
    )


def _confirm_fenced(host: int, other: int, variant: ClaimsVariant) -> Action:
    def guard(s: State) -> Expression:
        known_epoch = s[f"known_epoch_{host}"]
        fenced = (
            literal(True)
            if variant is ClaimsVariant.NO_FENCE
            else _is_fenced(s, other, known_epoch)
        )
        return z3.And(
            _is_owner(s, host, known_epoch),
            s[f"log_epoch_{host}"] == known_epoch,
            s[f"ready_since_{host}"] != _owned_since(s, host, known_epoch),
            s[f"fenced_at_epoch_{host}"] != known_epoch,
            fenced,
        )

    return Action(
        f"confirm fenced {host}",
        guard,
        lambda s: {f"fenced_at_epoch_{host}": s[f"known_epoch_{host}"]},
    )


def _inherit_claims(host: int, other: int, variant: ClaimsVariant) -> Action:
    def updates(s: State) -> dict[str, Expression]:
        has_claim = s[f"head_claimed_{other}"]
        if variant is ClaimsVariant.NO_INHERITANCE:
            has_claim = literal(False)
        return {
            f"inherited_{host}": z3.Or(s[f"inherited_{host}"], has_claim),
            f"ready_since_{host}": _owned_since(s, host, s[f"known_epoch_{host}"]),
        }

    def guard(s: State) -> Expression:
        known_epoch = s[f"known_epoch_{host}"]
        return z3.And(
            _is_owner(s, host, known_epoch),
            s[f"fenced_at_epoch_{host}"] == known_epoch,
            s[f"ready_since_{host}"] != _owned_since(s, host, known_epoch),
        )

    return Action(f"inherit claims {host}", guard, updates)


def _is_ready(s: State, host: int) -> Expression:
    known_epoch = s[f"known_epoch_{host}"]
    return z3.And(
        _is_owner(s, host, known_epoch),
        s[f"log_epoch_{host}"] == known_epoch,
        s[f"ready_since_{host}"] == _owned_since(s, host, known_epoch),
    )


def _begin_claim(host: int, other: int, variant: ClaimsVariant) -> Action:
    def guard(s: State) -> Expression:
        return z3.And(
            _is_ready(s, host),
            s[f"phase_{host}"] == Phase.IDLE,
            z3.Not(s[f"inherited_{host}"]),
            z3.Not(s[f"answered_{host}"]),
            z3.Not(s[f"write_in_flight_{host}"]),
        )

    def updates(s: State) -> dict[str, Expression]:
        if variant is ClaimsVariant.NO_CLAIM:
            return {f"phase_{host}": literal(Phase.CLAIMED)}
        return {
            f"phase_{host}": literal(Phase.CLAIMING),
            f"write_in_flight_{host}": literal(True),
            f"write_version_matches_{host}": s[f"version_matches_{host}"],
        }

    return Action(f"begin claim {host}", guard, updates)


def _write_claim(host: int, other: int, variant: ClaimsVariant) -> Action:
    """The platform applies the write; the host learns of it only if it still waits."""

    def guard(s: State) -> Expression:
        precondition = (
            literal(True)
            if variant is ClaimsVariant.NO_PRECONDITION
            else s[f"write_version_matches_{host}"]
        )
        return z3.And(s[f"write_in_flight_{host}"], precondition)

    def updates(s: State) -> dict[str, Expression]:
        is_waiting = s[f"phase_{host}"] == Phase.CLAIMING
        return {
            f"write_in_flight_{host}": literal(False),
            f"head_claimed_{host}": literal(True),
            f"phase_{host}": z3.If(is_waiting, literal(Phase.CLAIMED), s[f"phase_{host}"]),
            f"version_matches_{host}": z3.And(is_waiting, s[f"version_matches_{host}"]),
        }

    return Action(f"write claim {host}", guard, updates)


def _refuse_claim(host: int, other: int, variant: ClaimsVariant) -> Action:
    """The platform rejects the write because the head has changed."""

    def updates(s: State) -> dict[str, Expression]:
        is_waiting = s[f"phase_{host}"] == Phase.CLAIMING
        return {
            f"write_in_flight_{host}": literal(False),
            f"phase_{host}": z3.If(is_waiting, literal(Phase.IDLE), s[f"phase_{host}"]),
        }

    return Action(
        f"refuse claim {host}",
        lambda s: z3.And(s[f"write_in_flight_{host}"], z3.Not(s[f"write_version_matches_{host}"])),
        updates,
    )


def _abandon_claim(host: int, other: int, variant: ClaimsVariant) -> Action:
    """The host stops waiting and closes its log; the write may still be applied later."""
    return Action(
        f"abandon claim {host}",
        lambda s: s[f"phase_{host}"] == Phase.CLAIMING,
        lambda s: {
            f"phase_{host}": literal(Phase.IDLE),
            f"log_epoch_{host}": literal(0),
        },
    )


def _dispatch(host: int, other: int, variant: ClaimsVariant) -> Action:
    """The request runs at an endpoint, at any time after the claim, as the host may pause."""
    return Action(
        f"dispatch {host}",
        lambda s: z3.And(s[f"phase_{host}"] == Phase.CLAIMED, s["runs"] < MAX_RUNS),
        lambda s: {
            f"phase_{host}": literal(Phase.DISPATCHED),
            f"answered_{host}": literal(True),
            "runs": s["runs"] + 1,
        },
    )


def _end_without_run(host: int, other: int, variant: ClaimsVariant) -> Action:
    """No endpoint accepted the claimed request; the caller gets "not run" and may retry."""
    return Action(
        f"end without run {host}",
        lambda s: s[f"phase_{host}"] == Phase.CLAIMED,
        lambda s: {f"phase_{host}": literal(Phase.IDLE)},
    )


def _restart(host: int, other: int, variant: ClaimsVariant) -> Action:
    """The process crashes; its new incarnation becomes a member in the next epoch."""
    return Action(
        f"restart {host}",
        lambda s: s["epoch"] < len(_epochs(s)),
        lambda s: {
            f"known_epoch_{host}": literal(0),
            f"member_from_{host}": s["epoch"] + 1,
            f"opening_epoch_{host}": literal(0),
            f"log_epoch_{host}": literal(0),
            f"fenced_at_epoch_{host}": literal(0),
            f"ready_since_{host}": literal(0),
            f"inherited_{host}": literal(False),
            f"phase_{host}": literal(Phase.IDLE),
            f"answered_{host}": literal(False),
            f"version_matches_{host}": literal(False),
            f"head_is_own_{host}": literal(False),
        },
    )
