"""Bodies of the callers' routes, shared by the daemon and the command line."""

from __future__ import annotations

from typing import Annotated

import msgspec

from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.requests.tickets import MAX_TICKETS_PER_CALL
from jujubehall.identifiers import JobId


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A job as submitted; ``id`` makes the submission idempotent."""

    spec: JobSpec
    id: JobId | None = None


class TicketsWanted(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many tickets a caller wants; they are of use for ``TICKET_LIFETIME_MS``."""

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TICKETS_PER_CALL)] = 1
