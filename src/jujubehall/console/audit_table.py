"""Formats audit trail entries as table rows."""

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
    """Returns one row under ``AUDIT_HEADERS`` for each entry, in the given order."""
    return [
        (e.number, format_utc_time(e.time_unix_ms), e.author, e.path, e.before, e.after, e.reason)
        for e in entries
    ]


def format_utc_time(time_unix_ms: int) -> str:
    """Formats a Unix time in milliseconds as a UTC date and time, to the second."""
    return datetime.fromtimestamp(to_seconds(time_unix_ms), UTC).strftime("%Y-%m-%d %H:%M:%S")
