"""Randomised runs with fixed seeds, and checks that they detect deliberately introduced faults."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
import pytest

from result import Ok

from jujubehall.services.claim_log import ClaimLog
from jujubehall.testing.key_value_store import KeyValueStore
from jujubehall.testing.randomised.registry import ACTIONS
from jujubehall.testing.randomised.run import Trace
from jujubehall.testing.randomised.run import replay
from jujubehall.testing.randomised.run import run_seed

SEED_GROUPS = (range(3), range(3, 6))
STEPS = 100
FAULT_DETECTION_STEPS = 40
FAULT_DETECTION_SEEDS = range(12)


@pytest.mark.parametrize("seeds", SEED_GROUPS)
def test_invariants_hold(seeds: range) -> None:
    action_counts: Counter[str] = Counter()
    for seed in seeds:
        result = run_seed(seed, STEPS)
        assert not result.violation, f"seed {seed}: {result.violation}"
        action_counts.update(result.action_counts)
    assert set(action_counts) == set(ACTIONS), "some actions were not executed with the fixed seeds"


def test_replaying_a_trace_reproduces_the_run() -> None:
    original = run_seed(1, 60)
    encoded = msgspec.json.encode(original.trace)
    replayed = replay(msgspec.json.decode(encoded, type=Trace))
    assert (replayed.violation, replayed.action_counts) == (
        original.violation,
        original.action_counts,
    )


def disable_compare_and_swap(patch: pytest.MonkeyPatch) -> None:
    """Makes every write to the platform's store succeed, without compare-and-swap."""
    original_put = KeyValueStore.put

    def put(self: Any, key: str, value: Any, expected_version: int, lease: str = "") -> Any:
        return original_put(self, key, value, self._version(key), lease)

    patch.setattr(KeyValueStore, "put", put)


def disable_claims(patch: pytest.MonkeyPatch) -> None:
    """Makes every claim succeed without recording it, so that requests are sent unclaimed."""

    async def claim(self: Any, request: Any) -> Any:
        return Ok(None)

    patch.setattr(ClaimLog, "claim", claim)


@pytest.mark.parametrize("introduce_fault", [disable_compare_and_swap, disable_claims])
def test_introduced_faults_are_detected(
    introduce_fault: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    introduce_fault(monkeypatch)
    assert any(run_seed(seed, FAULT_DETECTION_STEPS).violation for seed in FAULT_DETECTION_SEEDS)
