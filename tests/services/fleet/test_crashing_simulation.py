"""Randomised tests: jobs that crash their workers are given up, all others succeed."""

from __future__ import annotations

import pytest

from jujubehall.core.fleet.crash_history import CrashHistory
from jujubehall.testing.virtual.fleet.crashing_tasks import CrashingTaskSimulation

SEED_WITH_CRASHES = 3
SEEDS_OF_GANGS_WITHOUT_WORKERS = (116, 3_001)
SEEDS_OF_INNOCENT_JOBS = (69, 424)
SEED_OF_A_TASK_STARTED_TOO_OFTEN = 80


@pytest.mark.parametrize(
    "seed",
    [
        3_000,
        3_002,
        *SEEDS_OF_GANGS_WITHOUT_WORKERS,
        *SEEDS_OF_INNOCENT_JOBS,
        SEED_OF_A_TASK_STARTED_TOO_OFTEN,
    ],
)
def test_only_jobs_that_crash_their_workers_are_given_up(seed: int) -> None:
    assert CrashingTaskSimulation(seed).run() == []


def test_owner_that_counts_no_crashes_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CrashHistory, "record", lambda _self, _crash: None)
    violations = CrashingTaskSimulation(SEED_WITH_CRASHES).run()
    assert any("after it has crashed" in each for each in violations)
