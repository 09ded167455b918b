"""Transition systems over z3 expressions: variables, an initial state, actions, an invariant."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import z3

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

NUMBER_BITS = 4
"""Width of numbers, which are signed bit vectors (-8 to 7), so that models are finite."""

Expression = Any
"""A z3 expression; z3 has no type annotations."""


class State:
    """The values of a model's variables in one state, by name."""

    def __init__(self, values: Mapping[str, Expression]) -> None:
        self._values = dict(values)

    @property
    def values(self) -> dict[str, Expression]:
        """The value of every variable."""
        return dict(self._values)

    def __getitem__(self, name: str) -> Expression:
        return self._values[name]


class Action:
    """A step that is enabled where ``guard`` holds; variables not in ``updates`` don't change."""

    def __init__(
        self,
        name: str,
        guard: Callable[[State], Expression],
        updates: Callable[[State], dict[str, Expression]],
    ) -> None:
        self.name = name
        self.guard = guard
        self.updates = updates


class Model:
    """A protocol and the invariant that must hold in each of its reachable states."""

    def __init__(
        self,
        name: str,
        initial: Mapping[str, bool | int],
        actions: list[Action],
        invariant: Callable[[State], Expression],
    ) -> None:
        self.name = name
        self.initial = dict(initial)
        self.actions = actions
        self.invariant = invariant

    def state(self, suffix: str) -> State:
        """Makes a state of z3 constants whose names end in ``suffix``."""
        return State({name: self._constant(name, suffix) for name in self.initial})

    def initial_state(self) -> State:
        """Returns the state in which every run begins."""
        return State({name: literal(value) for name, value in self.initial.items()})

    def successor(self, action: Action, state: State) -> State:
        """Returns the state after ``action``."""
        return State({**state.values, **action.updates(state)})

    def _constant(self, name: str, suffix: str) -> Expression:
        if isinstance(self.initial[name], bool):
            return z3.Bool(f"{name}@{suffix}")
        return z3.BitVec(f"{name}@{suffix}", NUMBER_BITS)


def literal(value: bool | int) -> Expression:
    """Returns the z3 literal of a Python value."""
    return z3.BoolVal(value) if isinstance(value, bool) else z3.BitVecVal(value, NUMBER_BITS)


def equal(one: State, other: State) -> Expression:
    """Returns the expression that two states agree in every variable."""
    return z3.And(*(value == other[name] for name, value in one.values.items()))
