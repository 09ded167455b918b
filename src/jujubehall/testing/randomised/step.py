"""One step of a randomised run, as plain data that can be stored and replayed."""

from __future__ import annotations

import msgspec


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """An action with its arguments; after it, virtual time advances by ``pause_ms``.

    ``target`` and ``other`` are the names of the hosts, requests or jobs that the action uses.
    """

    action: str
    pause_ms: int = 0
    target: str = ""
    other: str = ""
    amount: int = 0
    """A duration in milliseconds, a count or an index; its meaning depends on the action."""
