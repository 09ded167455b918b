"""Accepts, shows and cancels jobs: what callers can do with the records of jobs."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from result import Err
from result import Ok
from result import Result

from jujubehall.clock import unix_time_ms
from jujubehall.core.jobs.job import JOBS_PREFIX
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import job_key
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.identifiers import Version

if TYPE_CHECKING:
    from random import Random

    from jujubehall.identifiers import ZoneName
    from jujubehall.platform.interface import Platform
    from jujubehall.services.host_list import HostList
    from jujubehall.services.state_cache import StateCache

ABSENT = Version(0)
ID_BITS = 64


class JobService:
    """A job is accepted once its record is in the platform's service."""

    def __init__(
        self, platform: Platform, cache: StateCache, hosts: HostList, random: Random
    ) -> None:
        self._platform = platform
        self._cache = cache
        self._hosts = hosts
        self._random = random

    @property
    def jobs(self) -> list[JobRecord]:
        """All known jobs."""
        return self._cache.read_all(JOBS_PREFIX, JobRecord)

    def job(self, job: JobId) -> JobRecord | None:
        """One job, or None if it is unknown."""
        return self._cache.read(job_key(job), JobRecord)

    async def submit(self, spec: JobSpec, job: JobId | None = None) -> Result[JobRecord, Failure]:
        """Accepts a job; with an identifier chosen by the caller, a repeat is harmless."""
        job = job or JobId(f"job-{self._random.getrandbits(ID_BITS):016x}")
        known = self.job(job)
        if known is not None:
            return Ok(known) if known.spec == spec else Err(_taken(job))
        zone = self._choose_zone()
        if zone is None:
            detail = "no worker is known yet"
            return Err(Failure(FailureKind.UNAVAILABLE, "submit job", "platform", detail))
        record = JobRecord(job, spec, JobState.QUEUED, zone, unix_time_ms())
        written = await self._cache.put(job_key(job), record, ABSENT)
        if isinstance(written, Ok):
            return Ok(record)
        return await self._settle(record, written.err_value)

    async def cancel(self, job: JobId) -> Result[JobRecord, Failure]:
        """Asks for a job's end; the owner of its zone carries it out."""
        while True:
            found = await self._platform.get(job_key(job))
            if isinstance(found, Err):
                return found
            record: JobRecord = msgspec.convert(found.ok_value.value, JobRecord)
            if record.state.is_final or record.cancel_requested:
                return Ok(record)
            changed = msgspec.structs.replace(record, cancel_requested=True)
            written = await self._cache.put(job_key(job), changed, found.ok_value.version)
            if isinstance(written, Ok):
                return Ok(changed)
            if written.err_value.kind is not FailureKind.CONFLICT:
                return written

    async def _settle(self, record: JobRecord, failure: Failure) -> Result[JobRecord, Failure]:
        if failure.kind not in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
            return Err(failure)
        found = await self._platform.get(job_key(record.id))
        if isinstance(found, Err):
            return Err(failure)
        recorded: JobRecord = msgspec.convert(found.ok_value.value, JobRecord)
        return Ok(recorded) if recorded.spec == record.spec else Err(_taken(record.id))

    def _choose_zone(self) -> ZoneName | None:
        """The zone with the fewest unfinished parts for each of its workers."""
        workers = Counter(host.zone for host in self._hosts.workers)
        parts: Counter[str] = Counter()
        for job in self.jobs:
            if not job.state.is_final:
                parts[job.zone] += job.spec.parts
        return min(workers, key=lambda zone: (parts[zone] / workers[zone], zone), default=None)  # type: ignore[return-value]


def _taken(job: JobId) -> Failure:
    detail = f"{job} names another job already"
    return Failure(FailureKind.CONFLICT, "submit job", "caller", detail)
