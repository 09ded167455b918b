"""Tickets: request identifiers that bind a request to one incarnation of an entry host.

A ticket names the only process that may run its request. That process remembers in memory what
it has run, so that a ticket needs no call to the platform, and a successor never has to know: it
answers "unknown" for the tickets of a process that is gone.
"""

from __future__ import annotations

import re

import msgspec

from jujubehall.core.requests.claim_table import CLAIM_RETENTION_MS
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import RequestId

TICKET_LIFETIME_MS = 300_000
"""How long after its issue a ticket may first be used, in milliseconds."""

MAX_TICKETS_PER_CALL = 100

_PATTERN = re.compile(r"ticket\.([^.]+)\.([0-9]{1,18})\.([0-9]{1,18})")

# A claim must outlive its ticket: else a forgotten request could be run again.
assert TICKET_LIFETIME_MS < CLAIM_RETENTION_MS


class Ticket(msgspec.Struct, frozen=True):
    """A ticket's parts; ``issued_at_ms`` is on the clock of the issuing process."""

    incarnation: Incarnation
    issued_at_ms: int
    number: int

    @property
    def id(self) -> RequestId:
        """The ticket as the identifier of a request."""
        return RequestId(f"ticket.{self.incarnation}.{self.issued_at_ms}.{self.number}")

    def is_usable(self, now_ms: int) -> bool:
        """Whether a request that is not remembered may run under this ticket."""
        return 0 <= now_ms - self.issued_at_ms < TICKET_LIFETIME_MS


def parse_ticket(request: RequestId) -> Ticket | None:
    """Reads a ticket from a request's identifier; None for any other identifier."""
    match = _PATTERN.fullmatch(request)
    if match is None:
        return None
    incarnation, issued_at_ms, number = match.groups()
    return Ticket(Incarnation(incarnation), int(issued_at_ms), int(number))
