"""Running jobs as represented within one scheduling round."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import WorkerName

if TYPE_CHECKING:
    from jujubehall.core.jobs.zone_view import JobView

RESTART_COST_MS = 60_000
"""Time lost on all accelerators of a job by stopping and later restarting it."""

URGENT_COST_FACTOR = 4
"""Factor by which the work lost by an urgent job counts more than that of other jobs."""


class RunningJob(msgspec.Struct):
    """A running job with its number of parts on each worker and the cost of preempting it.

    ``preemption_cost`` and ``cost_without_checkpoint`` are in accelerator-milliseconds, with a
    checkpoint before the stop and without one. A CPU-only job counts as one accelerator.
    """

    record: JobRecord
    started_at_ms: int
    ends_at_ms: int
    parts_by_worker: dict[WorkerName, int]
    preemption_cost: int
    cost_without_checkpoint: int = 0
    guaranteed: bool = False

    @property
    def spec(self) -> JobSpec:
        """The job's specification."""
        return self.record.spec

    @property
    def preemptible(self) -> bool:
        """Whether it is borrowed work in state RUNNING, neither starting nor stopping."""
        return not self.guaranteed and self.record.state is JobState.RUNNING


def make_running_job(view: JobView, now_ms: int, ends_at_ms: int) -> RunningJob:
    """Creates a running job from the view and its expected end."""
    lost_without_checkpoint_ms = view.lost_without_checkpoint_ms
    if lost_without_checkpoint_ms is None:
        lost_without_checkpoint_ms = max(0, now_ms - view.started_at_ms)
    spec = view.record.spec
    accelerators = max(1, spec.parts * spec.accelerators_per_part)
    factor = accelerators * (URGENT_COST_FACTOR if spec.urgent else 1)
    cost = (view.lost_with_checkpoint_ms + RESTART_COST_MS) * factor
    cost_without_checkpoint = (lost_without_checkpoint_ms + RESTART_COST_MS) * factor
    parts_by_worker = dict(Counter(part.worker for part in view.record.placement))
    return RunningJob(
        view.record, view.started_at_ms, ends_at_ms, parts_by_worker, cost, cost_without_checkpoint
    )
