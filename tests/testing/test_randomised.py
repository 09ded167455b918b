"""A short fixed set of randomised runs, and proofs that they would notice a broken program."""

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
BROKEN_STEPS = 40
BROKEN_SEEDS = range(12)


@pytest.mark.parametrize("seeds", SEED_GROUPS)
def test_promises_hold(seeds: range) -> None:
    counts: Counter[str] = Counter()
    for seed in seeds:
        result = run_seed(seed, STEPS)
        assert not result.violation, f"seed {seed}: {result.violation}"
        counts.update(result.counts)
    assert set(counts) == set(ACTIONS), "the fixed seeds no longer take every action"


def test_a_replayed_trace_is_the_same_run() -> None:
    first = run_seed(1, 60)
    kept = msgspec.json.encode(first.trace)
    again = replay(msgspec.json.decode(kept, type=Trace))
    assert (again.violation, again.counts) == (first.violation, first.counts)


def blind_writes(patch: pytest.MonkeyPatch) -> None:
    """The platform's writes are made without compare-and-swap."""
    original = KeyValueStore.put

    def put(self: Any, key: str, value: Any, expected_version: int, lease: str = "") -> Any:
        return original(self, key, value, self._version(key), lease)

    patch.setattr(KeyValueStore, "put", put)


def no_claims(patch: pytest.MonkeyPatch) -> None:
    """Requests are sent without a claim."""

    async def claim(self: Any, request: Any) -> Any:
        return Ok(None)

    patch.setattr(ClaimLog, "claim", claim)


@pytest.mark.parametrize("break_it", [blind_writes, no_claims])
def test_a_broken_program_is_noticed(break_it: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    break_it(monkeypatch)
    assert any(run_seed(seed, BROKEN_STEPS).violation for seed in BROKEN_SEEDS)
