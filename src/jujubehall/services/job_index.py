"""The unfinished and the lately ended jobs of each availability zone, kept up by the cache."""

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
    """Spares the owners of zones a walk over all records with each change."""

    def __init__(self, cache: StateCache, clock: Clock) -> None:
        self._cache = cache
        self._clock = clock
        self._zones: dict[ZoneName, dict[JobId, JobRecord]] = defaultdict(dict)
        self._zone_of: dict[JobId, ZoneName] = {}
        self._queued_since_ms: dict[JobId, int] = {}
        self._ended_since_ms: dict[JobId, int] = {}
        self._listeners: list[Callable[[JobId, ZoneName], None]] = []
        cache.listen(JOBS_PREFIX, self._on_entry)

    @property
    def zones(self) -> set[ZoneName]:
        """The availability zones with jobs that have not ended."""
        return {
            zone
            for zone, jobs in self._zones.items()
            if any(not job.state.is_final for job in jobs.values())
        }

    def jobs(self, zone: ZoneName) -> list[JobRecord]:
        """The jobs of a zone that have not ended, in the order of their submission."""
        unfinished = [job for job in self._zones[zone].values() if not job.state.is_final]
        return sorted(unfinished, key=lambda job: (job.submitted_unix_ms, job.id))

    def ended(self, zone: ZoneName, for_ms: int) -> list[JobRecord]:
        """The jobs of a zone that have been known as ended for so long."""
        before_ms = self._clock.now_ms - for_ms
        return [
            job
            for job in self._zones[zone].values()
            if job.state.is_final and self._ended_since_ms[job.id] <= before_ms
        ]

    def queued_since_ms(self, job: JobId) -> int:
        """Since when, on this entry host's clock, a job has been known to wait."""
        return self._queued_since_ms.get(job, self._clock.now_ms)

    def listen(self, listener: Callable[[JobId, ZoneName], None]) -> None:
        """Calls ``listener`` with each job that has changed and the zone it is or was in."""
        self._listeners.append(listener)

    def _on_entry(self, entry: Entry) -> None:
        job = JobId(entry.key.removeprefix(JOBS_PREFIX))
        before = self._zone_of.pop(job, None)
        if before is not None:
            del self._zones[before][job]
        record = None if entry.deleted else self._cache.read(entry.key, JobRecord)
        if record is not None:
            self._zones[record.zone][job] = record
            self._zone_of[job] = record.zone
        self._note_times(job, record)
        for zone in {before, None if record is None else record.zone} - {None}:
            for listener in self._listeners:
                listener(job, zone)  # type: ignore[arg-type]

    def _note_times(self, job: JobId, record: JobRecord | None) -> None:
        now_ms = self._clock.now_ms
        if record is None or record.state.is_final:
            self._queued_since_ms.pop(job, None)
        elif record.state is JobState.QUEUED:
            self._queued_since_ms.setdefault(job, now_ms)
        if record is not None and record.state.is_final:
            self._ended_since_ms.setdefault(job, now_ms)
        else:
            self._ended_since_ms.pop(job, None)
