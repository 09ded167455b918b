"""Randomised tests: a site full of services, urgent jobs within guarantees, and random faults.

Checks beside the usual invariants that services keep their limits of unavailable tasks, that steps
keep their limits of tasks per worker, and that a guaranteed job begins in time once all is calm.

``python -m jujubehall.testing.virtual.fleet.service_guarantees --seeds 50`` runs seeds 0 to 49.
"""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING
from typing import ClassVar

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.admission import Outcome
from jujubehall.testing.virtual.fleet import fault_simulation
from jujubehall.testing.virtual.fleet.fault_simulation import FaultSimulation
from jujubehall.testing.virtual.fleet.fault_simulation import run_seeds

if TYPE_CHECKING:
    from collections.abc import Callable

RECLAIM_MS = 2_900
"""Time after its acceptance in which a guaranteed job must have begun."""

GUARANTEED_JOB = JobId("f" * 16)
LAST_SERVICE = JobId("e" * 16)
FILLING_SERVICE = StepRequest(
    8, Resources(1_000, 1_000, 8), runs_until_cancelled=True, max_unavailable=1
)
"""More than what the site has; most of it can't be stopped in time."""

GUARANTEED = StepRequest(2, Resources(1_000, 1_000, 8), 1_000)
"""A step of the 16 accelerators that the team of the simulation is guaranteed."""


class ServiceGuaranteeSimulation(FaultSimulation):
    """One run with services among the jobs; all choices derive from ``seed``."""

    # Commands that take effect late are left out: a stop may then come at any time.
    injected: ClassVar[list[Callable[[FaultSimulation], None]]] = [
        fault_simulation.kill_host,
        fault_simulation.kill_owner,
        fault_simulation.kill_all_hosts,
        fault_simulation.suspend_owner,
        fault_simulation.stop_store,
        fault_simulation.compact_store_history,
        fault_simulation.disconnect_worker,
        fault_simulation.crash_worker,
    ]

    def make_request(self) -> JobRequest:
        """Returns a service, a job that fills the site, or a step with a limit per worker."""
        needs = Resources(1_000, 1_000, self.random.choice([1, 2, 4, 8]))
        tasks = self.random.randint(1, 4)
        limit = self.random.choice([0, 1, 2])
        kind = self.random.random()
        if kind < 0.2:
            duration_ms = self.random.randint(4_000, 12_000)
            step = StepRequest(6, Resources(1_000, 1_000, 8), duration_ms)
        elif kind < 0.5:
            may_miss = self.random.choice([0, 1, 1, 2])
            step = StepRequest(
                tasks,
                needs,
                tasks_per_worker=limit,
                runs_until_cancelled=True,
                max_unavailable=may_miss,
            )
        else:
            is_gang = self.random.random() < 0.3
            step = StepRequest(
                tasks,
                needs,
                self.random.randint(200, 4_000),
                is_gang=is_gang,
                tasks_per_worker=limit,
            )
        return JobRequest("spec", (step,))

    def is_allowed_end(self, job: JobId, state: str) -> bool:
        """Returns whether a job may have the state; others may wait beside services."""
        return super().is_allowed_end(job, state) or state in ("queued", "running")

    def find_violations(self) -> list[str]:
        """Returns the violations so far, after a guaranteed job has been submitted."""
        # All of the guarantee must be left, and half of the time the last service has the site for
        # itself.
        cancels_all = self.random.random() < 0.5
        cancelled = {
            job: queue for job, queue in self.accepted.items() if cancels_all or queue == "urgent"
        }
        for job, queue in sorted(cancelled.items()):
            self.site.cancel(job, queue)
        self.cancelled.update(cancelled)
        self.site.run(2.0)
        self.site.submit(LAST_SERVICE, JobRequest("spec", (FILLING_SERVICE,)), "normal")
        self.site.run(10.0)
        response = self.site.submit(GUARANTEED_JOB, JobRequest("spec", (GUARANTEED,)), "urgent")
        accepted_ms = round(self.site.time.seconds() * 1_000)
        self.site.run(RECLAIM_MS / 1_000)
        violations = super().find_violations()
        begun = {
            task
            for start_ms, task in self.site.run_recorder.starts
            if task.job == GUARANTEED_JOB and start_ms <= accepted_ms + RECLAIM_MS
        }
        if response.outcome is Outcome.ACCEPTED and len(begun) < GUARANTEED.tasks:
            violations.append(f"{GUARANTEED_JOB} has begun {len(begun)} tasks in time")
        return violations


if __name__ == "__main__":
    sys.exit(run_seeds(ServiceGuaranteeSimulation))
