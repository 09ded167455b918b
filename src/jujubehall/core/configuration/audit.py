"""The audit trail: recent entries in the configuration document, older ones in immutable segments.

Entries 1 to ``ENTRIES_PER_SEGMENT`` form segment 0, the next ones segment 1, and so on. A segment
has the same content whichever entry host writes it, so that writing it twice is harmless.
"""

from __future__ import annotations

import msgspec

from jujubehall.core.configuration.document import AuditEntry
from jujubehall.core.configuration.document import Configuration

AUDIT_PREFIX = "audit/"
ENTRIES_PER_SEGMENT = 20
MAX_RECENT_ENTRIES = 40
MAX_ENTRY_BYTES = 12_000


class AuditSegment(msgspec.Struct, frozen=True):
    """A segment of the audit trail, with its entries from oldest to newest."""

    number: int
    entries: tuple[AuditEntry, ...]


def segment_key(number: int) -> str:
    """Returns the key of a segment; the keys sort in the order of the changes."""
    return f"{AUDIT_PREFIX}{number:08d}"


def segment_of(entry_number: int) -> int:
    """Returns the number of the segment that an entry belongs to."""
    return (entry_number - 1) // ENTRIES_PER_SEGMENT


def segment_to_rotate(configuration: Configuration) -> AuditSegment | None:
    """Returns the segment that must be written before the next change, or None.

    A segment is due once the document holds ``MAX_RECENT_ENTRIES`` audit entries.
    """
    if len(configuration.audit) < MAX_RECENT_ENTRIES:
        return None
    number = segment_of(configuration.audit[0].number)
    entries = tuple(each for each in configuration.audit if segment_of(each.number) == number)
    return AuditSegment(number, entries)


def without_segment(configuration: Configuration, segment: AuditSegment) -> Configuration:
    """Returns the document without the audit entries of ``segment`` and of earlier segments."""
    kept = tuple(each for each in configuration.audit if segment_of(each.number) > segment.number)
    return msgspec.structs.replace(configuration, audit=kept)
