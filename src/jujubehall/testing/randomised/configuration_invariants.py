"""Invariants of the configuration and of scope ownership."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.configuration.audit import AUDIT_PREFIX
from jujubehall.core.configuration.audit import AuditSegment
from jujubehall.core.configuration.document import CONFIGURATION_KEY
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.testing.randomised.registry import invariant_check
from jujubehall.testing.randomised.violation import Violation

if TYPE_CHECKING:
    from jujubehall.testing.randomised.simulation import Simulation

ACCEPTED_CHANGES_PERSIST = "an accepted configuration change takes effect and is never reverted"
UNIQUE_CHANGE_NUMBERS = "each configuration change has a number of its own and an audit entry"
MONOTONIC_EPOCHS = "ownership epochs only increase, and a scope has one owner in each epoch"


@invariant_check(UNIQUE_CHANGE_NUMBERS)
def accepted_changes_are_audited(simulation: Simulation) -> None:
    """Checks that the audit trail holds each accepted change under the change's own number."""
    tokens = _audit_tokens(simulation)
    for change in simulation.accepted_changes:
        if tokens.get(change.number) != change.token:
            observed = f"the audit entry of {change} has token {tokens.get(change.number)}"
            raise Violation(UNIQUE_CHANGE_NUMBERS, observed)


@invariant_check(ACCEPTED_CHANGES_PERSIST)
def stored_configuration_includes_accepted_changes(simulation: Simulation) -> None:
    """Checks that the stored configuration is not older than any accepted change."""
    document = _document(simulation)
    accepted = max((change.number for change in simulation.accepted_changes), default=0)
    if document.number < accepted:
        raise Violation(
            ACCEPTED_CHANGES_PERSIST,
            f"the stored configuration has number {document.number}, {accepted} was accepted",
        )


@invariant_check(ACCEPTED_CHANGES_PERSIST, at_end=True)
def all_hosts_apply_the_stored_configuration(simulation: Simulation) -> None:
    """Checks that every entry host has the latest configuration once all failures have ended."""
    document = _document(simulation)
    for host in simulation.running_hosts:
        number = simulation.configuration_of(host).number
        if number != document.number:
            raise Violation(
                ACCEPTED_CHANGES_PERSIST,
                f"{host.name} has configuration {number}, the store has {document.number}",
            )


@invariant_check(MONOTONIC_EPOCHS)
def epochs_increase(simulation: Simulation) -> None:
    """Checks that each ownership record has a higher epoch than the one before it."""
    epochs = [record["epoch"] for record in simulation.ownership_records]
    if epochs != sorted(set(epochs)):  # type: ignore[type-var]
        raise Violation(MONOTONIC_EPOCHS, f"epochs in the order of their writes: {epochs}")


@invariant_check(MONOTONIC_EPOCHS, at_end=True)
def ownership_record_matches_running_hosts(simulation: Simulation) -> None:
    """Checks the latest ownership record once all failures have ended.

    Its members must be exactly the running incarnations, and each owner must be one of them.
    """
    record = msgspec.convert(simulation.ownership_records[-1], OwnershipRecord)
    running = {host.entry_host.membership.member.incarnation for host in simulation.running_hosts}
    owners = {owner.incarnation for owner in map(record.owner_of, record.owners) if owner}
    if not owners <= running or {m.incarnation for m in record.members} != running:
        raise Violation(MONOTONIC_EPOCHS, f"owners {owners}, running incarnations {running}")


def _document(simulation: Simulation) -> Configuration:
    found = simulation.site.store.get(CONFIGURATION_KEY)
    if found.is_err():
        return Configuration()
    document: Configuration = msgspec.convert(found.unwrap().value, Configuration)
    return document


def _audit_tokens(simulation: Simulation) -> dict[int, str]:
    """Returns the token of each audited change by the change's number."""
    entries = list(_document(simulation).audit)
    for segment in simulation.site.store.list_entries(AUDIT_PREFIX).entries:
        entries += msgspec.convert(segment.value, AuditSegment).entries
    return {entry.number: entry.token for entry in entries}
