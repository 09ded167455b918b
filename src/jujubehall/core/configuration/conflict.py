"""The conflict error for a change that was based on an outdated configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jujubehall.core.configuration.document import AuditEntry

MAX_ENTRIES_SHOWN = 5
MAX_TEXT_LENGTH = 200


def conflict_failure(
    expected_number: int, number: int, later_entries: Sequence[AuditEntry]
) -> Failure:
    """Returns a conflict failure that lists the changes made after ``expected_number``.

    ``expected_number`` is the configuration that the operator read, ``number`` the current one and
    ``later_entries`` the known audit entries of the changes in between, oldest first.
    """
    lines = [f"the configuration is at number {number}, not at {expected_number}"]
    omitted = max(0, number - expected_number - MAX_ENTRIES_SHOWN)
    if omitted:
        lines.append(f"{omitted} earlier changes are not shown")
    lines.extend(_describe(entry) for entry in later_entries[-MAX_ENTRIES_SHOWN:])
    return Failure(FailureKind.CONFLICT, "change configuration", "operator", "; ".join(lines))


def _describe(entry: AuditEntry) -> str:
    before = _encode_truncated(entry.before)
    after = _encode_truncated(entry.after)
    return (
        f"change {entry.number} by {entry.author}: {entry.path} "
        f"from {before} to {after} ({_truncate(entry.reason)})"
    )


def _encode_truncated(value: Any) -> str:
    return _truncate(msgspec.json.encode(value).decode())


def _truncate(text: str) -> str:
    return text if len(text) <= MAX_TEXT_LENGTH else text[:MAX_TEXT_LENGTH] + "..."
