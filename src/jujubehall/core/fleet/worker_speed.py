"""The learned speed of a worker: how long tasks usually take on it."""

from __future__ import annotations

import math

import msgspec

from jujubehall.identifiers import WorkerName

SPEED_CLASS_RATIO = 1.25
"""Ratio of the durations of neighbouring speed classes. Smaller differences don't make work late."""

MIN_NOTICEABLE_RATIO = 1.15
"""Workers whose durations differ by less than this are considered alike."""

MIN_SIGNIFICANCE = 2.0
"""A difference must be this many standard errors to be used."""

FASTEST_CLASS = -4
SLOWEST_CLASS = 4
"""Bounds of the speed classes: 0.4 to 2.4 times the usual duration."""

MAX_LOG_FACTOR = SLOWEST_CLASS * math.log(SPEED_CLASS_RATIO)

MIN_STANDARD_ERROR = 0.05
"""Evidence beyond this precision is forgotten, so that a worker that changes is learned anew."""

MAX_PRECISION = 1 / MIN_STANDARD_ERROR**2

MIN_PRECISION = 0.01
"""Less evidence is the rounding error of evidence that was removed."""

MIN_SPREAD = 0.03
"""Least assumed standard deviation of the logarithms of the workers' durations."""


class StoredSpeed(msgspec.Struct, frozen=True, array_like=True):
    """What an owner has learned of one incarnation of a worker, as stored for its successors."""

    worker: WorkerName
    incarnation: int
    log_factor_permille: int
    """Logarithm of the duration factor, in thousandths."""

    standard_error_permille: int
    samples: int


class WorkerSpeed:
    """What is known of the usual duration of tasks on one incarnation of a worker.

    ``duration_factor`` is 1.0 on a usual worker, and 1.6 on one that takes 1.6 times as long. It
    stays 1.0 until the evidence is clear, and where the workers of the site are alike.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.duration_factor = 1.0
        self.speed_class = 0
        """Logarithm of the factor to the base ``SPEED_CLASS_RATIO``, rounded: negative if fast."""

        self.end_class = 0
        """Like the speed class, but relative to the callers' estimates and not to the other workers.
        Callers may estimate for a worker that is faster than the usual one of this site."""

        self.samples = 0.0
        """Weight of the evidence: about the number of steps of which tasks ran here."""

        self.precision = 0.0
        """Inverse variance of the evidence for the logarithm of the factor."""

        self.weighted_sum = 0.0
        """The logarithm of the factor by the evidence alone, times the precision."""

        self.log_factor = 0.0
        """Expected logarithm of the factor, given the evidence and the site's other workers."""

        self.variance = 1.0

    def restore(self, stored: StoredSpeed) -> None:
        """Adds what an earlier owner has learned."""
        error = max(MIN_STANDARD_ERROR, stored.standard_error_permille / 1_000)
        self.add(error**-2, _bounded(stored.log_factor_permille / 1_000) * error**-2)
        self.samples += stored.samples

    def stored(self, worker: WorkerName) -> StoredSpeed:
        """Returns what to store for the next owner; there must be evidence."""
        return StoredSpeed(
            worker,
            self.incarnation,
            round(1_000 * self.weighted_sum / self.precision),
            round(1_000 * self.precision**-0.5),
            round(self.samples),
        )

    def add(self, precision: float, weighted_sum: float) -> None:
        """Adds evidence, or removes it if the precision is negative."""
        self.precision += precision
        self.weighted_sum += weighted_sum
        if self.precision < MIN_PRECISION:
            self.precision = self.weighted_sum = 0.0

    def forget_excess(self) -> None:
        """Bounds the weight of the evidence, so that later evidence can still change the result."""
        if self.precision > MAX_PRECISION:
            self.weighted_sum *= MAX_PRECISION / self.precision
            self.precision = MAX_PRECISION

    def update(self, usual: float, spread: float) -> bool:
        """Updates the factor; returns whether the speed class has changed.

        ``usual`` and ``spread`` are the site's median and standard deviation of the logarithms.
        """
        total = self.precision + spread**-2
        self.variance = 1 / total
        self.log_factor = _bounded((self.weighted_sum - self.precision * usual) / total)
        earlier = self.speed_class
        size = abs(self.log_factor)
        if (
            self.precision
            and size >= math.log(MIN_NOTICEABLE_RATIO)
            and size >= MIN_SIGNIFICANCE * math.sqrt(self.variance)
        ):
            self.duration_factor = math.exp(self.log_factor)
            self.speed_class = _class_of(self.log_factor)
            self.end_class = _class_of(usual + self.log_factor)
        else:
            self.duration_factor = 1.0
            self.speed_class = 0
            self.end_class = _class_of(usual)
        return self.speed_class != earlier


def _class_of(log_factor: float) -> int:
    return round(_bounded(log_factor) / math.log(SPEED_CLASS_RATIO))


def _bounded(log_factor: float) -> float:
    return max(-MAX_LOG_FACTOR, min(log_factor, MAX_LOG_FACTOR))
