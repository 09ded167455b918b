"""What waiting costs callers: one measure for the order of the queue, preemption and relocation.

The load that this answers: bursts and losses of workers after which not all work can be in time.
What is delayed should then be what costs callers least, by its priority, its deadline and the work
that it needs.
"""

from __future__ import annotations

import math

from enum import IntEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.work_history import WorkHistory

EXPIRY_FACTOR = 3.0
"""A job that takes more than this multiple of its objective is worth nothing to its caller."""

LATE_VALUE_SHARE = 0.25
"""What a late job is worth, as a share of its value in time."""

LOWER_PRIORITY_VALUE_SHARE = 0.5
"""What a job of the next lower priority is worth, as a share of the same job's value."""

FIXED_VALUE_SHARE = 0.3
"""Share of the value of a queue's mean job that each job has whatever its size: its caller waits for
it. The rest grows with its work."""

MAX_RELATIVE_VALUE = 4.0
"""Limit of a job's value, as a multiple of the value of its queue's mean job."""

URGENCY_HORIZON_MS = 4_000
"""How far ahead of its latest start work becomes urgent: about as long as capacity takes to become
free."""

RESTART_DELAY_MS = 500
"""Time from the stop of a group to its next start: the stop, its report and the start."""

MIN_CORE_MS = 1_000.0
"""Work of less than one core-second counts as one, since each run costs commands and records."""


class Lateness(IntEnum):
    """Whether a job can still be in time, if it continues now."""

    IN_TIME = 0
    LATE = 1
    EXPIRED = 2
    """It will end so late that it is worth nothing to its caller; it must end nevertheless."""


class JobOutlook(NamedTuple):
    """What is expected of a job that has an objective."""

    slack_ms: float
    """How long it may still wait and be in time; negative if it is late."""

    expiry_slack_ms: float
    """How long it may still wait before it expires; negative if it has expired."""

    value: float
    remaining_core_ms: float

    @property
    def lateness(self) -> Lateness:
        """Whether the job can still be in time."""
        if self.slack_ms >= 0:
            return Lateness.IN_TIME
        return Lateness.LATE if self.expiry_slack_ms >= 0 else Lateness.EXPIRED

    def value_at_stake(self, delay_ms: float = 0.0) -> float:
        """Returns the value expected to be lost if the job waits on after a delay.

        It rises as the slack runs out, and falls again once the objective has passed.
        """
        at_stake = 0.0
        if self.slack_ms >= 0:
            at_stake += (1 - LATE_VALUE_SHARE) * _urgency(self.slack_ms - delay_ms)
        if self.expiry_slack_ms >= 0:
            at_stake += LATE_VALUE_SHARE * _urgency(self.expiry_slack_ms - delay_ms)
        return self.value * at_stake


class DelayCost:
    """Computes the cost of delay for the jobs of one scheduling round.

    Values are relative: the mean job of a queue of priority 0 is worth 1 in time. Jobs without an
    objective, such as services and timed jobs, are always in time.
    """

    def __init__(self, now_ms: int, history: WorkHistory) -> None:
        self._now_ms = now_ms
        self._history = history
        self._outlooks: dict[FleetJob, JobOutlook | None] = {}

    def standing(self, job: FleetJob) -> Lateness:
        """Returns whether the job can still be in time, if all its work starts now."""
        outlook = self.outlook(job)
        return Lateness.IN_TIME if outlook is None else outlook.lateness

    def value(self, job: FleetJob) -> float:
        """Returns what the end of the job is worth to its caller if it is in time."""
        relative_value = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * self._history.relative_work(
            job
        )
        weight = LOWER_PRIORITY_VALUE_SHARE**job.priority
        return weight * min(MAX_RELATIVE_VALUE, relative_value)

    def rate(self, group: TaskGroup) -> float:
        """Returns the value at stake per core-second of the work that its job still needs.

        Returns infinity for a job without an objective.
        """
        outlook = self.outlook(group.job)
        if outlook is None:
            return math.inf
        return outlook.value_at_stake() / (outlook.remaining_core_ms / 1_000)

    def loss_if_stopped(self, group: TaskGroup) -> float:
        """Returns the value put at risk if a running group is stopped and started again.

        That is the value of the work that has to be done again, and what its job may lose by ending
        later. A group whose checkpoint is saved loses little.
        """
        outlook = self.outlook(group.job)
        if outlook is None:
            return 0.0
        done_ms = float(self._now_ms - min(each.started_ms for each in group.placements.values()))
        repeated_ms = RESTART_DELAY_MS + (0.0 if group.request.saves_checkpoints else done_ms)
        # The outlook assumes that the whole step is still to be done.
        delay_ms = RESTART_DELAY_MS - (done_ms if group.request.saves_checkpoints else 0.0)
        at_risk = outlook.value_at_stake(delay_ms) - outlook.value_at_stake(-done_ms)
        repeated_core_ms = repeated_ms * group.total_millicore_equivalents / 1_000
        job_core_ms = max(MIN_CORE_MS, group.job.expected_core_ms)
        return max(0.0, at_risk) + outlook.value * repeated_core_ms / job_core_ms

    def outlook(self, job: FleetJob) -> JobOutlook | None:
        """Returns what is expected of a job, or None if it has no objective."""
        if job not in self._outlooks:
            self._outlooks[job] = self._compute_outlook(job)
        return self._outlooks[job]

    def _compute_outlook(self, job: FleetJob) -> JobOutlook | None:
        queue = job.queue
        request = job.accepted.request
        if queue is None or request.occurrences:
            return None
        if any(step.runs_until_cancelled for step in request.steps):
            return None
        factor = self._history.duration_factor(job)
        objective_ms = queue.objective_ms + queue.objective_factor * factor * (
            job.expected_chain_ms()
        )
        end_ms = self._now_ms - job.accepted_ms + factor * job.expected_remaining_ms()
        return JobOutlook(
            objective_ms - end_ms,
            EXPIRY_FACTOR * objective_ms - end_ms,
            self.value(job),
            max(MIN_CORE_MS, factor * job.expected_remaining_core_ms()),
        )


def _urgency(slack_ms: float) -> float:
    """Returns how likely work with this slack is to miss its latest start if it waits on."""
    return math.exp(-max(0.0, slack_ms) / URGENCY_HORIZON_MS)
