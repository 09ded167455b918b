"""The refusal of a change that was made against a configuration that is no longer in force."""

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
MAX_VALUE_LENGTH = 200


def lost_race(expected_number: int, number: int, since: Sequence[AuditEntry]) -> Failure:
    """Names who changed what since the operator read configuration ``expected_number``.

    ``since`` holds the later changes that are known, oldest first.
    """
    lines = [f"the configuration is at {number}, not at {expected_number}"]
    hidden = max(0, number - expected_number - MAX_ENTRIES_SHOWN)
    if hidden:
        lines.append(f"{hidden} earlier changes are not shown")
    lines.extend(_describe(entry) for entry in since[-MAX_ENTRIES_SHOWN:])
    return Failure(FailureKind.CONFLICT, "change configuration", "operator", "; ".join(lines))


def _describe(entry: AuditEntry) -> str:
    before = _shortened(entry.before)
    after = _shortened(entry.after)
    return (
        f"change {entry.number} by {entry.author}: {entry.path} "
        f"from {before} to {after} ({_cut(entry.reason)})"
    )


def _shortened(value: Any) -> str:
    return _cut(msgspec.json.encode(value).decode())


def _cut(text: str) -> str:
    return text if len(text) <= MAX_VALUE_LENGTH else text[:MAX_VALUE_LENGTH] + "..."
