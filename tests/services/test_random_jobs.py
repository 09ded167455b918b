"""Randomised tests of jobs under failures; the invariants are checked at the workers."""

from __future__ import annotations

import pytest

from tests.services.random_jobs import RandomJobs


@pytest.mark.parametrize("seed", range(4))
def test_invariants_hold_under_random_failures(seed: int) -> None:
    RandomJobs(seed).run()
