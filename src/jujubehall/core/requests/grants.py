"""Grants: promises of seconds with which an owner claims in memory while the platform is down.

Each opening of a claim log records its granters, the members of the ownership record then in
force. During an outage the owner may claim in memory while all granters but ``tolerated_absences``
have promised to it not to take over for a few seconds. A successor needs one withdrawal more than
that number. So at least one granter was asked by both: it makes the successor wait for the end of
its promise, and tells it that claims in memory may be lost.

Nothing is kept or agreed by grants. Who owns what is decided in the platform's service only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection

    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import Incarnation

GRANT_MS = 4_000
"""How long an owner may rely on a grant, from the moment at which it asked."""

PROMISE_MS = 5_000
"""How long a granter keeps its promise; the excess covers clocks of different speed."""

MIN_GRANTERS = 3
MAX_TOLERATED_ABSENCES = 2
NEVER = -1


def tolerated_absences(granters: int) -> int:
    """How many of an owner's granters may be missing while it claims in memory."""
    return min(MAX_TOLERATED_ABSENCES, (granters - 1) // 2)


class Promise(msgspec.Struct):
    """What a granter remembers of an owner, for the head's ``sequence`` that the owner named."""

    ends_at_ms: int = 0
    sequence: int = NEVER
    withdrawn_before: int = 0
    """Grants for epochs before this one are refused."""


class GrantBook:
    """The granter's side: promises given and withdrawn, by the owner's incarnation."""

    def __init__(self) -> None:
        self._promises: dict[Incarnation, Promise] = {}

    def grant(self, owner: Incarnation, epoch: Epoch, sequence: int, now_ms: int) -> bool:
        """Promises not to take over from ``owner``, unless a successor asked for a withdrawal."""
        promise = self._promises.setdefault(owner, Promise())
        if epoch < promise.withdrawn_before:
            return False
        promise.ends_at_ms = now_ms + PROMISE_MS
        promise.sequence = max(promise.sequence, sequence)
        return True

    def withdraw(self, owner: Incarnation, epoch: Epoch, now_ms: int) -> tuple[int, int]:
        """Grants nothing more for epochs before ``epoch``.

        Returns the milliseconds for which the promise still holds and the highest sequence that
        was granted, or ``NEVER``.
        """
        promise = self._promises.setdefault(owner, Promise())
        promise.withdrawn_before = max(promise.withdrawn_before, epoch)
        return max(0, promise.ends_at_ms - now_ms), promise.sequence


class HeldGrants:
    """The owner's side: the grants that it holds, by granter."""

    def __init__(self) -> None:
        self._held: dict[EntryHostName, tuple[int, int]] = {}

    def add(self, granter: EntryHostName, sequence: int, asked_at_ms: int) -> None:
        """Records a grant, which counts from the moment at which it was asked for."""
        self._held[granter] = (sequence, asked_at_ms + GRANT_MS)

    def suffice(self, granters: Collection[EntryHostName], sequence: int, now_ms: int) -> bool:
        """Whether claims in memory are safe now; ``granters`` include the owner itself."""
        if len(granters) < MIN_GRANTERS:
            return False
        valid = sum(self._is_valid(granter, sequence, now_ms) for granter in granters)
        return valid + 1 >= len(granters) - tolerated_absences(len(granters))

    def _is_valid(self, granter: EntryHostName, sequence: int, now_ms: int) -> bool:
        held_sequence, ends_at_ms = self._held.get(granter, (NEVER, 0))
        return held_sequence == sequence and now_ms < ends_at_ms
