"""Bodies of the callers' routes, shared by the daemon and the command line."""

from __future__ import annotations

import msgspec

from jujubehall.core.jobs.job import JobSpec
from jujubehall.identifiers import JobId


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A job as submitted; ``id`` makes the submission idempotent."""

    spec: JobSpec
    id: JobId | None = None
