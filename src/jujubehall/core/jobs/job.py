"""Jobs as callers submit them and as the platform's service keeps them."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec

from jujubehall.identifiers import Epoch
from jujubehall.identifiers import JobId
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName

JOBS_PREFIX = "state/jobs/"
ARCHIVE_PREFIX = "archive/jobs/"
MAX_PARTS = 64

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a caller asks for: ``parts`` tasks that run together or not at all.

    ``run_time_ms`` is the caller's guess. ``adjacent`` asks for all parts in one rack.
    """

    team: Annotated[TeamName, msgspec.Meta(min_length=1, max_length=128)]
    kind: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    parts: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]
    accelerators_per_part: Annotated[int, msgspec.Meta(ge=0, le=64)]
    cores_per_part: Count = 1
    memory_gb_per_part: Count = 1
    run_time_ms: Annotated[int, msgspec.Meta(ge=1)] = 3_600_000
    adjacent: bool = True
    urgent: bool = False
    command: Annotated[str, msgspec.Meta(max_length=4_000)] = ""


class JobState(Enum):
    """Where a job stands."""

    QUEUED = "queued"
    RESERVING = "reserving"
    """A placement is recorded and its workers are being reserved."""

    RUNNING = "running"
    """All parts are reserved and the start is recorded."""

    STOPPING = "stopping"
    """Its parts are being checkpointed and stopped; it returns to the queue or ends."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job can't change any more."""
        return self in (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


class PartPlacement(msgspec.Struct, frozen=True):
    """The worker chosen for one part."""

    part: int
    worker: WorkerName


class JobRecord(msgspec.Struct, frozen=True):
    """A job as kept under ``JOBS_PREFIX``; changed by compare-and-swap only.

    ``epoch`` is the placement epoch of the owner that wrote the record last. ``failures`` counts
    the attempts that the job's own failure ended. ``progress_ms`` is the run time that is saved
    in checkpoints of earlier attempts.
    """

    id: JobId
    spec: JobSpec
    state: JobState
    zone: ZoneName
    submitted_unix_ms: int
    attempt: int = 0
    epoch: Epoch = Epoch(0)
    placement: tuple[PartPlacement, ...] = ()
    cancel_requested: bool = False
    reason: str = ""
    failed_workers: tuple[WorkerName, ...] = ()
    failures: int = 0
    progress_ms: int = 0


def job_key(job: JobId) -> str:
    """The key of a job's record."""
    return JOBS_PREFIX + job


def archive_key(job: JobId) -> str:
    """The key to which the record of an ended job is moved."""
    return ARCHIVE_PREFIX + job
