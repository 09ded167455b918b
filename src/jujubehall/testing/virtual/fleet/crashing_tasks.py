"""Randomised tests of a simulated site on which some jobs crash the workers that start them.

``python -m jujubehall.testing.virtual.fleet.crashing_tasks --seeds 50`` runs seeds 0 to 49 and
prints the invariant violations of each.
"""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING
from typing import ClassVar

from jujubehall.testing.virtual.fleet.fault_simulation import FaultSimulation
from jujubehall.testing.virtual.fleet.fault_simulation import crash_worker
from jujubehall.testing.virtual.fleet.fault_simulation import disconnect_worker
from jujubehall.testing.virtual.fleet.fault_simulation import kill_host
from jujubehall.testing.virtual.fleet.fault_simulation import kill_owner
from jujubehall.testing.virtual.fleet.fault_simulation import lose_store_responses
from jujubehall.testing.virtual.fleet.fault_simulation import run_seeds
from jujubehall.testing.virtual.fleet.fault_simulation import suspend_owner

if TYPE_CHECKING:
    from collections.abc import Callable

    from jujubehall.identifiers import JobId

CRASHING_SHARE = 0.15


class CrashingTaskSimulation(FaultSimulation):
    """One run with crashing jobs beside other faults; all choices derive from ``seed``."""

    injected: ClassVar[list[Callable[[FaultSimulation], None]]] = [
        kill_host,
        kill_owner,
        suspend_owner,
        lose_store_responses,
        disconnect_worker,
        crash_worker,
    ]

    def note_submission(self, job: JobId) -> None:
        """Makes some jobs crash their workers."""
        if self.random.random() < CRASHING_SHARE:
            self.site.run_recorder.crashing_jobs.add(job)

    def is_allowed_end(self, job: JobId, state: str) -> bool:
        """Returns whether a job may have ended so; only crashing jobs may be given up."""
        if job in self.site.run_recorder.crashing_jobs:
            return state in ("failed", "cancelled")
        return super().is_allowed_end(job, state)


if __name__ == "__main__":
    sys.exit(run_seeds(CrashingTaskSimulation))
