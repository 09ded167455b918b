"""Randomised tests: a virtual site keeps its guarantees for random jobs under random faults."""

from __future__ import annotations

import pytest

from jujubehall.testing.virtual.fleet.fault_simulation import FaultSimulation

REGRESSION_SEEDS = {
    1: "ends of a restarted worker were confirmed with a number of its earlier incarnation",
    18: "as seed 1",
    26: "an end from before the leases expired was applied to the run started after that",
    46: "as seed 1",
    59: "as seed 26",
    82: "as seed 1, while an end was waiting to be stored",
    90: "an unanswered start arrived at the next incarnation of its worker",
}
"""Seeds with which a guarantee was broken once, each with the fault that broke it."""


@pytest.mark.parametrize("seed", [*range(1_000, 1_004), *REGRESSION_SEEDS])
def test_random_faults_break_no_guarantee(seed: int) -> None:
    assert FaultSimulation(seed).run() == []
