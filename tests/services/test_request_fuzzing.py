"""Invariants of requests hold under random failures, and injected defects violate them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from result import Ok

from jujubehall.core.requests.claim_table import ClaimTable
from jujubehall.endpoints import client
from jujubehall.endpoints.messages import EndpointResponse
from jujubehall.errors import Failure
from jujubehall.services.claim_log import ClaimLog
from jujubehall.services.shard_takeover import ShardTakeover
from tests.services.request_fuzzer import RequestFuzzer
from tests.services.request_fuzzer import Violation

if TYPE_CHECKING:
    from collections.abc import Callable

STEPS = 150
SEEDS = range(6)
MAX_SEEDS_TO_DETECT = 20


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_random_failures(seed: int) -> None:
    fuzzer = RequestFuzzer(seed)
    fuzzer.run(STEPS)
    outcomes = [answer.outcome for answers in fuzzer.answers.values() for answer in answers]
    assert len(set(outcomes)) == 3


def test_runs_are_determined_by_their_seed() -> None:
    def answers() -> str:
        fuzzer = RequestFuzzer(2)
        fuzzer.run(STEPS)
        return repr(fuzzer.answers)

    first = answers()
    RequestFuzzer(3).run(STEPS)
    assert answers() == first


def skip_claim(monkeypatch: pytest.MonkeyPatch) -> None:
    async def claim(self: ClaimLog, request: str) -> Any:
        return Ok(None)

    monkeypatch.setattr(ClaimLog, "claim", claim)


def skip_fence(monkeypatch: pytest.MonkeyPatch) -> None:
    async def fence(self: ShardTakeover, epoch: int) -> bool:
        return True

    monkeypatch.setattr(ShardTakeover, "_fence_others", fence)


def skip_inheritance(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClaimTable, "add_recorded_claims", lambda self, claims, now_ms: None)


def skip_recovered_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ClaimLog, "recovered_claims", frozenset())


def retry_after_lost_response(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Failure, "may_have_taken_effect", False)


def skip_response_validation(monkeypatch: pytest.MonkeyPatch) -> None:
    classify = client.classify_response

    def classify_without_validation(response: Any, work: Any, name: str) -> Any:
        if response.status != 200 or response.body == b"{}":
            return classify(response, work, name)
        try:
            return Ok(response.decode(EndpointResponse).result)
        except Exception:
            return classify(response, work, name)

    monkeypatch.setattr(client, "classify_response", classify_without_validation)


def discard_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    finish = ClaimTable.finish

    def finish_and_discard(self: ClaimTable, answer: Any, now_ms: int) -> None:
        finish(self, answer, now_ms)
        self._claims.pop(answer.id, None)

    monkeypatch.setattr(ClaimTable, "finish", finish_and_discard)


@pytest.mark.parametrize(
    "inject_defect",
    [
        skip_claim,
        skip_fence,
        skip_inheritance,
        skip_recovered_claims,
        retry_after_lost_response,
        skip_response_validation,
        discard_answers,
    ],
)
def test_injected_defects_are_detected(
    monkeypatch: pytest.MonkeyPatch, inject_defect: Callable[[pytest.MonkeyPatch], None]
) -> None:
    inject_defect(monkeypatch)
    with pytest.raises(Violation):
        for seed in range(MAX_SEEDS_TO_DETECT):
            RequestFuzzer(seed).run(STEPS)
