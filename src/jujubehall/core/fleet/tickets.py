"""Tickets from an advice service that determines which workers may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from jujubehall.identifiers import WorkerName

USE_MARGIN_MS = 300
"""A ticket that expires within this time is not used, because the start request must reach the
worker before it expires."""

RENEW_MARGIN_MS = 1_500
"""A ticket is renewed this long before it expires."""

QUERY_RETRY_MS = 1_000
"""A query about a step that got no response is repeated after this time."""


class Ticket(NamedTuple):
    """Permits one incarnation of a worker to run tasks of a step until ``ends_ms``."""

    text: str
    incarnation: int
    ends_ms: int


class StepTickets:
    """The tickets and refusals for the workers of one step.

    Which workers may run a step never changes, so a worker that was denied is not queried again.
    """

    def __init__(self) -> None:
        self._tickets: dict[WorkerName, Ticket] = {}
        self._denied: set[WorkerName] = set()
        self._query_sent_ms: int | None = None

    def find(self, worker: WorkerName, incarnation: int, now_ms: int) -> str | None:
        """Returns the ticket of a worker, or None if it has none that is valid for long enough."""
        ticket = self._tickets.get(worker)
        if (
            ticket is None
            or ticket.incarnation != incarnation
            or ticket.ends_ms <= now_ms + USE_MARGIN_MS
        ):
            return None
        return ticket.text

    def workers_to_query(
        self, incarnations: dict[WorkerName, int], now_ms: int
    ) -> list[WorkerName]:
        """Returns the workers to query now.

        These are workers with neither a ticket nor a refusal, and workers whose ticket expires
        soon.
        """
        if self._query_sent_ms is not None and now_ms - self._query_sent_ms < QUERY_RETRY_MS:
            return []
        return [
            worker
            for worker, incarnation in sorted(incarnations.items())
            if worker not in self._denied
            and not self._has_valid_ticket(worker, incarnation, now_ms)
        ]

    def record_query(self, now_ms: int) -> None:
        """Records that a query has been sent."""
        self._query_sent_ms = now_ms

    def record_response(
        self, queried: dict[WorkerName, int], granted: dict[WorkerName, str], ends_ms: int
    ) -> None:
        """Records the response to a query; ``queried`` maps the workers to their incarnations.

        Workers missing from ``granted`` are denied for good.
        """
        self._query_sent_ms = None
        for worker, incarnation in queried.items():
            if worker in granted:
                self._tickets[worker] = Ticket(granted[worker], incarnation, ends_ms)
            else:
                self._denied.add(worker)

    def remove(self, worker: WorkerName) -> None:
        """Removes a ticket that a worker has refused."""
        self._tickets.pop(worker, None)

    def _has_valid_ticket(self, worker: WorkerName, incarnation: int, now_ms: int) -> bool:
        ticket = self._tickets.get(worker)
        return (
            ticket is not None
            and ticket.incarnation == incarnation
            and ticket.ends_ms > now_ms + RENEW_MARGIN_MS
        )
