"""One step of a randomised run: plain data, so that a run can be kept and replayed."""

from __future__ import annotations

import msgspec


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """An action, whom it concerns and how strong it is; then time passes for ``pause_ms``.

    ``target`` and ``other`` name hosts, requests or jobs; ``amount`` is a duration in
    milliseconds, a number or a choice, as the action defines it.
    """

    action: str
    pause_ms: int = 0
    target: str = ""
    other: str = ""
    amount: int = 0
    """Defined by the action."""
