"""Submits, looks up and cancels jobs on behalf of callers."""

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
from jujubehall.core.jobs.job import archive_key
from jujubehall.core.jobs.job import job_key
from jujubehall.core.jobs.zone_fit import can_ever_fit
from jujubehall.core.jobs.zone_fit import fits_now
from jujubehall.core.jobs.zone_fit import queued_jobs_per_accelerator
from jujubehall.core.jobs.zone_summary import ZONE_SUMMARY_PREFIX
from jujubehall.core.jobs.zone_summary import ZoneSummary
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.identifiers import Version
from jujubehall.identifiers import ZoneName
from jujubehall.services.async_utils import BackOff
from jujubehall.services.async_utils import sleep

if TYPE_CHECKING:
    from random import Random

    from jujubehall.clock import Reactor
    from jujubehall.platform.interface import Platform
    from jujubehall.services.host_list import HostList
    from jujubehall.services.job_store import JobStore
    from jujubehall.services.state_cache import StateCache

ABSENT = Version(0)
JOB_ID_BITS = 64
MAX_READ_BACK_ATTEMPTS = 3
"""Maximum number of reads after a write without a response, before it is reported as unknown."""

MAX_CANCEL_ATTEMPTS = 20


class JobService:
    """Submits and cancels jobs by writing their records to the platform.

    A job is accepted once the platform has stored its record. During an outage of the platform no
    job is accepted or cancelled: both requests are refused with the time after which to try again.
    Jobs accepted before the outage remain stored by the platform.
    """

    def __init__(
        self,
        reactor: Reactor,
        platform: Platform,
        cache: StateCache,
        store: JobStore,
        hosts: HostList,
        random: Random,
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._cache = cache
        self._store = store
        self._hosts = hosts
        self._random = random

    @property
    def cached_jobs(self) -> list[JobRecord]:
        """The unfinished and the recently ended jobs."""
        return self._cache.read_all(JOBS_PREFIX, JobRecord)

    def cached_job(self, job: JobId) -> JobRecord | None:
        """Returns the cached record of a job, or None; ``find`` also reads from the platform."""
        return self._cache.read(job_key(job), JobRecord)

    async def find(self, job: JobId) -> Result[JobRecord, Failure]:
        """Returns the record of a job from the cache, the platform's state or the archive.

        The platform is read because another entry host may have accepted the job just now.
        """
        known = self.cached_job(job)
        if known is not None:
            return Ok(known)
        # A record is archived before it is deleted, so at least one of the two reads finds it.
        for key in (job_key(job), archive_key(job)):
            found = await self._store.read(key)
            if isinstance(found, Ok):
                return Ok(found.ok_value[0])
            if found.err_value.kind is not FailureKind.NOT_FOUND:
                return Err(found.err_value)
        return Err(Failure(FailureKind.NOT_FOUND, "show job", "caller", job))

    async def submit(self, spec: JobSpec, job: JobId | None = None) -> Result[JobRecord, Failure]:
        """Submits a job. With an identifier chosen by the caller, the call is idempotent.

        If it remains unknown whether the job was accepted, the failure is ``NO_ANSWER`` and its
        detail names the job, so that the caller can look it up or repeat the submission.
        """
        if job is not None:
            found = await self.find(job)
            if isinstance(found, Ok):
                return _match_existing(found.ok_value, spec)
            if found.err_value.kind is not FailureKind.NOT_FOUND:
                return found
        job = job or JobId(f"job-{self._random.getrandbits(JOB_ID_BITS):016x}")
        zone = self._choose_zone(spec)
        if zone is None:
            detail = "the platform has listed no workers yet; try again later"
            return Err(Failure(FailureKind.UNAVAILABLE, "submit job", "platform", detail))
        record = JobRecord(job, spec, JobState.QUEUED, zone, unix_time_ms())
        written = await self._store.put(record, ABSENT)
        if isinstance(written, Ok):
            return Ok(record)
        return await self._resolve_unknown_write(record, written.err_value)

    async def cancel(self, job: JobId) -> Result[JobRecord, Failure]:
        """Cancels a job with a single write; the owner of its zone then stops its parts.

        A cancelled job is not started again. Its running parts are stopped within the bounds of
        the gang protocol, usually at once.
        """
        found = await self.find(job)
        if isinstance(found, Err):
            return found
        record, version = found.ok_value, self._cache.version(job_key(job))
        for _ in range(MAX_CANCEL_ATTEMPTS):
            if record.state.is_final:
                return Ok(record)
            changed = msgspec.structs.replace(
                record, state=JobState.CANCELLED, cancel_requested=True, reason="cancelled"
            )
            written = await self._store.put(changed, version)
            if isinstance(written, Ok):
                return Ok(changed)
            if written.err_value.kind not in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
                return Err(written.err_value)
            reread = await self._store.read(job_key(job))
            if isinstance(reread, Err):
                return await self._find_archived(job, reread.err_value)
            record, version = reread.ok_value
        return Err(
            Failure(
                FailureKind.UNAVAILABLE,
                "cancel job",
                "platform",
                "the record changed on every attempt; try again",
            )
        )

    async def _find_archived(self, job: JobId, failure: Failure) -> Result[JobRecord, Failure]:
        if failure.kind is not FailureKind.NOT_FOUND:
            return Err(failure)
        archived = await self._store.read(archive_key(job))
        return archived.map(lambda found: found[0])

    async def _resolve_unknown_write(
        self, record: JobRecord, failure: Failure
    ) -> Result[JobRecord, Failure]:
        if failure.kind not in (FailureKind.CONFLICT, FailureKind.NO_ANSWER):
            return Err(failure)
        back_off = BackOff(self._random)
        for _ in range(MAX_READ_BACK_ATTEMPTS):
            found = await self._store.read(job_key(record.id))
            if isinstance(found, Ok):
                return _match_existing(found.ok_value[0], record.spec)
            if found.err_value.kind is FailureKind.NOT_FOUND:
                # The write may still be in transit; only its response could rule that out.
                break
            await sleep(self._reactor, back_off.next_delay_ms())
        detail = f"{record.id} may have been accepted; look it up: {failure.detail}"
        return Err(Failure(FailureKind.NO_ANSWER, "submit job", "platform", detail))

    def _choose_zone(self, spec: JobSpec) -> ZoneName | None:
        """Returns a zone where the gang fits now, else where it can ever fit, preferring low load.

        If no zone is known to be large enough, the zone with the fewest unfinished parts per
        worker is returned, or None if no workers are listed.
        """
        summaries: list[ZoneSummary] = self._cache.read_all(ZONE_SUMMARY_PREFIX, ZoneSummary)
        listed = {host.zone for host in self._hosts.workers}
        feasible = [z for z in summaries if z.zone in listed and can_ever_fit(spec, z)]
        if not feasible:
            return self._least_loaded_zone()
        unfinished_parts = self._parts_by_zone()
        best = min(
            feasible,
            key=lambda zone: (
                not fits_now(spec, zone),
                queued_jobs_per_accelerator(zone),
                unfinished_parts[zone.zone],
                zone.zone,
            ),
        )
        return best.zone

    def _least_loaded_zone(self) -> ZoneName | None:
        workers = Counter(host.zone for host in self._hosts.workers)
        parts = self._parts_by_zone()
        chosen = min(workers, key=lambda zone: (parts[zone] / workers[zone], zone), default=None)
        return None if chosen is None else ZoneName(chosen)

    def _parts_by_zone(self) -> Counter[str]:
        parts: Counter[str] = Counter()
        for job in self.cached_jobs:
            if not job.state.is_final:
                parts[job.zone] += job.spec.parts
        return parts


def _match_existing(record: JobRecord, spec: JobSpec) -> Result[JobRecord, Failure]:
    if record.spec == spec:
        return Ok(record)
    detail = f"{record.id} already identifies a job with another specification; choose another id"
    return Err(Failure(FailureKind.CONFLICT, "submit job", "caller", detail))
