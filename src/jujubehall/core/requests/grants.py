"""Grants: time-limited promises that let an owner claim in memory while the platform is down.

Each time a claim log is opened, it records its granters: the members of the ownership record in
force at that time. During an outage the owner may claim in memory while all granters but
``max_missing_granters`` have promised not to take over from it for a few seconds. A successor needs
withdrawals from one granter more than that number. At least one granter has therefore
received a request from both: it makes the successor wait until its promise expires, and reports
that claims in memory may be lost.

Grants store nothing durably and are no consensus protocol. Ownership is decided only in the
platform's key-value service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection

    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import Epoch
    from jujubehall.identifiers import Incarnation

GRANT_VALIDITY_MS = 4_000
"""How long an owner may rely on a grant, counted from the time at which it sent the request."""

PROMISE_VALIDITY_MS = 5_000
"""How long a granter keeps its promise.

It is longer than ``GRANT_VALIDITY_MS`` to allow for clocks that run at different rates.
"""

MIN_GRANTERS = 3
MAX_MISSING_GRANTERS = 2
NO_SEQUENCE = -1
"""The sequence of a granter that has granted nothing."""


def max_missing_granters(granters: int) -> int:
    """Returns how many of an owner's granters may be missing while it claims in memory."""
    return min(MAX_MISSING_GRANTERS, (granters - 1) // 2)


class Promise(msgspec.Struct):
    """A granter's promise to an owner, made for the head ``sequence`` that the owner named."""

    ends_at_ms: int = 0
    sequence: int = NO_SEQUENCE
    min_epoch: int = 0
    """Grants for epochs before this one are refused."""


class IssuedGrants:
    """The promises that this granter has given and withdrawn, by the owner's incarnation."""

    def __init__(self) -> None:
        self._promises: dict[Incarnation, Promise] = {}

    def grant(self, owner: Incarnation, epoch: Epoch, sequence: int, now_ms: int) -> bool:
        """Promises not to take over from ``owner`` for ``PROMISE_VALIDITY_MS``.

        Returns False if a successor has requested a withdrawal for a later epoch.
        """
        promise = self._promises.setdefault(owner, Promise())
        if epoch < promise.min_epoch:
            return False
        promise.ends_at_ms = now_ms + PROMISE_VALIDITY_MS
        promise.sequence = max(promise.sequence, sequence)
        return True

    def withdraw(self, owner: Incarnation, epoch: Epoch, now_ms: int) -> tuple[int, int]:
        """Refuses all later grants to ``owner`` for epochs before ``epoch``.

        Returns the remaining time of the promise in milliseconds, and the highest sequence that
        was granted or ``NO_SEQUENCE``.
        """
        promise = self._promises.setdefault(owner, Promise())
        promise.min_epoch = max(promise.min_epoch, epoch)
        return max(0, promise.ends_at_ms - now_ms), promise.sequence


class HeldGrants:
    """The grants that this owner holds, by granter."""

    def __init__(self) -> None:
        self._grants: dict[EntryHostName, tuple[int, int]] = {}

    def add(self, granter: EntryHostName, sequence: int, requested_at_ms: int) -> None:
        """Records a grant, which is valid from the time at which it was requested."""
        self._grants[granter] = (sequence, requested_at_ms + GRANT_VALIDITY_MS)

    def has_quorum(self, granters: Collection[EntryHostName], sequence: int, now_ms: int) -> bool:
        """Returns whether claims in memory are safe now; ``granters`` include the owner itself."""
        if len(granters) < MIN_GRANTERS:
            return False
        valid = sum(self._is_valid(granter, sequence, now_ms) for granter in granters)
        return valid + 1 >= len(granters) - max_missing_granters(len(granters))

    def _is_valid(self, granter: EntryHostName, sequence: int, now_ms: int) -> bool:
        granted_sequence, ends_at_ms = self._grants.get(granter, (NO_SEQUENCE, 0))
        return granted_sequence == sequence and now_ms < ends_at_ms
