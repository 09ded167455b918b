"""How much of the process's time goes into received input, and whose input comes next.

The load that this answers: a crowd of clients whose input is laborious, such as bodies in chunks of
a few bytes. The scheduler, the peers and the callers with little input go on beside it.
"""

from __future__ import annotations

import heapq

from itertools import count
from typing import Generic
from typing import TypeVar

INPUT_SHARE = 0.5
"""Share of the time that input may take while there is more of it than that."""

BURST_S = 0.05
"""Input of this duration is processed at once after a time with less."""

MAX_CHARGE_S = 0.02
"""Longer durations are charged as this one: the process was not running for a part of them."""

FORGIVEN_AFTER_S = 1.0
"""A connection that has sent nothing for this long counts as new."""

MIN_PURGED_ENTRIES = 64
"""Entries of closed connections that may be in the queue before they are removed."""

K = TypeVar("K")


class InputShare(Generic[K]):
    """Decides when input is processed, and in which order if it has to wait.

    Connections whose input has taken the least time come first. All times are in seconds, on a
    clock that never decreases: a piece of input takes less than a millisecond.
    """

    def __init__(self, now_s: float) -> None:
        self._available_s = BURST_S
        self._updated_s = now_s
        self._waiting: list[tuple[float, int, K]] = []
        self._waiting_keys: set[K] = set()
        self._used_s: dict[K, tuple[float, float]] = {}
        self._sequence = count()

    @property
    def has_waiting(self) -> bool:
        """Whether any connection waits for its input to be processed."""
        return bool(self._waiting_keys)

    def may_process(self, now_s: float) -> bool:
        """Whether more input may be processed now."""
        self._update(now_s)
        return self._available_s > 0

    def wait_s(self, now_s: float) -> float:
        """Returns how long to wait until input may be processed."""
        self._update(now_s)
        return max(0.0, -self._available_s / INPUT_SHARE)

    def charge(self, key: K, duration_s: float, now_s: float) -> None:
        """Accounts for input of ``key`` whose processing took ``duration_s`` and ended now."""
        self._update(now_s)
        duration_s = min(duration_s, MAX_CHARGE_S)
        self._available_s -= duration_s
        self._used_s[key] = (self._used(key, now_s) + duration_s, now_s)

    def add(self, key: K, now_s: float) -> None:
        """Lets the input of ``key`` wait."""
        if key not in self._waiting_keys:
            self._waiting_keys.add(key)
            heapq.heappush(self._waiting, (self._used(key, now_s), next(self._sequence), key))

    def next(self) -> K | None:
        """Removes and returns the connection whose input comes next, or None if none waits."""
        while self._waiting:
            _, _, key = heapq.heappop(self._waiting)
            if key in self._waiting_keys:
                self._waiting_keys.discard(key)
                return key
        return None

    def forget(self, key: K) -> None:
        """Drops a closed connection."""
        self._waiting_keys.discard(key)
        self._used_s.pop(key, None)
        if len(self._waiting) > 2 * len(self._waiting_keys) + MIN_PURGED_ENTRIES:
            self._waiting = [each for each in self._waiting if each[2] in self._waiting_keys]
            heapq.heapify(self._waiting)

    def _used(self, key: K, now_s: float) -> float:
        used_s, at_s = self._used_s.get(key, (0.0, now_s))
        return used_s if now_s - at_s < FORGIVEN_AFTER_S else 0.0

    def _update(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._available_s = min(BURST_S, self._available_s + elapsed_s * INPUT_SHARE)
