"""Registries of the actions and the invariants of randomised runs, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from jujubehall.testing.randomised.step import Step

if TYPE_CHECKING:
    from random import Random

    from jujubehall.testing.randomised.world import World

Plan = Callable[["World", "Random"], Step | None]
Perform = Callable[["World", Step], None]
Check = Callable[["World"], None]


class Action(msgspec.Struct, frozen=True):
    """Something that callers, operators or fate may do.

    ``plan`` draws the details, or returns None if the action makes no sense now; ``perform``
    carries a planned step out, without any randomness of its own.
    """

    name: str
    weight: int
    is_failure: bool
    plan: Plan
    perform: Perform


class Invariant(msgspec.Struct, frozen=True):
    """A promise of the brief, and its check, which raises ``Violation``.

    ``at_end`` checks run once everything has healed and settled; the others after each step.
    """

    promise: str
    at_end: bool
    check: Check


ACTIONS: dict[str, Action] = {}
INVARIANTS: list[Invariant] = []


def action(name: str, weight: int, plan: Plan, *, failure: bool = False) -> Callable[..., Perform]:
    """Registers the decorated function as the performance of an action."""

    def decorate(perform: Perform) -> Perform:
        ACTIONS[name] = Action(name, weight, failure, plan, perform)
        return perform

    return decorate


def invariant(promise: str, *, at_end: bool = False) -> Callable[[Check], Check]:
    """Registers the decorated check of a promise."""

    def decorate(check: Check) -> Check:
        INVARIANTS.append(Invariant(promise, at_end, check))
        return check

    return decorate
