"""Random jobs under random faults on a virtual site; all promises hold afterwards."""

from __future__ import annotations

import pytest

from jujubehall.testing.virtual.fleet.storm import Storm

SEEDS_THAT_FAILED = {
    1: "ends of a new life of a worker were confirmed with a number of its earlier life",
    18: "the same",
    26: "an end from before a lapse ended the run that had followed",
    46: "as seed 1",
    59: "as seed 26",
    82: "as seed 1, while an end waited to be kept",
    90: "an unanswered start arrived at the next life of its worker",
}


@pytest.mark.parametrize("seed", [*range(1_000, 1_004), *SEEDS_THAT_FAILED])
def test_no_promise_is_broken(seed: int) -> None:
    assert Storm(seed).run() == []
