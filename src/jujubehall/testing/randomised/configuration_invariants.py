"""The promises about configuration and ownership."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.configuration.audit import AUDIT_PREFIX
from jujubehall.core.configuration.audit import AuditSegment
from jujubehall.core.configuration.document import CONFIGURATION_KEY
from jujubehall.core.configuration.document import Configuration
from jujubehall.core.ownership.record import OwnershipRecord
from jujubehall.testing.randomised.registry import invariant
from jujubehall.testing.randomised.violation import Violation

if TYPE_CHECKING:
    from jujubehall.testing.randomised.world import World

ACCEPTED = "an accepted configuration is in force and never reverts"
ONE_WINNER = "each change has its own number and its audit entry"
EPOCHS = "epochs only rise, and a scope has one owner in each"


@invariant(ONE_WINNER)
def every_change_has_its_entry(world: World) -> None:
    """Each accepted change stands in the audit trail under its own number."""
    trail = _audit_trail(world)
    for change in world.accepted_changes:
        if trail.get(change.number) != change.token:
            seen = f"{change} is recorded as {trail.get(change.number)}"
            raise Violation(ONE_WINNER, seen)


@invariant(ACCEPTED)
def documents_only_rise(world: World) -> None:
    """The document never falls behind an accepted change."""
    document = _document(world)
    accepted = max((change.number for change in world.accepted_changes), default=0)
    if document.number < accepted:
        raise Violation(ACCEPTED, f"the document is at {document.number}, {accepted} was accepted")


@invariant(ACCEPTED, at_end=True)
def configuration_is_in_force_everywhere(world: World) -> None:
    """After the end of all failures every entry host has the latest document."""
    document = _document(world)
    for host in world.running_hosts:
        number = world.configuration_of(host).number
        if number != document.number:
            raise Violation(ACCEPTED, f"{host.name} is at {number}, not at {document.number}")


@invariant(EPOCHS)
def epochs_rise(world: World) -> None:
    """Each ownership record has a later epoch than the one before."""
    epochs = [record["epoch"] for record in world.records]
    if epochs != sorted(set(epochs)):  # type: ignore[type-var]
        raise Violation(EPOCHS, f"epochs {epochs}")


@invariant(EPOCHS, at_end=True)
def every_scope_has_an_owner(world: World) -> None:
    """After the end of all failures the record names exactly the living incarnations."""
    record = msgspec.convert(world.records[-1], OwnershipRecord)
    living = {host.host.membership.member.incarnation for host in world.running_hosts}
    owners = {owner.incarnation for owner in map(record.owner_of, record.owners) if owner}
    if not owners <= living or {m.incarnation for m in record.members} != living:
        raise Violation(EPOCHS, f"owners {owners}, living {living}")


def _document(world: World) -> Configuration:
    found = world.site.store.get(CONFIGURATION_KEY)
    if found.is_err():
        return Configuration()
    document: Configuration = msgspec.convert(found.unwrap().value, Configuration)
    return document


def _audit_trail(world: World) -> dict[int, str]:
    entries = list(_document(world).audit)
    for segment in world.site.store.list_entries(AUDIT_PREFIX).entries:
        entries += msgspec.convert(segment.value, AuditSegment).entries
    return {entry.number: entry.token for entry in entries}
