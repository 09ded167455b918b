"""Job specifications as submitted by callers and job records as stored by the platform."""

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
"""Limit on the number of parts of one job."""

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller's request for ``parts`` tasks that run together or not at all.

    ``run_time_ms`` is the run time that the caller declares, an estimate. ``adjacent`` requires all
    parts to be in one rack.
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
    """The lifecycle states of a job."""

    QUEUED = "queued"
    RESERVING = "reserving"
    """A placement is recorded and its workers are being reserved."""

    RUNNING = "running"
    """All parts were reserved and the start was recorded."""

    STOPPING = "stopping"
    """Its parts are being checkpointed and stopped; the job is then requeued or ends."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state is terminal."""
        return self in (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


class PartPlacement(msgspec.Struct, frozen=True):
    """The assignment of one part to a worker."""

    part: int
    worker: WorkerName


class JobRecord(msgspec.Struct, frozen=True):
    """A job as stored under ``JOBS_PREFIX``; changed only by compare-and-swap.

    ``epoch`` is the ownership epoch of the zone owner that last wrote the record. ``failures``
    counts the attempts that ended because the job itself failed. ``progress_ms`` is the run time
    saved in checkpoints of earlier attempts.
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
    """Returns the key of a job's record."""
    return JOBS_PREFIX + job


def archive_key(job: JobId) -> str:
    """Returns the key to which the record of an ended job is moved."""
    return ARCHIVE_PREFIX + job
