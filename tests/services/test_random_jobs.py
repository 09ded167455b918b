"""Seeded random runs of jobs under failures, with the invariants checked at the workers."""

from __future__ import annotations

import pytest

from tests.services.random_jobs import RandomJobs


@pytest.mark.parametrize("seed", range(4))
def test_the_promises_hold_under_random_failures(seed: int) -> None:
    RandomJobs(seed).run()
