"""Randomised tests: cancelled jobs stay cancelled under random faults, in any order of the calls."""

from __future__ import annotations

import pytest

from jujubehall.testing.virtual.fleet.cancellation_simulation import CancellationSimulation

FORMERLY_FAILED_SEEDS = (0, 3, 4, 5, 7, 8, 17, 18)
"""Seeds that started tasks of jobs which had been cancelled before their late submission."""


@pytest.mark.parametrize("seed", [*FORMERLY_FAILED_SEEDS, 1_000, 1_001])
def test_random_faults_start_no_cancelled_job(seed: int) -> None:
    assert CancellationSimulation(seed).run() == []
