"""What the jobs of each queue have needed so far.

The load that this answers: callers' estimates that are wrong, for some queues by half. A queue whose
callers always estimate too little makes its jobs look as if they could still be in time.
"""

from __future__ import annotations

import math

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.identifiers import QueueName
    from jujubehall.identifiers import TeamName

MAX_SAMPLES = 32
"""Number of the latest runs from which the error of the estimates is computed."""

PRIOR_SAMPLES = 8
"""Weight of the less specific value, in samples: that of the queue for a team, and 1 for a queue."""

MAX_DURATION_FACTOR = 4.0
"""Limit of the correction in both directions; beyond it a queue has several kinds of work."""

MEAN_WORK_SAMPLES = 64
"""Number of jobs over which the mean work of a queue is averaged."""

MAX_RELATIVE_SAMPLE = 8.0
"""Limit of one job's part in the mean, as a multiple of it."""


class WorkHistory:
    """Learns the mean work of a queue's jobs, and by which factor its callers' estimates are off.

    Kept by the owner in memory. A new owner knows the mean work once it has loaded the stored jobs,
    and learns the factors from the runs that end in its term.
    """

    def __init__(self) -> None:
        self._log_ratios: dict[tuple[QueueName, TeamName | None], deque[float]] = {}
        self._duration_factors: dict[tuple[QueueName, TeamName], float] = {}
        self._mean_core_ms: dict[QueueName, float] = {}
        self._jobs: dict[QueueName, int] = {}

    def record_job(self, job: FleetJob) -> None:
        """Records the work that an accepted job is expected to need."""
        queue = job.accepted.queue
        count = self._jobs[queue] = min(self._jobs.get(queue, 0) + 1, MEAN_WORK_SAMPLES)
        mean = self._mean_core_ms.get(queue, 0.0)
        sample = job.expected_core_ms
        if mean:
            sample = min(sample, MAX_RELATIVE_SAMPLE * mean)
        self._mean_core_ms[queue] = mean + (sample - mean) / count

    def record_duration(self, job: FleetJob, expected_ms: int, actual_ms: int) -> None:
        """Records how long a run took that was expected to take ``expected_ms``."""
        if expected_ms <= 0 or actual_ms <= 0:
            return
        queue, team = job.accepted.queue, job.accepted.team
        for key in ((queue, team), (queue, None)):
            samples = self._log_ratios.setdefault(key, deque(maxlen=MAX_SAMPLES))
            samples.append(math.log(actual_ms / expected_ms))
        self._duration_factors.clear()

    def duration_factor(self, job: FleetJob) -> float:
        """Returns the usual ratio of a run's duration to its estimate, for the job's queue and team.

        It is the median of the latest runs, so that a few very long runs have no effect. With few
        runs it stays close to 1.
        """
        return self.team_duration_factor(job.accepted.queue, job.accepted.team)

    def team_duration_factor(self, queue: QueueName, team: TeamName) -> float:
        """Returns the factor by which the estimates of a team for a queue are usually off."""
        key = (queue, team)
        factor = self._duration_factors.get(key)
        if factor is None:
            factor = self._duration_factors[key] = self._compute_factor(*key)
        return factor

    def relative_work(self, job: FleetJob) -> float:
        """Returns the expected work of a job relative to the mean of its queue; 1 if unknown."""
        mean = self._mean_core_ms.get(job.accepted.queue, 0.0)
        return job.expected_core_ms / mean if mean else 1.0

    def _compute_factor(self, queue: QueueName, team: TeamName) -> float:
        log_factor = 0.0
        for key in ((queue, None), (queue, team)):
            samples = self._log_ratios.get(key)
            if samples:
                weight = len(samples) / (len(samples) + PRIOR_SAMPLES)
                log_factor += weight * (median(samples) - log_factor)
        limit = math.log(MAX_DURATION_FACTOR)
        return math.exp(max(-limit, min(limit, log_factor)))
