"""Keys and records of this project in the site's store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
import structlog

from jujubehall.core.ownership.record import Member

if TYPE_CHECKING:
    from jujubehall.identifiers import EntryHostName
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import WaveNumber

OWNER_KEY = "jujubehall/owner"
INTAKE_PREFIX = "jujubehall/intake/"
"""Watched as a whole by the owner: what entry hosts write and the owner acts on."""

JOB_PREFIX = INTAKE_PREFIX + "job/"
CANCELLATION_PREFIX = INTAKE_PREFIX + "cancellation/"
HOST_PREFIX = INTAKE_PREFIX + "host/"
WORKERS_KEY = "jujubehall/workers"
PROGRESS_PREFIX = "jujubehall/progress/"
WAVE_PREFIX = "jujubehall/wave/"

log = structlog.get_logger()


class OwnerRecord(msgspec.Struct, frozen=True):
    """Who owns the site; its key lives as long as the owner's lease."""

    member: Member
    lease: int
    """The lease that the key lives by; a successor that replaces the record ends it."""


def job_key(job: JobId) -> str:
    """Where an accepted job is kept."""
    return JOB_PREFIX + job


def cancellation_key(job: JobId) -> str:
    """Where a cancellation is kept."""
    return CANCELLATION_PREFIX + job


def progress_key(job: JobId) -> str:
    """Where the owner keeps a job's progress."""
    return PROGRESS_PREFIX + job


def host_key(host: EntryHostName) -> str:
    """Where an entry host announces itself."""
    return HOST_PREFIX + host


def wave_key(wave: WaveNumber) -> str:
    """Where the owner keeps the progress of a wave of upkeep."""
    return f"{WAVE_PREFIX}{wave}"


def decode_record(key: str, value: bytes, type_: type[Any]) -> Any:
    """Decodes a record; None, with a log line, for one that can't be read."""
    try:
        return msgspec.json.decode(value, type=type_)
    except msgspec.DecodeError as error:
        log.error("record ignored", key=key, error=str(error))
        return None
