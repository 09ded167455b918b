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

QUEUE_HORIZON_MS = 30_000
"""How far ahead of its latest start waiting work becomes urgent: about as long as a backlog lasts."""

RESTART_HORIZON_MS = 4_000
"""The same for work that has been stopped: about as long as capacity takes to become free."""

MAX_RISK_HORIZONS = 5
"""With more slack than this multiple of the horizon, the risk is less than one percent."""

RESTART_DELAY_MS = 500
"""Time from the stop of a group to its next start: the stop, its report and the start."""

WAIT_ERROR_MS = 150
"""By how much the expected end of a running task is usually wrong: progress is reported in whole
percent, and the report of the end takes a few milliseconds."""

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

    def value_at_stake(self) -> float:
        """Returns the value that the job may lose if it waits on.

        It rises as the slack runs out, and falls again once the objective has passed.
        """
        at_stake = 0.0
        if self.slack_ms >= 0:
            at_stake += (1 - LATE_VALUE_SHARE) * _risk(self.slack_ms, QUEUE_HORIZON_MS)
        if self.expiry_slack_ms >= 0:
            at_stake += LATE_VALUE_SHARE * _risk(self.expiry_slack_ms, QUEUE_HORIZON_MS)
        return self.value * at_stake

    def expected_value(self, delay_ms: float) -> float:
        """Returns what the job's end is expected to be worth if it is delayed.

        A delay of less than 0 ms means that it will end sooner.
        """
        late_risk = _risk(self.slack_ms - delay_ms, RESTART_HORIZON_MS)
        expiry_risk = _risk(self.expiry_slack_ms - delay_ms, RESTART_HORIZON_MS)
        lost_share = (1 - LATE_VALUE_SHARE) * late_risk + LATE_VALUE_SHARE * expiry_risk
        return self.value * (1 - lost_share)


class StopLoss(NamedTuple):
    """The value put at risk if a running group is stopped and started again."""

    waste: float
    """The value of the work that has to be done again."""

    risk: float
    """What its job may lose because it ends later; other groups of the job that are stopped at the
    same time add nothing to it."""


class DelayCost:
    """Computes the cost of delay for the jobs of one scheduling round.

    Values are relative: the mean job of a queue of priority 0 is worth 1 in time. Jobs without an
    objective, such as services and timed jobs, are always in time.
    """

    def __init__(self, now_ms: int, history: WorkHistory) -> None:
        self._now_ms = now_ms
        self._history = history
        self._outlooks: dict[FleetJob, JobOutlook | None] = {}
        self._values: dict[FleetJob, float] = {}
        self._rates: dict[FleetJob, float] = {}
        self._stop_losses: dict[tuple[FleetJob, int, int], StopLoss] = {}

    def standing(self, job: FleetJob) -> Lateness:
        """Returns whether the job can still be in time, if all its work starts now."""
        outlook = self.outlook(job)
        return Lateness.IN_TIME if outlook is None else outlook.lateness

    def value(self, job: FleetJob) -> float:
        """Returns what the end of the job is worth to its caller if it is in time."""
        value = self._values.get(job)
        if value is None:
            size_share = (1 - FIXED_VALUE_SHARE) * self._history.relative_work(job)
            value = LOWER_PRIORITY_VALUE_SHARE**job.priority
            value *= min(MAX_RELATIVE_VALUE, FIXED_VALUE_SHARE + size_share)
            self._values[job] = value
        return value

    def rate(self, group: TaskGroup) -> float:
        """Returns the value at stake per core-second of the work that its job still needs.

        Returns infinity for a job without an objective.
        """
        job = group.job
        rate = self._rates.get(job)
        if rate is None:
            outlook = self.outlook(job)
            rate = math.inf
            if outlook is not None:
                rate = outlook.value_at_stake() / (outlook.remaining_core_ms / 1_000)
            self._rates[job] = rate
        return rate

    def loss_if_stopped(self, group: TaskGroup) -> float:
        """Returns the value put at risk if a running group is stopped and started again.

        That is the value of the work that has to be done again, and what its job may lose by ending
        later. A group whose checkpoint is saved loses little.
        """
        return sum(self.stop_loss(group))

    def stop_loss(self, group: TaskGroup) -> StopLoss:
        """Returns the parts of ``loss_if_stopped``."""
        # Tasks of one step that were started together lose the same.
        started_ms = min(each.started_ms for each in group.placements.values())
        key = (group.job, group.step, started_ms)
        loss = self._stop_losses.get(key)
        if loss is None:
            loss = self._compute_stop_loss(group, self._now_ms - started_ms)
            self._stop_losses[key] = loss
        return loss

    def loss_if_not_started(self, group: TaskGroup) -> float:
        """Returns the value that its job loses at most if the group waits for room.

        Nothing is lost by the wait of a job that has expired.
        """
        value = self.value(group.job)
        standing = self.standing(group.job)
        if standing is Lateness.IN_TIME:
            return value
        return LATE_VALUE_SHARE * value if standing is Lateness.LATE else 0.0

    def loss_if_late(self, group: TaskGroup) -> float:
        """Returns the value that its job loses if it ends late although it could be in time."""
        if self.standing(group.job) is not Lateness.IN_TIME:
            return 0.0
        return (1 - LATE_VALUE_SHARE) * self.value(group.job)

    def loss_by_wait(self, group: TaskGroup, wait_ms: float) -> float:
        """Returns the value put at risk if a group waits for other work that should end by then.

        Such an end is well known, so that waiting costs little until the slack is used up.
        """
        outlook = self.outlook(group.job)
        if outlook is None or not wait_ms:
            return 0.0
        risk = _risk(outlook.slack_ms - wait_ms, WAIT_ERROR_MS)
        return (1 - LATE_VALUE_SHARE) * outlook.value * risk

    def outlook(self, job: FleetJob) -> JobOutlook | None:
        """Returns what is expected of a job, or None if it has no objective."""
        if job not in self._outlooks:
            self._outlooks[job] = self._compute_outlook(job)
        return self._outlooks[job]

    def _compute_stop_loss(self, group: TaskGroup, done_ms: int) -> StopLoss:
        repeated_ms = RESTART_DELAY_MS + (0 if group.request.saves_checkpoints else done_ms)
        # Repeated work takes capacity from other jobs, also where it exceeds the value of its own.
        weight = LOWER_PRIORITY_VALUE_SHARE**group.job.priority
        work_value = weight * self._history.relative_work(group.job)
        waste = max(self.value(group.job), work_value) * _share_of_job(group, repeated_ms)
        outlook = self.outlook(group.job)
        if outlook is None or outlook.slack_ms > MAX_RISK_HORIZONS * RESTART_HORIZON_MS:
            return StopLoss(waste, 0.0)
        # The outlook assumes that all of the step is still to be done.
        value_if_stopped = outlook.expected_value(repeated_ms - done_ms)
        risk = outlook.expected_value(-done_ms) - value_if_stopped
        return StopLoss(waste, max(0.0, risk))

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


def _share_of_job(group: TaskGroup, work_ms: float) -> float:
    """Returns which share of the work of its job the group does in ``work_ms``."""
    job = group.job
    job_core_ms = job.expected_core_ms
    if work_ms > group.request.expected_ms:
        # The estimate is too low or missing; other tasks of the job should take as long.
        job_core_ms = max(job_core_ms, work_ms * job.total_millicore_equivalents / 1_000)
    group_core_ms = work_ms * group.total_millicore_equivalents / 1_000
    return group_core_ms / max(MIN_CORE_MS, job_core_ms)


def _risk(slack_ms: float, horizon_ms: float) -> float:
    """Returns the risk that work with this slack misses its latest start if it waits on."""
    return math.exp(-max(0.0, slack_ms) / horizon_ms)
