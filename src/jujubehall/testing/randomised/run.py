"""Runs steps, drawn from a seed or read from a trace, and checks every invariant."""

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
from jujubehall.testing.randomised.registry import INVARIANTS
from jujubehall.testing.randomised.step import Step
from jujubehall.testing.randomised.violation import Violation
from jujubehall.testing.randomised.world import World

if TYPE_CHECKING:
    from collections.abc import Iterable

# Importing them fills the registries.
_MODULES = (
    configuration_actions,
    configuration_invariants,
    failures,
    gang_invariants,
    job_actions,
    request_actions,
    request_invariants,
)
INSIDE = "invariants inside the program"


class Trace(msgspec.Struct, frozen=True):
    """A run as data: the seed of its site, and its steps."""

    seed: int
    steps: tuple[Step, ...]


class RunResult(msgspec.Struct, frozen=True):
    """How a run ended: how often each action was taken, and the violation if there was one."""

    trace: Trace
    counts: dict[str, int]
    violation: str = ""


def run_seed(seed: int, steps: int) -> RunResult:
    """Makes a run of ``steps`` steps from a seed."""
    world = World(seed)
    random = Random(seed)
    taken: list[Step] = []

    def draw() -> Iterable[Step]:
        while len(taken) < steps:
            step = _plan(world, random)
            if step is not None:
                taken.append(step)
                yield step

    violation = _run(world, draw())
    return RunResult(Trace(seed, tuple(taken)), dict(world.counts), violation)


def replay(trace: Trace) -> RunResult:
    """Makes the run of a trace again."""
    world = World(trace.seed)
    violation = _run(world, trace.steps)
    return RunResult(trace, dict(world.counts), violation)


def _plan(world: World, random: Random) -> Step | None:
    names = sorted(ACTIONS)
    weights = [ACTIONS[name].weight for name in names]
    chosen = random.choices(names, weights)[0]
    return ACTIONS[chosen].plan(world, random)


def _run(world: World, steps: Iterable[Step]) -> str:
    try:
        for step in steps:
            world.counts[step.action] += 1
            ACTIONS[step.action].perform(world, step)
            world.site.run_for(step.pause_ms)
            _check(world, at_end=False)
        world.heal()
        _check(world, at_end=False)
        _check(world, at_end=True)
    except AssertionError as error:
        return f"{type(error).__name__}: {error}"
    finally:
        world.escaped.close()
    return ""


def _check(world: World, *, at_end: bool) -> None:
    for each in INVARIANTS:
        if each.at_end == at_end:
            each.check(world)
    if at_end:
        world.escaped.collect()
    if world.escaped.errors:
        raise Violation(INSIDE, world.escaped.errors[0])
