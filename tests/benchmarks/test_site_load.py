"""Scheduling serves callers better than first come, first fit under heavy load."""

from __future__ import annotations

import statistics

from collections import Counter
from typing import TYPE_CHECKING

import pytest

from benchmarks.site_load.admission import BacklogAdmission
from benchmarks.site_load.baseline import decide_first_fit
from benchmarks.site_load.figures import day_figures
from benchmarks.site_load.intervals import student_quantile
from benchmarks.site_load.replay import EVACUATION
from benchmarks.site_load.replay import MAX_RETURNS
from benchmarks.site_load.replay import Replay
from benchmarks.site_load.shapes import GUARANTEED_SHARE
from benchmarks.site_load.shapes import LARGE_SITES
from benchmarks.site_load.shapes import SITES
from benchmarks.site_load.shapes import draw_jobs
from jujubehall.core.fleet import preemption
from jujubehall.core.fleet.decisions import StartGroup
from jujubehall.core.fleet.state import FleetState

if TYPE_CHECKING:
    from benchmarks.site_load.replay import DayOutcome
    from jujubehall.core.fleet.decisions import Decision
    from jujubehall.core.fleet.requests import AcceptedJob
    from jujubehall.core.fleet.requests import StepRequest
    from jujubehall.identifiers import JobId
    from jujubehall.identifiers import ZoneName

HEAVY_LOAD = 1.18
SEEDS = (1, 2, 3)
PATIENCE_SEEDS = tuple(range(1, 41))
CREDIT_SHARE_NOISE = 0.01
"""The confidence interval of a paired difference of the credit share over 40 seeds."""

RETRY_AFTER_MS = 700
SMALL_WORKERS = 16
OVERLOAD = 3.0
TEAM_SEEDS = range(20)
TEAM_DEVIATIONS = 4
"""How many standard deviations the number of a team's jobs may be off."""


class Refusals:
    """Refuses each job the given number of times."""

    def __init__(self, refusals: int) -> None:
        self._refusals = refusals
        self.submitted_ms: dict[JobId, list[int]] = {}

    def decide(self, fleet_state: FleetState, job: AcceptedJob, now_ms: int) -> int | None:
        """Records the submission; admits the job after the refusals."""
        times_ms = self.submitted_ms.setdefault(job.id, [])
        times_ms.append(now_ms)
        return RETRY_AFTER_MS if len(times_ms) <= self._refusals else None


def replay_with_refusals(refusals: int) -> tuple[Refusals, DayOutcome]:
    """Replays a quiet day on which each job is refused the given number of times."""
    site = SITES["ogechi"]
    admission = Refusals(refusals)
    jobs = draw_jobs(site, 0.3, 1)
    policy = FleetState.run_scheduling_round
    return admission, Replay(site, jobs, policy, 1, admission).replay_day()


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


@pytest.mark.parametrize(
    ("site", "jobs", "core_s"), [("ogechi", 72, 97_238), ("nangolo", 79, 106_808)]
)
def test_days_of_the_first_sites_stay_comparable(site: str, jobs: int, core_s: int) -> None:
    """Their days must not change with what the benchmark learns about other sites."""
    drawn = draw_jobs(SITES[site], HEAVY_LOAD, 1)
    assert len(drawn) == jobs
    assert round(sum(job.core_ms for job in drawn) / 1_000) == core_s


@pytest.mark.parametrize("site", ["brennholt", "lianhe"])
def test_teams_are_of_uneven_size_and_share_the_guarantees(site: str) -> None:
    """Teams must submit jobs, and have guarantees, in proportion to their uneven sizes."""
    shape = LARGE_SITES[site]
    sizes = shape.team_sizes()
    counts = Counter(job.team for seed in TEAM_SEEDS for job in draw_jobs(shape, 1.0, seed))
    guarantees = [team.guaranteed_accelerators for team in shape.teams()]
    accelerators = shape.workers * shape.capacity.accelerators
    assert set(counts) == set(sizes)
    for name, size in sizes.items():
        expected = counts.total() * size / sum(sizes.values())
        assert abs(counts[name] - expected) < TEAM_DEVIATIONS * expected**0.5
    assert min(sizes.values()) < 0.6 * max(sizes.values())
    assert guarantees == sorted(guarantees, reverse=True)
    assert sum(guarantees) == pytest.approx(GUARANTEED_SHARE * accelerators, abs=len(sizes) / 2)


def test_speeds_are_drawn_evenly_from_the_seed() -> None:
    """Each speed must occur equally often, on other workers for another seed."""
    site = LARGE_SITES["lianhe"]
    counts = Counter(site.draw_slowdowns(1))
    assert set(counts) == {0.6, 1.0, 1.6}
    assert max(counts.values()) - min(counts.values()) <= 1
    assert site.draw_slowdowns(1) == site.draw_slowdowns(1) != site.draw_slowdowns(2)


def test_a_gang_that_prefers_one_rack_fits_into_one() -> None:
    """Gangs may be larger than a rack; a preference for one must then not slow them down."""
    site = LARGE_SITES["brennholt"]
    steps = [step for job in draw_jobs(site, 1.0, 1) for step in job.request.steps if step.is_gang]

    def fits_a_rack(step: StepRequest) -> bool:
        return step.tasks <= site.workers_per_rack * step.needs.count_fitting(site.capacity)

    assert all(fits_a_rack(step) for step in steps if step.prefers_one_rack)
    assert not all(fits_a_rack(step) for step in steps)


def test_callers_return_and_their_time_counts_from_the_first_attempt() -> None:
    """A job that is admitted at the third attempt must have waited for both refusals."""
    admission, outcome = replay_with_refusals(2)
    for job_outcome in outcome.jobs:
        job = job_outcome.job
        first_ms, *later_ms = admission.submitted_ms[job.id]
        assert first_ms == job.submitted_ms
        assert later_ms == [first_ms + RETRY_AFTER_MS, first_ms + 2 * RETRY_AFTER_MS]
        assert outcome.first_starts_ms[job.id] > later_ms[-1]
        assert job_outcome.ended_ms is not None


def test_callers_give_up_after_the_last_return() -> None:
    """A job that is always refused earns nothing, and its refusal counts as wrong if needless."""
    admission, outcome = replay_with_refusals(MAX_RETURNS + 1)
    _, admitted = replay_with_refusals(0)
    assert {len(admission.submitted_ms[each.job.id]) for each in outcome.jobs} == {MAX_RETURNS + 1}
    assert all(each.is_refused and each.credit == 0 for each in outcome.jobs)
    figures = day_figures(outcome, admitted)
    in_time = statistics.fmean(each.credit == 1.0 for each in admitted.jobs)
    assert figures["slot-hold refused"] == 1.0
    assert figures["slot-hold never"] == 0.0
    assert figures["wrongly refused"] == pytest.approx(in_time)
    assert figures["wrongly admitted"] == 0.0


def test_refusals_limit_the_backlog_of_a_small_lianhe() -> None:
    """The figures must tell the refusals of an overloaded site by queue and by team."""
    site = LARGE_SITES["lianhe"]._replace(workers=SMALL_WORKERS)
    jobs = draw_jobs(site, OVERLOAD, 1)
    policy = FleetState.run_scheduling_round
    admitted = Replay(site, jobs, policy, 1).replay_day()
    refused = Replay(site, jobs, policy, 1, BacklogAdmission()).replay_day()
    figures = day_figures(refused, admitted)
    queues = [shape.queue.name for shape in site.queues]
    for queue in queues:
        outcomes = ("in time", "late", "never", "refused")
        assert sum(figures[f"{queue} {each}"] for each in outcomes) == pytest.approx(1.0)
    assert any(figures[f"{queue} refused"] for queue in queues)
    assert 0.0 <= figures["worst team"] <= figures["worst tenth of teams"] <= 1.0


def test_nothing_starts_in_a_zone_while_it_is_evacuated() -> None:
    """The replay must start work there before and after, and every job must end."""
    site = LARGE_SITES["brennholt"]._replace(workers=SMALL_WORKERS, workers_per_rack=4)
    starts: list[tuple[int, ZoneName]] = []

    def run_round(fleet_state: FleetState, now_ms: int) -> list[Decision]:
        decisions = fleet_state.run_scheduling_round(now_ms)
        starts.extend(
            (now_ms, worker.listed.zone)
            for each in decisions
            if isinstance(each, StartGroup)
            for worker in each.workers.values()
        )
        return decisions

    outcome = Replay(
        site, draw_jobs(site, HEAVY_LOAD, 1), run_round, 1, evacuation=EVACUATION
    ).replay_day()
    times_ms = [at_ms for at_ms, zone in starts if zone == EVACUATION.zone]
    assert min(times_ms) < EVACUATION.start_ms
    assert max(times_ms) > EVACUATION.end_ms
    assert not any(EVACUATION.start_ms < each < EVACUATION.end_ms for each in times_ms)
    assert all(each.ended_ms is not None for each in outcome.jobs)


@pytest.mark.parametrize(
    ("degrees", "quantile"), [(1, 12.706), (5, 2.571), (8, 2.306), (39, 2.023)]
)
def test_student_quantile_matches_the_table(degrees: int, quantile: float) -> None:
    """Confidence intervals must use the t distribution of the number of seeds."""
    assert student_quantile(0.95, degrees) == pytest.approx(quantile, abs=5e-4)
