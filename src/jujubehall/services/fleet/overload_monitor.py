"""Keeps the limits on the admission of jobs up to date during a term."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from jujubehall.core.fleet.admission_limits import NO_LIMITS
from jujubehall.core.fleet.overload import Overload

if TYPE_CHECKING:
    from jujubehall.clock import Clock
    from jujubehall.core.fleet.admission_limits import AdmissionLimits
    from jujubehall.core.fleet.job_demand import JobDemand
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import QueueName
    from jujubehall.identifiers import TeamName

UPDATE_INTERVAL_MS = 1_000
"""How often the expected waits are computed; they change over seconds."""

MAX_TIME_SHARE = 0.05
"""Upper limit, approximately, of the share of time spent on updates: with 28,000 waiting tasks on 820
workers one takes 80 ms."""

MAX_LIMITS_AGE_MS = 3_000
"""How long limits apply without an update, if updates aren't slower; then all jobs are admitted."""

MAX_DECISIONS_MS = 50
"""Time for decisions between two updates; once it is used up, jobs are admitted without one."""

log = structlog.get_logger()


class OverloadMonitor:
    """Updates an ``Overload`` from the state of the site and logs when its limits change."""

    def __init__(self, fleet_state: FleetState, clock: Clock) -> None:
        self._fleet_state = fleet_state
        self._clock = clock
        self._overload = Overload(clock.now_ms)
        self._attempted_ms = self._updated_ms = clock.now_ms
        self._interval_ms = UPDATE_INTERVAL_MS
        self._decisions_ms = 0
        """The time that decisions have taken since the last update."""

    @property
    def limits(self) -> AdmissionLimits:
        """The limits in force."""
        return self._overload.limits if self._is_current else NO_LIMITS

    @property
    def _is_current(self) -> bool:
        max_age_ms = max(MAX_LIMITS_AGE_MS, 2 * self._interval_ms)
        return self._clock.now_ms - self._updated_ms <= max_age_ms

    def update_if_due(self) -> None:
        """Computes the limits again if the last time was long enough ago."""
        now_ms = self._clock.now_ms
        if now_ms - self._attempted_ms < self._interval_ms:
            return
        self._attempted_ms = now_ms
        earlier = self._overload.limits.waits_ms
        waits_ms = self._overload.update(self._fleet_state, now_ms).waits_ms
        self._updated_ms = now_ms
        self._decisions_ms = 0
        took_ms = self._clock.now_ms - now_ms
        self._interval_ms = max(UPDATE_INTERVAL_MS, round(took_ms / MAX_TIME_SHARE))
        if waits_ms.keys() != earlier.keys():
            log.info(
                "admission limits changed",
                waits_ms=waits_ms,
                earlier_waits_ms=earlier,
                jobs=len(self._fleet_state.jobs),
                refused_jobs=len(self._overload.refused_jobs),
            )

    def decide(
        self, job: JobId, queue_name: QueueName, team: TeamName, demand: JobDemand
    ) -> int | None:
        """Returns None to admit a job, or the time in ms after which its caller may try again."""
        queue = self._fleet_state.configuration.queue(queue_name)
        if queue is None or not self._is_current or self._decisions_ms >= MAX_DECISIONS_MS:
            return None
        now_ms = self._clock.now_ms
        decision = self._overload.decide(self._fleet_state, job, queue, team, demand, now_ms)
        self._decisions_ms += self._clock.now_ms - now_ms
        return decision

    def note_accepted(self, job: FleetJob) -> None:
        """Counts the wait of an accepted job from its first attempt."""
        first_refused_ms = self._overload.refused_jobs.first_refused_ms(job.id)
        if first_refused_ms is not None:
            job.count_waiting_from(first_refused_ms)
            self._overload.refused_jobs.forget(job.id)
