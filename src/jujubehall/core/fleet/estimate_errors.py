"""How far the callers' estimates of one queue, and the tasks of one step, differ from the work."""

from __future__ import annotations

INITIAL_VARIANCE = 0.3**2
"""Assumed variance of the logarithm of an estimate's error, before anything is known."""

INITIAL_TASK_VARIANCE = 0.1**2
"""Assumed variance of the logarithm of the work of the tasks of one step."""

INITIAL_WEIGHT = 4.0
"""Number of steps that the initial variances count for."""

INITIAL_BIAS_VARIANCE = 0.1**2
MAX_WEIGHT = 40.0
"""Bounds the weight of the past, so that a change of what callers submit is learned."""

MIN_VARIANCE = 0.05**2
MAX_ERROR = 1.1
"""A step whose work differs from the estimate by more, a factor of three, is an exception."""


class EstimateErrors:
    """Bias and variance of the logarithm of the work relative to its estimate."""

    def __init__(self) -> None:
        self.bias = 0.0
        self._bias_variance = INITIAL_BIAS_VARIANCE
        self._variance = INITIAL_VARIANCE
        self._weight = INITIAL_WEIGHT
        self._task_variance = INITIAL_TASK_VARIANCE
        self._task_weight = INITIAL_WEIGHT

    @property
    def variance(self) -> float:
        """The variance of a new estimate's error, with what isn't known of the bias."""
        return self._variance + self._bias_variance

    @property
    def task_variance(self) -> float:
        """The variance of the logarithm of the work among the tasks of one step."""
        return self._task_variance

    def record_work(self, error: float, variance: float) -> None:
        """Records the logarithm of a step's work relative to its estimate, with its variance."""
        deviation = error - self.bias
        if abs(deviation) > MAX_ERROR:
            return
        gain = self._bias_variance / (self._bias_variance + self._variance + variance)
        self.bias += gain * deviation
        self._bias_variance = max(self._bias_variance * (1 - gain), self._variance / MAX_WEIGHT)
        squared = max(0.0, deviation * deviation - variance)
        self._weight = min(self._weight + 1, MAX_WEIGHT)
        self._variance += (squared - self._variance) / self._weight
        self._variance = max(MIN_VARIANCE, self._variance)

    def record_tasks(self, deviations: list[float]) -> None:
        """Records by how much the tasks of one step differ from their common work."""
        limit = 9 * INITIAL_TASK_VARIANCE
        squared = sum(min(each * each, limit) for each in deviations) / (len(deviations) - 1)
        self._task_weight = min(self._task_weight + 1, MAX_WEIGHT)
        self._task_variance += (squared - self._task_variance) / self._task_weight
        self._task_variance = max(MIN_VARIANCE, self._task_variance)
