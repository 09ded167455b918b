"""Tickets: request identifiers that bind a request to one incarnation of an entry host.

A ticket names the only process that may run its request. That process keeps in memory what it has
run, so that a ticket needs no call to the platform. A successor needs no record of tickets: it
answers ``UNKNOWN`` for tickets of a process that no longer exists.
"""

from __future__ import annotations

import re

import msgspec

from jujubehall.core.requests.claim_table import CLAIM_RETENTION_MS
from jujubehall.identifiers import Incarnation
from jujubehall.identifiers import RequestId

TICKET_LIFETIME_MS = 300_000
"""How long after its issue a ticket can be used for the first time."""

MAX_TICKETS_PER_CALL = 100

_TICKET_PATTERN = re.compile(r"ticket\.([^.]+)\.([0-9]{1,18})\.([0-9]{1,18})")

# A claim must outlive its ticket, or a request whose claim has expired could run again.
assert TICKET_LIFETIME_MS < CLAIM_RETENTION_MS


class Ticket(msgspec.Struct, frozen=True):
    """The fields of a ticket; ``issued_at_ms`` is a time of the issuing process's clock."""

    incarnation: Incarnation
    issued_at_ms: int
    number: int

    @property
    def id(self) -> RequestId:
        """The ticket encoded as a request identifier."""
        return RequestId(f"ticket.{self.incarnation}.{self.issued_at_ms}.{self.number}")

    def is_usable(self, now_ms: int) -> bool:
        """Returns whether a request without a known claim may run under this ticket."""
        return 0 <= now_ms - self.issued_at_ms < TICKET_LIFETIME_MS


def parse_ticket(request: RequestId) -> Ticket | None:
    """Parses a request identifier as a ticket; returns None if it is not a ticket."""
    match = _TICKET_PATTERN.fullmatch(request)
    if match is None:
        return None
    incarnation, issued_at_ms, number = match.groups()
    return Ticket(Incarnation(incarnation), int(issued_at_ms), int(number))
