"""Registries of the actions and invariant checks of randomised runs, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from jujubehall.testing.randomised.step import Step

if TYPE_CHECKING:
    from random import Random

    from jujubehall.testing.randomised.simulation import Simulation

Plan = Callable[["Simulation", "Random"], Step | None]
Perform = Callable[["Simulation", Step], None]
Check = Callable[["Simulation"], None]


class Action(msgspec.Struct, frozen=True):
    """An operation of a caller or an operator, or the injection of a failure.

    ``plan`` draws the arguments of a step at random, or returns None if the action isn't
    applicable in the current state. ``perform`` executes a planned step deterministically.
    """

    name: str
    weight: int
    is_failure: bool
    plan: Plan
    perform: Perform


class InvariantCheck(msgspec.Struct, frozen=True):
    """A requirement, stated in ``invariant``, and a check that raises ``Violation``.

    A check with ``at_end`` runs once, after all failures have ended and the site has recovered;
    the others run after each step.
    """

    invariant: str
    at_end: bool
    check: Check


ACTIONS: dict[str, Action] = {}
INVARIANT_CHECKS: list[InvariantCheck] = []


def action(name: str, weight: int, plan: Plan, *, failure: bool = False) -> Callable[..., Perform]:
    """Registers the decorated function as the ``perform`` function of an action.

    Actions are drawn with a probability proportional to their ``weight``.
    ``name`` is stored in traces, and the steps that a seed draws depend on the order of the names,
    so renaming an action changes the runs of existing seeds.
    """

    def decorate(perform: Perform) -> Perform:
        ACTIONS[name] = Action(name, weight, failure, plan, perform)
        return perform

    return decorate


def invariant_check(invariant: str, *, at_end: bool = False) -> Callable[[Check], Check]:
    """Registers the decorated function as a check of an invariant."""

    def decorate(check: Check) -> Check:
        INVARIANT_CHECKS.append(InvariantCheck(invariant, at_end, check))
        return check

    return decorate
