"""Request bodies of the callers' HTTP routes, shared by the daemon and the command line."""

from __future__ import annotations

from typing import Annotated

import msgspec

from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.requests.tickets import MAX_TICKETS_PER_CALL
from jujubehall.identifiers import JobId


class JobSubmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Job submission; with an ``id`` it can be repeated without creating a second job."""

    spec: JobSpec
    id: JobId | None = None


class TicketRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request for a number of tickets, each valid for ``TICKET_LIFETIME_MS``."""

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TICKETS_PER_CALL)] = 1
