"""Index of the unfinished and recently ended jobs by availability zone."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from jujubehall.core.jobs.job import JOBS_PREFIX
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.clock import Clock
    from jujubehall.identifiers import ZoneName
    from jujubehall.platform.entry import Entry
    from jujubehall.services.state_cache import StateCache


class JobIndex:
    """Indexes the cached job records by zone, updated by change notifications of the cache.

    Without the index, zone owners would have to scan all records after each change.
    """

    def __init__(self, cache: StateCache, clock: Clock) -> None:
        self._cache = cache
        self._clock = clock
        self._jobs_by_zone: dict[ZoneName, dict[JobId, JobRecord]] = defaultdict(dict)
        self._zone_by_job: dict[JobId, ZoneName] = {}
        self._queued_since_ms: dict[JobId, int] = {}
        self._ended_since_ms: dict[JobId, int] = {}
        self._listeners: list[Callable[[JobId, ZoneName], None]] = []
        cache.listen(JOBS_PREFIX, self._on_entry)

    @property
    def zones_with_unfinished_jobs(self) -> set[ZoneName]:
        """The availability zones that have unfinished jobs."""
        return {
            zone
            for zone, jobs in self._jobs_by_zone.items()
            if any(not job.state.is_final for job in jobs.values())
        }

    def unfinished_jobs(self, zone: ZoneName) -> list[JobRecord]:
        """Returns the unfinished jobs of a zone, ordered by submission time."""
        unfinished = [job for job in self._jobs_by_zone[zone].values() if not job.state.is_final]
        return sorted(unfinished, key=lambda job: (job.submitted_unix_ms, job.id))

    def ended_jobs(self, zone: ZoneName, min_age_ms: int) -> list[JobRecord]:
        """Returns the jobs of a zone that this host saw as ended at least ``min_age_ms`` ago."""
        ended_before_ms = self._clock.now_ms - min_age_ms
        return [
            job
            for job in self._jobs_by_zone[zone].values()
            if job.state.is_final and self._ended_since_ms[job.id] <= ended_before_ms
        ]

    def queued_since_ms(self, job: JobId) -> int:
        """Returns when this entry host first saw the job as queued, on its monotonic clock.

        Returns the current time if the job isn't known as queued.
        """
        return self._queued_since_ms.get(job, self._clock.now_ms)

    def listen(self, listener: Callable[[JobId, ZoneName], None]) -> None:
        """Calls ``listener`` with each changed job and its zone.

        If the job moved to another zone, ``listener`` is called for both zones.
        """
        self._listeners.append(listener)

    def _on_entry(self, entry: Entry) -> None:
        job = JobId(entry.key.removeprefix(JOBS_PREFIX))
        previous_zone = self._zone_by_job.pop(job, None)
        if previous_zone is not None:
            del self._jobs_by_zone[previous_zone][job]
        record = None if entry.deleted else self._cache.read(entry.key, JobRecord)
        if record is not None:
            self._jobs_by_zone[record.zone][job] = record
            self._zone_by_job[job] = record.zone
        self._record_times(job, record)
        for zone in {previous_zone, None if record is None else record.zone} - {None}:
            for listener in self._listeners:
                listener(job, zone)  # type: ignore[arg-type]

    def _record_times(self, job: JobId, record: JobRecord | None) -> None:
        now_ms = self._clock.now_ms
        if record is None or record.state.is_final:
            self._queued_since_ms.pop(job, None)
        elif record.state is JobState.QUEUED:
            self._queued_since_ms.setdefault(job, now_ms)
        if record is not None and record.state.is_final:
            self._ended_since_ms.setdefault(job, now_ms)
        else:
            self._ended_since_ms.pop(job, None)
