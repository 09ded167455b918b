"""What callers get from the speeds of the workers being learned, over whole days."""

from __future__ import annotations

import statistics

from typing import TYPE_CHECKING

import pytest

from benchmarks.site_load.figures import day_figures
from benchmarks.site_load.replay import Replay
from benchmarks.site_load.shapes import LARGE_SITES
from benchmarks.site_load.shapes import draw_jobs
from jujubehall.core.fleet.speed_learning import SpeedLearning
from jujubehall.core.fleet.state import FleetState

if TYPE_CHECKING:
    from benchmarks.site_load.replay import DayOutcome

SITE = LARGE_SITES["lianhe"]._replace(workers=48)
URGENT = "applicant-score"
SEEDS = (1, 2, 3)
ONE_THIRD_SLOW = (1.0, 1.0, 1.3)
CREDIT_SHARE_NOISE = 0.02
"""The confidence interval of a paired difference of the credit share over three seeds."""


def replay_day(seed: int, slowdowns: tuple[float, ...]) -> DayOutcome:
    site = SITE._replace(slowdowns=slowdowns)
    jobs = draw_jobs(site, 1.0, seed)
    return Replay(site, jobs, FleetState.run_scheduling_round, seed).replay_day()


def learn_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SpeedLearning, "update", lambda *_: None)


def mean_figure(name: str, slowdowns: tuple[float, ...]) -> float:
    return statistics.fmean(day_figures(replay_day(seed, slowdowns))[name] for seed in SEEDS)


def test_fewer_urgent_gangs_are_late_on_uneven_workers(monkeypatch: pytest.MonkeyPatch) -> None:
    """At least a third of the urgent jobs that were late must be in time."""
    late = mean_figure(f"{URGENT} late", SITE.slowdowns)
    learn_nothing(monkeypatch)
    assert late < 2 / 3 * mean_figure(f"{URGENT} late", SITE.slowdowns)


@pytest.mark.parametrize("seed", SEEDS)
def test_days_on_like_workers_are_the_same_as_without_learning(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No decision may change, so that each job must end at the same time."""
    with_learning = replay_day(seed, (1.0,))
    learn_nothing(monkeypatch)
    without_learning = replay_day(seed, (1.0,))
    assert with_learning.jobs == without_learning.jobs
    assert with_learning.lost_core_s == without_learning.lost_core_s


def test_days_on_which_a_third_of_the_workers_is_slower_do_not_get_worse(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with_learning = mean_figure("credit share", ONE_THIRD_SLOW)
    learn_nothing(monkeypatch)
    without_learning = mean_figure("credit share", ONE_THIRD_SLOW)
    assert with_learning >= without_learning - CREDIT_SHARE_NOISE
