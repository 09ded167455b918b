"""Tickets of an advice service that says which workers may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from jujubehall.identifiers import WorkerName

USE_MARGIN_MS = 300
"""A ticket is not used this shortly before its end: the start must arrive in time."""

RENEW_MARGIN_MS = 1_500
"""A ticket is renewed this long before its end."""

RETRY_MS = 1_000
"""A step whose question got no answer is asked about again after this time."""


class Ticket(NamedTuple):
    """Allows one worker, in one of its lives, to run the tasks of a step until ``ends_ms``."""

    text: str
    life: int
    ends_ms: int


class StepTickets:
    """What is known about the workers of one step; which of them are allowed never changes."""

    def __init__(self) -> None:
        self._tickets: dict[WorkerName, Ticket] = {}
        self._refused: set[WorkerName] = set()
        self._asked_ms: int | None = None

    def find(self, worker: WorkerName, life: int, now_ms: int) -> str | None:
        """The ticket for a worker, if it has one that still holds long enough."""
        ticket = self._tickets.get(worker)
        if ticket is None or ticket.life != life or ticket.ends_ms <= now_ms + USE_MARGIN_MS:
            return None
        return ticket.text

    def questions(self, lives: dict[WorkerName, int], now_ms: int) -> list[WorkerName]:
        """The workers to ask about now: those not known, and those whose ticket ends soon."""
        if self._asked_ms is not None and now_ms - self._asked_ms < RETRY_MS:
            return []
        return [
            worker
            for worker, life in sorted(lives.items())
            if worker not in self._refused and not self._holds(worker, life, now_ms)
        ]

    def note_question(self, now_ms: int) -> None:
        """Notes that a question is under way."""
        self._asked_ms = now_ms

    def note_answer(
        self, asked: dict[WorkerName, int], good: dict[WorkerName, str], ends_ms: int
    ) -> None:
        """Takes in an answer about the workers that were asked about, with their lives."""
        self._asked_ms = None
        for worker, life in asked.items():
            if worker in good:
                self._tickets[worker] = Ticket(good[worker], life, ends_ms)
            else:
                self._refused.add(worker)

    def drop(self, worker: WorkerName) -> None:
        """Forgets a ticket that a worker has refused."""
        self._tickets.pop(worker, None)

    def _holds(self, worker: WorkerName, life: int, now_ms: int) -> bool:
        ticket = self._tickets.get(worker)
        return (
            ticket is not None and ticket.life == life and ticket.ends_ms > now_ms + RENEW_MARGIN_MS
        )
