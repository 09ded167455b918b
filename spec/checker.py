"""Bounded model checking and trace checking with z3's finite-domain solver."""

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
    """Returns the actions of a shortest counterexample of at most ``max_steps`` steps.

    None means that the invariant holds in every state reachable within ``max_steps`` steps.
    """
    solver = z3.SolverFor("QF_FD")
    solver.set("random_seed", RANDOM_SEED)
    states = [model.state("0")]
    solver.add(equal(states[0], model.initial_state()))
    choices: list[Expression] = []
    for step in range(max_steps + 1):
        solver.push()
        solver.add(z3.Not(model.invariant(states[-1])))
        if solver.check() == z3.sat:
            counterexample = solver.model()
            return [model.actions[counterexample.eval(choice).as_long()].name for choice in choices]
        solver.pop()
        choice = z3.BitVec(f"action@{step}", ACTION_BITS)
        states.append(model.state(str(step + 1)))
        solver.add(_any_transition(model, choice, states[-2], states[-1]))
        choices.append(choice)
    return None


def _any_transition(model: Model, choice: Expression, before: State, after: State) -> Expression:
    return z3.Or(
        *(
            z3.And(choice == number, _transition(model, action, before, after))
            for number, action in enumerate(model.actions)
        )
    )


def find_disallowed_action(
    model: Model, observed: list[str], unobserved: set[str], max_unobserved: int
) -> int | None:
    """Returns the index of the first observed action that the model doesn't allow, or None.

    Only some actions of the model are observable in a trace of the code. Before each observed
    action, the solver may insert up to ``max_unobserved`` unobserved ones.
    """
    actions = {action.name: action for action in model.actions}
    unobserved_actions = [action for action in model.actions if action.name in unobserved]
    solver = z3.SolverFor("QF_FD")
    state = model.state("0")
    solver.add(equal(state, model.initial_state()))
    for index, name in enumerate(observed):
        for step in range(max_unobserved):
            after = model.state(f"{index}.{step}")
            transitions = [
                _transition(model, action, state, after) for action in unobserved_actions
            ]
            solver.add(z3.Or(equal(after, state), *transitions))
            state = after
        after = model.state(f"{index}.observed")
        solver.add(_transition(model, actions[name], state, after))
        state = after
        if solver.check() != z3.sat:
            return index
    return None


def _transition(model: Model, action: Action, before: State, after: State) -> Expression:
    return z3.And(action.guard(before), equal(model.successor(action, before), after))
