"""Policies that refuse jobs at submission, for comparison with the scheduler's own."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from jujubehall.clock import ManualClock
from jujubehall.core.fleet.job_demand import job_demand
from jujubehall.services.fleet.overload_monitor import OverloadMonitor

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.fleet.state import FleetState
    from jujubehall.identifiers import JobId


class Admission(Protocol):
    """Decides on the submissions of one replay."""

    def decide(self, fleet_state: FleetState, job: AcceptedJob, now_ms: int) -> int | None:
        """Returns None to admit the job, or the time in ms after which its caller may return."""


ADMISSIONS: dict[str, Callable[[], Admission]] = {}
"""The policies by the name under which they can be chosen."""

_AdmissionClass = TypeVar("_AdmissionClass", bound="type[Admission]")


def register(name: str) -> Callable[[_AdmissionClass], _AdmissionClass]:
    """Returns a decorator that makes a policy available under ``name``."""

    def add(policy: _AdmissionClass) -> _AdmissionClass:
        ADMISSIONS[name] = policy
        return policy

    return add


@register("backlog")
class BacklogAdmission:
    """The baseline: refuses all jobs while as much work waits as fits on the whole site."""

    RETRY_AFTER_MS = 1_000

    def decide(self, fleet_state: FleetState, job: AcceptedJob, now_ms: int) -> int | None:
        """Compares the accelerators that waiting groups need with those of the site."""
        waiting = sum(
            group.request.needs.accelerators * len(group.indexes)
            for group in fleet_state.waiting_groups(now_ms)
        )
        total = sum(worker.listed.capacity.accelerators for worker in fleet_state.workers.values())
        return self.RETRY_AFTER_MS if waiting >= total else None


@register("overload")
class OverloadAdmission:
    """The owner's own decision, as entry hosts ask for it."""

    def __init__(self) -> None:
        self._clock = ManualClock()
        self._monitor: OverloadMonitor | None = None
        self._admitted: set[JobId] = set()
        """Jobs that were admitted and may not be in the state of the site yet."""

    def decide(self, fleet_state: FleetState, job: AcceptedJob, now_ms: int) -> int | None:
        """Asks the monitor if the limits may affect the job."""
        self._clock.advance(now_ms - self._clock.now_ms)
        if self._monitor is None:
            self._monitor = OverloadMonitor(fleet_state, self._clock)
        for earlier in self._admitted & fleet_state.jobs.keys():
            self._monitor.note_accepted(fleet_state.jobs[earlier])
        self._admitted -= fleet_state.jobs.keys()
        self._monitor.update_if_due()
        queue = fleet_state.configuration.queue(job.queue)
        demand = job_demand(job.request)
        if queue is None or demand is None or not self._monitor.limits.may_refuse(queue, demand):
            self._admitted.add(job.id)
            return None
        retry_after_ms = self._monitor.decide(job.id, queue.name, job.team, demand)
        if retry_after_ms is None:
            self._admitted.add(job.id)
        return retry_after_ms
