"""An accepted configuration never reverts, races have one winner, no change is without its entry.

Two operators change one document by compare-and-swap, with lost answers; each change rotates or
keeps the audit entries. Two entry hosts learn the document from reads that may be stale, and from
each other. Numbers stand for whole documents: document ``n`` holds the first ``n`` changes.

Stands for ``jujubehall.services.configuration_service`` and ``state_cache``.
"""

from __future__ import annotations

from enum import IntEnum

import z3

from spec.model import Action
from spec.model import Expression
from spec.model import Model
from spec.model import State
from spec.model import literal

OPERATORS = (0, 1)
HOSTS = (0, 1)
MAX_CHANGES = 4


class ConfigurationVariant(IntEnum):
    """The protocol as it is, and ways to break it."""

    CORRECT = 0
    NO_PRECONDITION = 1
    """A change is written without compare-and-swap."""

    ADOPT_ANYTHING = 2
    """An entry host takes over whatever it reads."""

    DROP_BEFORE_SEGMENT = 3
    """Audit entries are dropped from the document before they are kept in a segment."""

    REPEAT_AFTER_LOST_ANSWER = 4
    """A write whose answer was lost is reported as failed without reading back."""


class Operation(IntEnum):
    """An operator's own change."""

    NONE = 0
    READ = 1
    SENT = 2
    ACCEPTED = 3
    REFUSED = 4


def make_configuration_model(
    variant: ConfigurationVariant = ConfigurationVariant.CORRECT,
) -> Model:
    """Makes the model of one document, two operators and two entry hosts."""
    initial: dict[str, bool | int] = {
        "number": 0,
        "kept_from": 0,
        "segments_to": 0,
        "reverted": False,
        "two_winners": False,
        "denied_change": False,
    }
    for operator in OPERATORS:
        initial |= {f"state_{operator}": 0, f"read_{operator}": 0, f"applied_{operator}": False}
    for host in HOSTS:
        initial[f"known_{host}"] = 0
    actions = [_rotate()]
    for operator in OPERATORS:
        actions += [
            _read(operator),
            _send(operator),
            _apply(operator, variant),
            _apply_dropping(operator, variant),
            _answer(operator),
            _refuse(operator),
            _lose_answer(operator, variant),
        ]
    for host in HOSTS:
        actions += [_learn(host, number, variant) for number in range(MAX_CHANGES + 1)]
        actions.append(_relay(host))
    return Model(f"configuration/{variant.name.lower()}", initial, actions, _safe)


def _safe(s: State) -> Expression:
    every_change_has_its_entry = s["segments_to"] >= s["kept_from"]
    return z3.And(
        z3.Not(s["reverted"]),
        z3.Not(s["two_winners"]),
        z3.Not(s["denied_change"]),
        every_change_has_its_entry,
    )


def _read(operator: int) -> Action:
    return Action(
        f"read {operator}",
        lambda s: z3.And(s[f"state_{operator}"] != Operation.SENT, s["number"] < MAX_CHANGES),
        lambda s: {
            f"read_{operator}": s["number"],
            f"state_{operator}": literal(int(Operation.READ)),
            f"applied_{operator}": literal(False),
        },
    )


def _send(operator: int) -> Action:
    return Action(
        f"send {operator}",
        lambda s: s[f"state_{operator}"] == Operation.READ,
        lambda s: {f"state_{operator}": literal(int(Operation.SENT))},
    )


def _can_apply(s: State, operator: int, variant: ConfigurationVariant) -> Expression:
    precondition = s["number"] == s[f"read_{operator}"]
    if variant is ConfigurationVariant.NO_PRECONDITION:
        precondition = literal(True)
    return z3.And(
        s[f"state_{operator}"] == Operation.SENT,
        z3.Not(s[f"applied_{operator}"]),
        s["number"] < MAX_CHANGES,
        precondition,
    )


def _applied(s: State, operator: int) -> dict[str, Expression]:
    # A change based on an older document overwrites what another operator had put there.
    overwrites = s["number"] != s[f"read_{operator}"]
    return {
        "number": s["number"] + 1,
        f"applied_{operator}": literal(True),
        "two_winners": z3.Or(s["two_winners"], overwrites),
    }


def _apply(operator: int, variant: ConfigurationVariant) -> Action:
    return Action(
        f"apply {operator}",
        lambda s: _can_apply(s, operator, variant),
        lambda s: _applied(s, operator),
    )


def _apply_dropping(operator: int, variant: ConfigurationVariant) -> Action:
    """The change also drops the entries that stand in a segment."""

    def updates(s: State) -> dict[str, Expression]:
        dropped_to = s["segments_to"]
        if variant is ConfigurationVariant.DROP_BEFORE_SEGMENT:
            dropped_to = s["number"]
        return _applied(s, operator) | {"kept_from": dropped_to}

    return Action(f"apply dropping {operator}", lambda s: _can_apply(s, operator, variant), updates)


def _rotate() -> Action:
    """The document's entries are copied into a segment, which never changes again."""
    return Action(
        "rotate",
        lambda s: s["segments_to"] < s["number"],
        lambda s: {"segments_to": s["number"]},
    )


def _answer(operator: int) -> Action:
    return Action(
        f"answer {operator}",
        lambda s: z3.And(s[f"state_{operator}"] == Operation.SENT, s[f"applied_{operator}"]),
        lambda s: {f"state_{operator}": literal(int(Operation.ACCEPTED))},
    )


def _refuse(operator: int) -> Action:
    return Action(
        f"refuse {operator}",
        lambda s: z3.And(
            s[f"state_{operator}"] == Operation.SENT,
            z3.Not(s[f"applied_{operator}"]),
            s["number"] != s[f"read_{operator}"],
        ),
        lambda s: {f"state_{operator}": literal(int(Operation.REFUSED))},
    )


def _lose_answer(operator: int, variant: ConfigurationVariant) -> Action:
    """The answer is lost; the writer's token in the document tells what became of the write."""

    def updates(s: State) -> dict[str, Expression]:
        applied = s[f"applied_{operator}"]
        if variant is ConfigurationVariant.REPEAT_AFTER_LOST_ANSWER:
            return {
                f"state_{operator}": literal(int(Operation.REFUSED)),
                "denied_change": z3.Or(s["denied_change"], applied),
            }
        return {f"state_{operator}": literal(int(Operation.ACCEPTED))}

    def guard(s: State) -> Expression:
        settled = s[f"applied_{operator}"]
        return z3.And(s[f"state_{operator}"] == Operation.SENT, settled)

    return Action(f"lose answer {operator}", guard, updates)


def _learn(host: int, number: int, variant: ConfigurationVariant) -> Action:
    """An entry host reads some document that was in force once."""

    def guard(s: State) -> Expression:
        newer = s[f"known_{host}"] < number
        if variant is ConfigurationVariant.ADOPT_ANYTHING:
            newer = s[f"known_{host}"] != number
        return z3.And(s["number"] >= number, newer)

    return Action(f"learn {host} {number}", guard, lambda s: _adopted(s, host, literal(number)))


def _relay(host: int) -> Action:
    other = 1 - host
    return Action(
        f"relay to {host}",
        lambda s: s[f"known_{host}"] < s[f"known_{other}"],
        lambda s: _adopted(s, host, s[f"known_{other}"]),
    )


def _adopted(s: State, host: int, number: Expression) -> dict[str, Expression]:
    return {
        f"known_{host}": number,
        "reverted": z3.Or(s["reverted"], number < s[f"known_{host}"]),
    }
