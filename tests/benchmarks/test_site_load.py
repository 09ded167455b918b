"""Callers are served better than by first-come-first-fit on the heavy days' load."""

from __future__ import annotations

import statistics

import pytest

from benchmarks.site_load.baseline import decide_first_fit
from benchmarks.site_load.figures import day_figures
from benchmarks.site_load.replay import Replay
from benchmarks.site_load.shapes import SITES
from benchmarks.site_load.shapes import draw_jobs
from jujubehall.core.fleet import preempting
from jujubehall.core.fleet.book import FleetBook

HEAVY = 1.18
SEEDS = (1, 2, 3)
MORE_SEEDS = tuple(range(1, 41))
NOISE = 0.01
"""The confidence interval of a paired difference of credit over 40 seeds."""


def mean_figures(site: str, first_fit: bool, seeds: tuple[int, ...] = SEEDS) -> dict[str, float]:
    """The means of the figures over some seeds."""
    policy = decide_first_fit if first_fit else FleetBook.decide
    days = [
        day_figures(Replay(SITES[site], draw_jobs(SITES[site], HEAVY, seed), policy, seed).play())
        for seed in seeds
    ]
    return {name: statistics.fmean(day[name] for day in days) for name in days[0]}


@pytest.mark.parametrize(("site", "urgent"), [("ogechi", "slot-hold"), ("nangolo", "sick-swap")])
def test_heavy_days_serve_urgent_work_in_time_and_the_rest_no_worse(site: str, urgent: str) -> None:
    """Priorities and preemption serve bursts of urgent gangs without giving up other work."""
    shipped = mean_figures(site, first_fit=False)
    first_fit = mean_figures(site, first_fit=True)
    assert shipped[f"{urgent} in time"] >= 0.95
    assert shipped["credit share"] > first_fit["credit share"]
    assert shipped["worst window"] > first_fit["worst window"]


@pytest.mark.parametrize("site", sorted(SITES))
def test_less_is_thrown_away_where_urgent_work_waits_for_work_that_ends_soon(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Bursts of urgent gangs on sites full of batch work; callers are served no worse."""
    patient = mean_figures(site, first_fit=False, seeds=MORE_SEEDS)
    monkeypatch.setattr(preempting, "LONGEST_PATIENCE_MS", 0)
    impatient = mean_figures(site, first_fit=False, seeds=MORE_SEEDS)
    assert patient["lost core-s"] < impatient["lost core-s"]
    assert patient["credit share"] >= impatient["credit share"] - NOISE


def test_a_day_repeats_with_its_seed() -> None:
    """The same seed gives the same day and the same decisions."""

    def figures() -> dict[str, float]:
        site = SITES["nangolo"]
        outcome = Replay(site, draw_jobs(site, HEAVY, 4), FleetBook.decide, 4).play()
        return {name: value for name, value in day_figures(outcome).items() if name != "round ms"}

    assert figures() == figures()
