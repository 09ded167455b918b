"""How many commands to the workers may be in flight at once.

The load that this answers: hundreds of starts and stops that are decided together, on an entry host
whose processor or link carries a few dozen commands a second. Sent at once, they keep each other
from being answered within their time limit, and every start without an answer costs a stop and
another start.
"""

from __future__ import annotations

INITIAL_LIMIT = 8
"""Few enough for a host that carries 20 commands a second: 0.4 s of the 0.7 s per command."""

MIN_LIMIT = 4
MAX_LIMIT = 64
"""Starts of up to 5 kB each take 0.5 s on a link of 5 Mbit/s, less than the time limit of a command,
which runs from the moment a start is sent."""

TARGET_LATENCY_MS = 200
"""Workers respond within a few milliseconds. A command that took longer has waited for this host or
its link, and more than three times as long would exceed its time limit of 700 ms."""

GROWTH_LATENCY_MS = TARGET_LATENCY_MS // 2
"""The limit grows only while commands are answered within this time, since it takes the time of one
more command in flight until a larger limit shows in the answers."""

REDUCTION_FACTOR = 0.5

IDLE_RESTART_MS = 1_000
"""A longer pause than the time limit of a command says nothing about the present load; the
growth from the initial limit then takes a few round trips of some milliseconds each."""


class CommandWindow:
    """Adapts the number of commands in flight to the time in which commands are answered.

    The limit grows while answers are quick and is halved when one is slow, at most once for the
    commands that were in flight together:

        window = CommandWindow()
        window.record_answer(sent_ms=0, now_ms=5)     # limit 9
        window.record_answer(sent_ms=0, now_ms=300)   # limit 4

    Commands without an answer don't reduce the limit: they show that a worker is silent and not
    that this host is busy. After a pause the limit starts again from ``INITIAL_LIMIT``, since the
    host may have become slower meanwhile.
    """

    def __init__(self) -> None:
        self._limit = float(INITIAL_LIMIT)
        self._reduced_ms: int | None = None
        self._last_sent_ms: int | None = None
        self._last_answer_ms: int | None = None
        self._latest_answered_sent_ms: int | None = None

    @property
    def limit(self) -> int:
        """How many commands may be in flight."""
        return int(self._limit)

    def record_send(self, now_ms: int) -> None:
        """Records that a command is being sent."""
        if self._last_sent_ms is not None and now_ms - self._last_sent_ms >= IDLE_RESTART_MS:
            self._limit = min(self._limit, INITIAL_LIMIT)
            self._reduced_ms = None
        self._last_sent_ms = now_ms

    def record_answer(self, sent_ms: int, now_ms: int, blocked_ms: int = 0) -> None:
        """Records an answer, of any kind, to a command that was sent at ``sent_ms``.

        For ``blocked_ms`` of the time since then, this process could not read answers because it
        was deciding; that says nothing about the number of commands in flight.
        """
        self._last_answer_ms = now_ms
        self._latest_answered_sent_ms = max(self._latest_answered_sent_ms or sent_ms, sent_ms)
        latency_ms = now_ms - sent_ms - blocked_ms
        if latency_ms <= GROWTH_LATENCY_MS:
            growth = 1.0 if self._reduced_ms is None else 1.0 / self._limit
            self._limit = min(MAX_LIMIT, self._limit + growth)
        elif latency_ms > TARGET_LATENCY_MS and (
            self._reduced_ms is None or sent_ms >= self._reduced_ms
        ):
            self._limit = max(MIN_LIMIT, self._limit * REDUCTION_FACTOR)
            self._reduced_ms = now_ms

    def is_worker_silent(self, sent_ms: int) -> bool:
        """Returns whether an overdue command is likely to wait for its worker and not for this host.

        A busy host still handles answers, in the order in which the commands were sent. So either
        a later command has been answered, or none at all has been since this one was sent.
        """
        if self._last_answer_ms is None or self._last_answer_ms <= sent_ms:
            return True
        return self._latest_answered_sent_ms is not None and self._latest_answered_sent_ms > sent_ms
