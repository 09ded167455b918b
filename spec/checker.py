"""Bounded model checking by z3's finite-domain solver, and the following of a concrete run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import z3

from spec.model import equal

if TYPE_CHECKING:
    from spec.model import Action
    from spec.model import Expression
    from spec.model import Model
    from spec.model import State

RANDOM_SEED = 1
ACTION_BITS = 8


def find_violation(model: Model, max_steps: int) -> list[str] | None:
    """The actions of a shortest violating run of at most ``max_steps`` steps, if there is one.

    None means that the property holds in every state that ``max_steps`` steps can reach.
    """
    solver = z3.SolverFor("QF_FD")
    solver.set("random_seed", RANDOM_SEED)
    states = [model.state("0")]
    solver.add(equal(states[0], model.initial_state()))
    choices: list[Expression] = []
    for step in range(max_steps + 1):
        solver.push()
        solver.add(z3.Not(model.safe(states[-1])))
        if solver.check() == z3.sat:
            found = solver.model()
            return [model.actions[found.eval(c).as_long()].name for c in choices]
        solver.pop()
        choice = z3.BitVec(f"action@{step}", ACTION_BITS)
        states.append(model.state(str(step + 1)))
        solver.add(_step(model, choice, states[-2], states[-1]))
        choices.append(choice)
    return None


def _step(model: Model, choice: Expression, before: State, after: State) -> Expression:
    return z3.Or(
        *(
            z3.And(choice == number, _taken(model, action, before, after))
            for number, action in enumerate(model.actions)
        )
    )


def first_refused(
    model: Model, observed: list[str], unobserved: set[str], max_unobserved: int
) -> int | None:
    """The index of the first observed action that the model doesn't allow, or None.

    Only some actions can be observed in a run of the code. Between two of them, at most
    ``max_unobserved`` unobserved ones may be taken; the solver chooses them.
    """
    actions = {action.name: action for action in model.actions}
    hidden = [action for action in model.actions if action.name in unobserved]
    solver = z3.SolverFor("QF_FD")
    state = model.state("0")
    solver.add(equal(state, model.initial_state()))
    for index, name in enumerate(observed):
        for step in range(max_unobserved):
            after = model.state(f"{index}.{step}")
            taken = [_taken(model, action, state, after) for action in hidden]
            solver.add(z3.Or(equal(after, state), *taken))
            state = after
        after = model.state(f"{index}.observed")
        solver.add(_taken(model, actions[name], state, after))
        state = after
        if solver.check() != z3.sat:
            return index
    return None


def _taken(model: Model, action: Action, before: State, after: State) -> Expression:
    return z3.And(action.guard(before), equal(model.successor(action, before), after))
