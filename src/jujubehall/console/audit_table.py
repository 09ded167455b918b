"""The audit trail as rows of a table."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from jujubehall.clock import to_seconds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.configuration.document import AuditEntry

AUDIT_HEADERS = ["Number", "Time (UTC)", "Author", "Path", "Before", "After", "Reason"]


def audit_rows(entries: Iterable[AuditEntry]) -> list[tuple[object, ...]]:
    """A row for each entry, in the given order."""
    return [
        (e.number, wall_clock(e.time_unix_ms), e.author, e.path, e.before, e.after, e.reason)
        for e in entries
    ]


def wall_clock(time_unix_ms: int) -> str:
    """A point in time for people, in UTC."""
    return datetime.fromtimestamp(to_seconds(time_unix_ms), UTC).strftime("%Y-%m-%d %H:%M:%S")
