"""A running job as one round of decisions sees it."""

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
"""The time of all its accelerators that a stop and a later restart cost a job."""

URGENT_COST_FACTOR = 4
"""Stopping an urgent job counts as much as losing so many times its work."""


class RunningJob(msgspec.Struct):
    """A running job with the parts that each worker holds and what its preemption costs.

    ``preemption_cost`` is in accelerator-milliseconds, ``at_once_cost`` the same without a
    checkpoint; a CPU-only job counts as one accelerator.
    """

    record: JobRecord
    started_at_ms: int
    ends_at_ms: int
    parts_on: dict[WorkerName, int]
    preemption_cost: int
    at_once_cost: int = 0
    guaranteed: bool = False

    @property
    def spec(self) -> JobSpec:
        """What the job asked for."""
        return self.record.spec

    @property
    def preemptible(self) -> bool:
        """Whether it is borrowed work that runs, rather than starting or stopping."""
        return not self.guaranteed and self.record.state is JobState.RUNNING


def make_running_job(view: JobView, now_ms: int, ends_at_ms: int) -> RunningJob:
    """Reads a running job from the view."""
    at_once_ms = view.lost_at_once_ms
    if at_once_ms is None:
        at_once_ms = max(0, now_ms - view.started_at_ms)
    spec = view.record.spec
    accelerators = max(1, spec.parts * spec.accelerators_per_part)
    factor = accelerators * (URGENT_COST_FACTOR if spec.urgent else 1)
    cost = (view.lost_on_stop_ms + RESTART_COST_MS) * factor
    at_once_cost = (at_once_ms + RESTART_COST_MS) * factor
    parts_on = dict(Counter(part.worker for part in view.record.placement))
    return RunningJob(view.record, view.started_at_ms, ends_at_ms, parts_on, cost, at_once_cost)
