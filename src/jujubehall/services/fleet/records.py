"""Keys and records that the entry hosts write to the site's store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import structlog

from jujubehall.core.fleet.progress_parts import MAIN_PART
from jujubehall.core.ownership.record import Member
from jujubehall.decoding import decode_json
from jujubehall.identifiers import JobId

if TYPE_CHECKING:
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import WaveNumber

OWNER_KEY = "jujubehall/owner"
INTAKE_PREFIX = "jujubehall/intake/"
"""Prefix of the records that entry hosts write for the owner, which watches all of them."""

JOB_PREFIX = INTAKE_PREFIX + "job/"
CANCELLATION_PREFIX = INTAKE_PREFIX + "cancellation/"
HOST_PREFIX = INTAKE_PREFIX + "host/"
WORKERS_KEY = "jujubehall/workers"
SPEEDS_KEY = "jujubehall/worker-speeds"
PROGRESS_PREFIX = "jujubehall/progress/"
WAVE_PREFIX = "jujubehall/wave/"

log = structlog.get_logger()


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of the site; the key is deleted when the owner's lease expires."""

    member: Member
    lease: int
    """The lease that the key is attached to; a successor that replaces the record revokes it."""


def job_key(job: JobId) -> str:
    """Returns the key of an accepted job."""
    return JOB_PREFIX + job


def cancellation_key(job: JobId) -> str:
    """Returns the key of a job's cancellation."""
    return CANCELLATION_PREFIX + job


def progress_key(job: JobId) -> str:
    """Returns the key of a job's state and the main part of its progress, written by the owner."""
    return PROGRESS_PREFIX + job


def progress_part_key(job: JobId, part: int) -> str:
    """Returns the key of a part of a job's progress."""
    return progress_key(job) if part == MAIN_PART else f"{progress_key(job)}/{part}"


def parse_progress_key(key: str) -> tuple[JobId, int] | None:
    """Returns the job and the part that a key of a progress record stands for; None if invalid."""
    job, separator, part = key.removeprefix(PROGRESS_PREFIX).partition("/")
    if not separator:
        return JobId(job), MAIN_PART
    if not (part.isascii() and part.isdigit()):
        log.error("invalid record ignored", key=key, error="the part is not a number")
        return None
    return JobId(job), int(part)


def host_key(host: EntryHostName) -> str:
    """Returns the key under which an entry host announces itself."""
    return HOST_PREFIX + host


def wave_key(wave: WaveNumber) -> str:
    """Returns the key of the progress of a maintenance wave, which the owner writes."""
    return f"{WAVE_PREFIX}{wave}"


def decode_record(key: str, value: bytes, record_type: type[Any]) -> Any:
    """Decodes a record; logs an error and returns None if it is invalid."""
    try:
        return decode_json(value, record_type)
    except msgspec.DecodeError as error:
        log.error("invalid record ignored", key=key, error=str(error))
        return None
