"""Executes the steps of a run, drawn from a seed or read from a trace, and checks invariants."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import msgspec

from jujubehall.testing.randomised import configuration_actions
from jujubehall.testing.randomised import configuration_invariants
from jujubehall.testing.randomised import failures
from jujubehall.testing.randomised import gang_invariants
from jujubehall.testing.randomised import job_actions
from jujubehall.testing.randomised import request_actions
from jujubehall.testing.randomised import request_invariants
from jujubehall.testing.randomised.registry import ACTIONS
from jujubehall.testing.randomised.registry import INVARIANT_CHECKS
from jujubehall.testing.randomised.simulation import Simulation
from jujubehall.testing.randomised.step import Step
from jujubehall.testing.randomised.violation import Violation

if TYPE_CHECKING:
    from collections.abc import Iterable

# Importing these modules registers their actions and invariant checks.
_REGISTERING_MODULES = (
    configuration_actions,
    configuration_invariants,
    failures,
    gang_invariants,
    job_actions,
    request_actions,
    request_invariants,
)
NO_UNHANDLED_ERRORS = "no service raises an unhandled error"


class Trace(msgspec.Struct, frozen=True):
    """A reproducible run: the seed of the simulated site and the steps."""

    seed: int
    steps: tuple[Step, ...]


class RunResult(msgspec.Struct, frozen=True):
    """The result of a run; ``violation`` is empty if all invariants held.

    ``action_counts`` has the number of executed steps by action name.
    """

    trace: Trace
    action_counts: dict[str, int]
    violation: str = ""


def run_seed(seed: int, steps: int) -> RunResult:
    """Executes ``steps`` steps drawn from ``seed``, or fewer if an invariant is violated."""
    simulation = Simulation(seed)
    random = Random(seed)
    drawn: list[Step] = []

    def draw_steps() -> Iterable[Step]:
        while len(drawn) < steps:
            step = _plan_step(simulation, random)
            if step is not None:
                drawn.append(step)
                yield step

    violation = _run(simulation, draw_steps())
    return RunResult(Trace(seed, tuple(drawn)), dict(simulation.action_counts), violation)


def replay(trace: Trace) -> RunResult:
    """Executes the steps of a trace on a new simulation with the same seed."""
    simulation = Simulation(trace.seed)
    violation = _run(simulation, trace.steps)
    return RunResult(trace, dict(simulation.action_counts), violation)


def _plan_step(simulation: Simulation, random: Random) -> Step | None:
    names = sorted(ACTIONS)
    weights = [ACTIONS[name].weight for name in names]
    chosen = random.choices(names, weights)[0]
    return ACTIONS[chosen].plan(simulation, random)


def _run(simulation: Simulation, steps: Iterable[Step]) -> str:
    try:
        for step in steps:
            simulation.action_counts[step.action] += 1
            ACTIONS[step.action].perform(simulation, step)
            simulation.site.run_for(step.pause_ms)
            _check_invariants(simulation, at_end=False)
        simulation.recover()
        _check_invariants(simulation, at_end=False)
        _check_invariants(simulation, at_end=True)
    except AssertionError as error:
        return f"{type(error).__name__}: {error}"
    finally:
        simulation.unhandled_errors.close()
    return ""


def _check_invariants(simulation: Simulation, *, at_end: bool) -> None:
    for registered in INVARIANT_CHECKS:
        if registered.at_end == at_end:
            registered.check(simulation)
    if at_end:
        simulation.unhandled_errors.collect_pending()
    if simulation.unhandled_errors.errors:
        raise Violation(NO_UNHANDLED_ERRORS, simulation.unhandled_errors.errors[0])
