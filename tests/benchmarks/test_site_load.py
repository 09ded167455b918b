"""Scheduling serves callers better than first come, first fit under heavy load."""

from __future__ import annotations

import statistics

import pytest

from benchmarks.site_load.baseline import decide_first_fit
from benchmarks.site_load.figures import day_figures
from benchmarks.site_load.replay import Replay
from benchmarks.site_load.shapes import SITES
from benchmarks.site_load.shapes import draw_jobs
from jujubehall.core.fleet import preemption
from jujubehall.core.fleet.state import FleetState

HEAVY_LOAD = 1.18
SEEDS = (1, 2, 3)
PATIENCE_SEEDS = tuple(range(1, 41))
CREDIT_SHARE_NOISE = 0.01
"""The confidence interval of a paired difference of the credit share over 40 seeds."""


def mean_figures(site: str, first_fit: bool, seeds: tuple[int, ...] = SEEDS) -> dict[str, float]:
    """Returns the mean of each figure over the seeds."""
    policy = decide_first_fit if first_fit else FleetState.run_scheduling_round
    days = [
        day_figures(
            Replay(SITES[site], draw_jobs(SITES[site], HEAVY_LOAD, seed), policy, seed).replay_day()
        )
        for seed in seeds
    ]
    return {name: statistics.fmean(day[name] for day in days) for name in days[0]}


@pytest.mark.parametrize(("site", "urgent"), [("ogechi", "slot-hold"), ("nangolo", "sick-swap")])
def test_urgent_jobs_are_in_time_and_credit_exceeds_first_fit_under_heavy_load(
    site: str, urgent: str
) -> None:
    """Priorities and preemption must serve bursts of urgent gangs at no cost to other jobs."""
    shipped = mean_figures(site, first_fit=False)
    first_fit = mean_figures(site, first_fit=True)
    assert shipped[f"{urgent} in time"] >= 0.95
    assert shipped["credit share"] > first_fit["credit share"]
    assert shipped["worst window"] > first_fit["worst window"]


@pytest.mark.parametrize("site", sorted(SITES))
def test_waiting_for_tasks_that_end_soon_loses_less_work_than_preempting_at_once(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Waiting for a task that ends soon must lose less work than preempting it at once.

    Bursts of urgent gangs arrive on sites full of batch jobs. The credit share must not fall.
    """
    with_patience = mean_figures(site, first_fit=False, seeds=PATIENCE_SEEDS)
    monkeypatch.setattr(preemption, "MAX_WAIT_MS", 0)
    without_patience = mean_figures(site, first_fit=False, seeds=PATIENCE_SEEDS)
    assert with_patience["lost core-s"] < without_patience["lost core-s"]
    assert with_patience["credit share"] >= without_patience["credit share"] - CREDIT_SHARE_NOISE


def test_replay_is_deterministic_for_a_seed() -> None:
    """The same seed must draw the same jobs and lead to the same decisions."""

    def figures() -> dict[str, float]:
        site = SITES["nangolo"]
        outcome = Replay(
            site, draw_jobs(site, HEAVY_LOAD, 4), FleetState.run_scheduling_round, 4
        ).replay_day()
        return {name: value for name, value in day_figures(outcome).items() if name != "round ms"}

    assert figures() == figures()
