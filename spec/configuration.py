"""Model of configuration changes: no revert, no lost update, no change without an audit entry.

Two operators change one document by compare-and-swap, and responses may be lost. A change may drop
audit entries from the document once a rotation has copied them to a segment. Two entry hosts learn
the document from reads, which may be stale, and from each other. A number represents a whole
document: document ``n`` holds the first ``n`` changes.

Models ``jujubehall.services.configuration_service`` and ``state_cache``.
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
    """The correct protocol and its deliberately broken variants."""

    CORRECT = 0
    NO_PRECONDITION = 1
    """A change is written without compare-and-swap."""

    ADOPT_OLDER_DOCUMENT = 2
    """An entry host adopts any document that it reads, even an older one."""

    DROP_BEFORE_SEGMENT = 3
    """Audit entries are dropped from the document before they are stored in a segment."""

    REFUSE_AFTER_LOST_RESPONSE = 4
    """A write whose response was lost is reported as failed without reading the document back."""


class Operation(IntEnum):
    """The state of an operator's change."""

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
        "document_entries_from": 0,
        "segment_entries_to": 0,
        "reverted": False,
        "lost_update": False,
        "false_refusal": False,
    }
    for operator in OPERATORS:
        initial |= {f"state_{operator}": 0, f"read_{operator}": 0, f"applied_{operator}": False}
    for host in HOSTS:
        initial[f"known_number_{host}"] = 0
    actions = [_rotate()]
    for operator in OPERATORS:
        actions += [
            _read(operator),
            _send(operator),
            _apply(operator, variant),
            _apply_and_drop_entries(operator, variant),
            _confirm_change(operator),
            _refuse(operator),
            _lose_response(operator, variant),
        ]
    for host in HOSTS:
        actions += [_learn_document(host, number, variant) for number in range(MAX_CHANGES + 1)]
        actions.append(_relay(host))
    return Model(f"configuration/{variant.name.lower()}", initial, actions, _invariant)


def _invariant(s: State) -> Expression:
    every_change_has_its_entry = s["segment_entries_to"] >= s["document_entries_from"]
    return z3.And(
        z3.Not(s["reverted"]),
        z3.Not(s["lost_update"]),
        z3.Not(s["false_refusal"]),
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


def _apply_updates(s: State, operator: int) -> dict[str, Expression]:
    # A change based on an older document overwrites the change of another operator.
    overwrites = s["number"] != s[f"read_{operator}"]
    return {
        "number": s["number"] + 1,
        f"applied_{operator}": literal(True),
        "lost_update": z3.Or(s["lost_update"], overwrites),
    }


def _apply(operator: int, variant: ConfigurationVariant) -> Action:
    return Action(
        f"apply {operator}",
        lambda s: _can_apply(s, operator, variant),
        lambda s: _apply_updates(s, operator),
    )


def _apply_and_drop_entries(operator: int, variant: ConfigurationVariant) -> Action:
    """The change also drops the audit entries that a segment already holds."""

    def updates(s: State) -> dict[str, Expression]:
        dropped_to = s["segment_entries_to"]
        if variant is ConfigurationVariant.DROP_BEFORE_SEGMENT:
            dropped_to = s["number"]
        return _apply_updates(s, operator) | {"document_entries_from": dropped_to}

    return Action(
        f"apply and drop entries {operator}", lambda s: _can_apply(s, operator, variant), updates
    )


def _rotate() -> Action:
    """The document's audit entries are copied to a segment, which is immutable."""
    return Action(
        "rotate",
        lambda s: s["segment_entries_to"] < s["number"],
        lambda s: {"segment_entries_to": s["number"]},
    )


def _confirm_change(operator: int) -> Action:
    return Action(
        f"confirm change {operator}",
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


def _lose_response(operator: int, variant: ConfigurationVariant) -> Action:
    """The response is lost; the writer's token in the document shows whether the write applied."""

    def updates(s: State) -> dict[str, Expression]:
        applied = s[f"applied_{operator}"]
        if variant is ConfigurationVariant.REFUSE_AFTER_LOST_RESPONSE:
            return {
                f"state_{operator}": literal(int(Operation.REFUSED)),
                "false_refusal": z3.Or(s["false_refusal"], applied),
            }
        return {f"state_{operator}": literal(int(Operation.ACCEPTED))}

    def guard(s: State) -> Expression:
        is_applied = s[f"applied_{operator}"]
        return z3.And(s[f"state_{operator}"] == Operation.SENT, is_applied)

    return Action(f"lose response {operator}", guard, updates)


def _learn_document(host: int, number: int, variant: ConfigurationVariant) -> Action:
    """An entry host reads a document that is or was in force."""

    def guard(s: State) -> Expression:
        newer = s[f"known_number_{host}"] < number
        if variant is ConfigurationVariant.ADOPT_OLDER_DOCUMENT:
            newer = s[f"known_number_{host}"] != number
        return z3.And(s["number"] >= number, newer)

    return Action(
        f"learn document {host} {number}",
        guard,
        lambda s: _adoption_updates(s, host, literal(number)),
    )


def _relay(host: int) -> Action:
    other = 1 - host
    return Action(
        f"relay to {host}",
        lambda s: s[f"known_number_{host}"] < s[f"known_number_{other}"],
        lambda s: _adoption_updates(s, host, s[f"known_number_{other}"]),
    )


def _adoption_updates(s: State, host: int, number: Expression) -> dict[str, Expression]:
    return {
        f"known_number_{host}": number,
        "reverted": z3.Or(s["reverted"], number < s[f"known_number_{host}"]),
    }
