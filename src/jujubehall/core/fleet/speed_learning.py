"""Learns the usual speed of each worker from the durations of the tasks on it.

The duration of a run is the work of its step times the duration factor of its worker. Neither is
known; callers estimate the work, each queue with an error of its own. Both are estimated together
in logarithms: each step tells each of its workers how the run there compares with the estimate and
with the runs on the other workers, whose speeds are known more or less well.

The method is belief propagation with normal distributions: Kschischang, Frey and Loeliger, "Factor
Graphs and the Sum-Product Algorithm", 2001.
"""

from __future__ import annotations

import math

from statistics import median
from typing import TYPE_CHECKING
from typing import NamedTuple

from jujubehall.core.fleet.estimate_errors import EstimateErrors
from jujubehall.core.fleet.gang_evidence import Member
from jujubehall.core.fleet.gang_evidence import evidence_of_end
from jujubehall.core.fleet.progress import COMPLETE_PERCENT
from jujubehall.core.fleet.slowness import MIN_STALL_MS
from jujubehall.core.fleet.slowness import is_remote
from jujubehall.core.fleet.worker_speed import MIN_SPREAD

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jujubehall.core.fleet.groups import Placement
    from jujubehall.core.fleet.groups import TaskGroup
    from jujubehall.core.fleet.jobs import FleetJob
    from jujubehall.core.fleet.worker_speed import WorkerSpeed
    from jujubehall.core.fleet.workers import FleetWorker
    from jujubehall.identifiers import QueueName

MIN_PERCENT = 10
"""Progress is reported in whole percent; below ten, a speed from it is wrong by over five percent."""

MIN_OBSERVED_MS = 300
"""Shorter times depend on delays of commands and reports rather than on the worker."""

PROGRESS_STEP = 1.5
"""A run is observed again when its progress has grown by this factor."""

MAX_START_DOUBT_MS = 300
"""A run whose start took longer to be confirmed may have begun at any time between."""

QUANTISATION_PERCENT = 0.3
"""Standard error of progress that is rounded down to whole percent, after half a percent is added."""

PASSING_SLOWNESS = 3.0
"""A run on a worker that is this many times slower than usual at the moment says nothing about the
worker's usual speed."""

OUTLIER_DEVIATION = 2.5
"""Evidence further from what is expected than this many standard errors loses weight."""

MAX_DEVIATION = math.log(3.0)
"""Evidence that differs from what is expected by a factor of three is ignored: some tasks take seven
times as long as their like, and some workers are slow for some seconds."""

UNKNOWN_WORK_VARIANCE = 1.0
"""Variance of the logarithm of the work of a step without a usable estimate."""

MIN_MESSAGE_VARIANCE = 0.07**2
"""Least variance of the evidence from one step: its runs on one worker share passing conditions."""

MIN_ASSUMED_SPREAD = 0.2
"""Least assumed spread of the speeds while the work of a step is estimated."""

REFRESH_INTERVAL_MS = 500
"""How often the spread of the site's speeds is computed and ended steps are forgotten."""

StepKey = tuple["FleetJob", int, int]


class _Observation(NamedTuple):
    """The logarithm of a run's duration, and its variance without that of the task's own work."""

    speed: WorkerSpeed
    log_ms: float
    variance: float
    percent: int


class _Message(NamedTuple):
    """Evidence that a step has given for the speed of a worker."""

    precision: float
    weighted_sum: float


class _StepBelief:
    """The runs of one step and what they have told their workers."""

    def __init__(self, group: TaskGroup) -> None:
        self.expected_ms = group.request.expected_ms
        self.queue = group.job.accepted.queue
        self.is_gang = group.request.is_gang
        self.groups = group.job.groups[group.occurrence, group.step]
        self.observations: dict[Placement, _Observation] = {}
        self.finished: dict[Placement, float] = {}
        """Logarithm of the time after which a member of a gang was seen to wait for the others."""

        self.disturbed: set[Placement] = set()
        """Runs on workers that were stalled or slowed down for a while."""

        self.messages: dict[WorkerSpeed, _Message] = {}

    @property
    def is_ended(self) -> bool:
        return all(each.is_done or each.job.is_final for each in self.groups)


class SpeedLearning:
    """Keeps the evidence of the running steps, and the speeds of the workers up to date."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, _StepBelief] = {}
        self._changed: dict[StepKey, None] = {}
        self._errors: dict[QueueName, EstimateErrors] = {}
        self._refreshed_ms: int | None = None
        self._reclassified: dict[FleetWorker, None] = {}
        self._usual = 0.0
        self.spread = MIN_SPREAD
        """Standard deviation of the logarithms of the workers' duration factors."""

        self.known_workers = 0
        """Number of workers of which there is evidence."""

        self.has_classes = False
        """Whether workers of different speed classes are known."""

    def observe_progress(
        self, group: TaskGroup, placement: Placement, percent: int, now_ms: int
    ) -> None:
        """Takes in a report of the progress of a run."""
        if group.request.runs_until_cancelled or group.job.is_final or percent < MIN_PERCENT:
            return
        key = (group.job, group.occurrence, group.step)
        step = self._steps.get(key)
        if step is not None:
            earlier = step.observations.get(placement)
            if earlier is not None and percent < PROGRESS_STEP * earlier.percent:
                return
        if is_remote(group, placement) or not group.is_complete:
            return
        if step is None:
            step = self._steps[key] = _StepBelief(group)
        if _is_disturbed(placement, now_ms):
            step.disturbed.add(placement)
            if step.observations.pop(placement, None) is not None:
                self._changed[key] = None
        if placement in step.disturbed:
            return
        if percent >= COMPLETE_PERCENT:
            elapsed_ms = now_ms - _working_since_ms(group, placement)
            if group.request.is_gang and _has_known_start(placement) and elapsed_ms > 0:
                step.finished.setdefault(placement, math.log(elapsed_ms))
            return
        observation = _observe(group, placement, percent, now_ms)
        if observation is not None:
            step.observations[placement] = observation
            self._changed[key] = None

    def observe_end(self, group: TaskGroup, now_ms: int) -> None:
        """Takes in that a group has just been completed; it still has its placements."""
        placements = list(group.placements.values())
        if (
            group.request.runs_until_cancelled
            or not group.is_complete
            or any(is_remote(group, each) for each in placements)
        ):
            return
        key = (group.job, group.occurrence, group.step)
        step = self._steps.get(key)
        if step is None:
            step = self._steps[key] = _StepBelief(group)
        if any(each in step.disturbed or _is_disturbed(each, now_ms) for each in placements):
            return
        if len(placements) > 1:
            self._observe_gang_end(group, step, now_ms)
        else:
            observation = _observe(group, placements[0], COMPLETE_PERCENT, now_ms)
            if observation is not None:
                step.observations[placements[0]] = observation
        self._changed[key] = None

    def update(self, workers: Iterable[FleetWorker], now_ms: int) -> None:
        """Brings the speeds of the workers up to date with what was observed."""
        changed, self._changed = self._changed, {}
        for key in changed:
            self._propagate(self._steps[key])
        if self._refreshed_ms is not None and now_ms - self._refreshed_ms < REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = now_ms
        for key in [key for key, step in self._steps.items() if step.is_ended]:
            self._close(self._steps.pop(key))
        self._refresh(list(workers))

    def refresh_at_next_update(self) -> None:
        """Makes the next update recompute all factors, after speeds have been restored."""
        self._refreshed_ms = None

    def take_reclassified(self) -> list[FleetWorker]:
        """Returns the workers whose speed class has changed since the last call."""
        reclassified, self._reclassified = self._reclassified, {}
        return list(reclassified)

    def _observe_gang_end(self, group: TaskGroup, step: _StepBelief, now_ms: int) -> None:
        placements = list(group.placements.values())
        elapsed_ms = now_ms - _working_since_ms(group, placements[0])
        if elapsed_ms < MIN_OBSERVED_MS or not all(_has_known_start(each) for each in placements):
            return
        work, work_variance = self._work(step)
        task_variance = self._errors_of(step).task_variance
        members = []
        for placement in placements:
            observation = step.observations.get(placement)
            if observation is not None:
                members.append(Member(observation.log_ms, observation.variance + task_variance))
                continue
            mean, variance = self._cavity(placement.worker.speed, None)
            members.append(
                Member(
                    work + mean,
                    work_variance + variance + task_variance,
                    step.finished.get(placement),
                )
            )
        for placement, evidence in zip(
            placements, evidence_of_end(math.log(elapsed_ms), members), strict=True
        ):
            if evidence is not None and placement not in step.observations:
                step.observations[placement] = _Observation(
                    placement.worker.speed, evidence.mean, evidence.variance, COMPLETE_PERCENT
                )

    def _errors_of(self, step: _StepBelief) -> EstimateErrors:
        return self._errors.setdefault(step.queue, EstimateErrors())

    def _cavity(self, speed: WorkerSpeed, message: _Message | None) -> tuple[float, float]:
        """Returns mean and variance of a speed by all evidence except ``message``."""
        spread = max(self.spread, MIN_ASSUMED_SPREAD)
        precision = speed.precision + spread**-2
        weighted_sum = speed.weighted_sum
        if message is not None:
            precision = max(spread**-2, precision - message.precision)
            weighted_sum -= message.weighted_sum
        return weighted_sum / precision, 1 / precision

    def _estimated_work(self, step: _StepBelief) -> tuple[float, float]:
        """Returns mean and variance of the logarithm of the work by the caller's estimate."""
        if not step.expected_ms:
            return 0.0, UNKNOWN_WORK_VARIANCE * 100
        errors = self._errors_of(step)
        return math.log(step.expected_ms) + errors.bias, errors.variance

    def _runs_by_worker(self, step: _StepBelief) -> dict[WorkerSpeed, tuple[float, float]]:
        """Returns mean and variance of the logarithm of the durations on each worker."""
        task_variance = self._errors_of(step).task_variance
        sums: dict[WorkerSpeed, tuple[float, float]] = {}
        for observation in step.observations.values():
            weight = 1 / (observation.variance + task_variance)
            precision, weighted_sum = sums.get(observation.speed, (0.0, 0.0))
            sums[observation.speed] = (
                precision + weight,
                weighted_sum + weight * observation.log_ms,
            )
        return {
            speed: (weighted_sum / precision, max(1 / precision, MIN_MESSAGE_VARIANCE))
            for speed, (precision, weighted_sum) in sums.items()
        }

    def _work(self, step: _StepBelief) -> tuple[float, float]:
        """Returns mean and variance of the logarithm of the step's work."""
        precision, weighted_sum, _ = self._joint_work(step, self._runs_by_worker(step))
        return weighted_sum / precision, 1 / precision

    def _joint_work(
        self, step: _StepBelief, runs: dict[WorkerSpeed, tuple[float, float]]
    ) -> tuple[float, float, dict[WorkerSpeed, tuple[float, float]]]:
        """Returns precision and weighted sum of the work, and what each worker adds to them."""
        mean, variance = self._estimated_work(step)
        votes = {}
        for speed, (log_ms, run_variance) in runs.items():
            speed_mean, speed_variance = self._cavity(speed, step.messages.get(speed))
            votes[speed] = (log_ms - speed_mean, run_variance + speed_variance)
        if votes:
            typical = median(vote for vote, _ in votes.values())
            deviation = abs(typical - mean)
            smallest = min(vote_variance for _, vote_variance in votes.values())
            if deviation > OUTLIER_DEVIATION * math.sqrt(variance + smallest):
                mean, variance = typical, UNKNOWN_WORK_VARIANCE
            precision, weighted_sum = 1 / variance, mean / variance
            added = {}
            for speed, (vote, vote_variance) in votes.items():
                # One task that takes seven times as long must not change what the others say.
                excess = abs(vote - typical) / math.sqrt(vote_variance) / OUTLIER_DEVIATION
                weight = 1 / vote_variance / max(1.0, excess) ** 4
                added[speed] = (weight, weight * vote)
                precision += weight
                weighted_sum += weight * vote
            return precision, weighted_sum, added
        return 1 / variance, mean / variance, {}

    def _propagate(self, step: _StepBelief) -> None:
        """Replaces the evidence that a step gives its workers."""
        runs = self._runs_by_worker(step)
        precision, weighted_sum, added = self._joint_work(step, runs)
        messages = {}
        for speed, (log_ms, run_variance) in runs.items():
            own_precision, own_sum = added[speed]
            other_precision = precision - own_precision
            work = (weighted_sum - own_sum) / other_precision
            mean, variance = self._cavity(speed, step.messages.get(speed))
            message_variance = run_variance + 1 / other_precision
            deviation = abs(log_ms - work - mean)
            if deviation > MAX_DEVIATION:
                continue
            excess = deviation / math.sqrt(message_variance + variance) / OUTLIER_DEVIATION
            weight = 1 / message_variance / max(1.0, excess) ** 4
            messages[speed] = _Message(weight, weight * (log_ms - work))
        for speed, message in step.messages.items():
            speed.add(-message.precision, -message.weighted_sum)
            speed.samples -= 1
        for speed, message in messages.items():
            speed.add(message.precision, message.weighted_sum)
            speed.samples += 1
        step.messages = messages

    def _close(self, step: _StepBelief) -> None:
        """Learns from an ended step how well its queue's callers estimate."""
        for speed in step.messages:
            speed.forget_excess()
        runs = self._runs_by_worker(step)
        if not runs:
            return
        _, _, added = self._joint_work(step, runs)
        precision = sum(weight for weight, _ in added.values())
        work = sum(weighted for _, weighted in added.values()) / precision
        errors = self._errors_of(step)
        if step.expected_ms:
            errors.record_work(work - math.log(step.expected_ms), 1 / precision)
        if len(runs) > 2:
            errors.record_tasks(
                [
                    log_ms - work - self._cavity(speed, None)[0]
                    for speed, (log_ms, _) in runs.items()
                ]
            )

    def _refresh(self, workers: list[FleetWorker]) -> None:
        """Recomputes the site's usual speed and its spread, and each worker's factor from them."""
        known = [each.speed for each in workers if each.speed.precision]
        self.known_workers = len(known)
        if known:
            means = [each.weighted_sum / each.precision for each in known]
            self._usual = median(means)
            weights = [(1 / each.precision + self.spread**2) ** -2 for each in known]
            excess = sum(
                weight * ((mean - self._usual) ** 2 - 1 / each.precision)
                for each, mean, weight in zip(known, means, weights, strict=True)
            )
            self.spread = math.sqrt(max(MIN_SPREAD**2, excess / sum(weights)))
        classes = set()
        for worker in workers:
            if worker.speed.update(self._usual, self.spread):
                self._reclassified[worker] = None
            classes.add(worker.speed.speed_class)
        self.has_classes = len(classes) > 1


def _is_disturbed(placement: Placement, now_ms: int) -> bool:
    return (
        placement.worker.slowness(now_ms) >= PASSING_SLOWNESS
        or placement.worker.is_cold(placement.started_ms)
        or placement.worker.is_stalled(now_ms)
        or placement.progress.stalled_ms >= MIN_STALL_MS
    )


def _has_known_start(placement: Placement) -> bool:
    """Returns whether the run began with all its work to do, and about when."""
    if not placement.progress.is_from_scratch or placement.running_since_ms is None:
        return False
    sent_ms = placement.sent_ms or placement.started_ms
    return placement.running_since_ms - sent_ms <= MAX_START_DOUBT_MS


def _working_since_ms(group: TaskGroup, placement: Placement) -> int:
    """Returns since when a run has been working; the members of a gang wait for the last one."""
    members = group.placements.values() if group.request.is_gang else (placement,)
    return max(each.running_since_ms or each.started_ms for each in members)


def _observe(
    group: TaskGroup, placement: Placement, percent: int, now_ms: int
) -> _Observation | None:
    """Returns the duration of a run by its progress; None if that is too little to tell."""
    progress = placement.progress
    if progress.baseline is not None:
        from_percent, since_ms = progress.baseline
    elif _has_known_start(placement):
        from_percent, since_ms = 0, _working_since_ms(group, placement)
    else:
        return None
    done_percent = percent - from_percent
    elapsed_ms = now_ms - since_ms
    if done_percent < MIN_PERCENT or elapsed_ms < MIN_OBSERVED_MS:
        return None
    if percent < COMPLETE_PERCENT and not from_percent:
        done = done_percent + 0.5
    else:
        done = float(done_percent)
    error = QUANTISATION_PERCENT / done_percent
    return _Observation(
        placement.worker.speed,
        math.log(elapsed_ms * COMPLETE_PERCENT / done),
        error * error,
        percent,
    )
