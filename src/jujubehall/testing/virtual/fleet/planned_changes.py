"""Randomised tests of a simulated site that is only changed on purpose: no run may end alone.

``python -m jujubehall.testing.virtual.fleet.planned_changes --seeds 50`` runs seeds 0 to 49 and
prints the invariant violations of each.
"""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.fleet.requests import StepRequest
from jujubehall.core.fleet.resources import Resources
from jujubehall.services.async_utils import run_in_background
from jujubehall.testing.virtual.fleet.fault_simulation import FaultSimulation
from jujubehall.testing.virtual.fleet.fault_simulation import run_seeds

if TYPE_CHECKING:
    from collections.abc import Callable

STOP_S = 1.0
"""Time between the planned stop of an entry host and the end of its process."""

MAX_AWAIT_S = 2.0
COMMANDS_PER_S = (25.0, 50.0, 100.0)
"""What small hosts can send. An entry host that has been restarted has no limit."""

_changes: list[Callable[[FaultSimulation], None]] = []


def change(action: Callable[[FaultSimulation], None]) -> Callable[[FaultSimulation], None]:
    """Registers the decorated function as a change that runs may make."""
    _changes.append(action)
    return action


class PlannedChangeSimulation(FaultSimulation):
    """One run with planned changes and larger gangs; all choices derive from ``seed``."""

    injected = _changes

    def make_request(self) -> JobRequest:
        """Returns a random gang of up to 20 tasks, the first step of two for some jobs."""
        step = StepRequest(
            self.random.randint(2, 20),
            Resources(1_000, 1_000, self.random.choice([1, 2])),
            self.random.randint(200, 3_000),
            is_gang=True,
            prefers_one_rack=self.random.random() < 0.5,
            saves_checkpoints=self.random.random() < 0.5,
        )
        next_step = StepRequest(4, Resources(1_000, 1_000, 1), 300, after=(0,), is_gang=True)
        return JobRequest("spec", (step, next_step) if self.random.random() < 0.3 else (step,))

    def end_faults(self) -> None:
        """Ends all limits on commands."""
        super().end_faults()
        for host in self.site.hosts:
            host.workers.commands_per_s = None

    def find_violations(self) -> list[str]:
        """Returns the violations of invariants so far, among them the runs that ended alone."""
        return super().find_violations() + [
            f"{each} ended alone" for each in self.site.run_recorder.lone_ends
        ]


@change
def hand_over(simulation: FaultSimulation) -> None:
    """Lets the owner give up the ownership, if possible while a gang is being started."""
    _await_incomplete_gang(simulation)
    if simulation.site.owner is not None:
        run_in_background(simulation.site.owner.site_host.ownership.give_up("injected"))


@change
def stop_owner(simulation: FaultSimulation) -> None:
    """Stops the owner as planned, if possible while a gang is being started; starts it again."""
    _await_incomplete_gang(simulation)
    owner = simulation.site.owner
    if owner is not None:
        run_in_background(owner.site_host.stop())
        simulation.site.run(STOP_S)
        simulation.site.kill(owner)
        simulation.site.restart(owner)


@change
def limit_commands(simulation: FaultSimulation) -> None:
    """Sets how many commands a second each entry host can send."""
    for host in simulation.site.hosts:
        host.workers.commands_per_s = simulation.random.choice(COMMANDS_PER_S)


def _await_incomplete_gang(simulation: FaultSimulation) -> None:
    recorder = simulation.site.run_recorder
    simulation.site.run_until(lambda: recorder.has_incomplete_gang, MAX_AWAIT_S)


if __name__ == "__main__":
    sys.exit(run_seeds(PlannedChangeSimulation))
