"""The cost of delay grows as slack runs out, and drops with the value of what is already late."""

from __future__ import annotations

import math

import pytest

from jujubehall.core.fleet.delay_cost import DelayCost
from jujubehall.core.fleet.delay_cost import Lateness
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.work_history import PRIOR_SAMPLES
from jujubehall.core.fleet.work_history import WorkHistory
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import NORMAL
from tests.core.fleet.small_site import OVERNIGHT
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

OBJECTIVE_MS = 3 * 2_000 + 1_000
"""Objective of a normal job of 2 s."""


def delay_cost(site: SmallSite, after_ms: int = 0) -> DelayCost:
    """Returns the cost of delay some time after the present of the site."""
    return DelayCost(site.now_ms + after_ms, site.fleet_state.work_history)


@pytest.mark.parametrize(
    ("waited_ms", "expected"),
    [
        (OBJECTIVE_MS - 2_000, Lateness.IN_TIME),
        (OBJECTIVE_MS - 1_999, Lateness.LATE),
        (3 * OBJECTIVE_MS - 2_000, Lateness.LATE),
        (3 * OBJECTIVE_MS - 1_999, Lateness.EXPIRED),
    ],
)
def test_standing_follows_the_objective_of_the_queue(waited_ms: int, expected: Lateness) -> None:
    site = SmallSite()
    job = site.submit("job", step(expected_ms=2_000))
    assert delay_cost(site, waited_ms).standing(job) is expected


def test_rate_rises_until_the_latest_start_and_is_zero_after_expiry() -> None:
    site = SmallSite()
    (group,) = site.submit("job", step(expected_ms=2_000)).all_groups()
    rates = [delay_cost(site, each).rate(group) for each in (0, 4_000, 5_000, 6_000, 20_000)]
    assert 0 < rates[0] < rates[1] < rates[2]
    assert rates[2] > rates[3] > rates[4] == 0


def test_rate_prefers_little_work_and_work_that_is_nearly_done() -> None:
    site = SmallSite()
    small = site.submit("small", step(tasks=1, expected_ms=2_000))
    large = site.submit("large", step(tasks=9, expected_ms=2_000))
    nearly_done = site.submit("nearly done", step(tasks=9, expected_ms=2_000))
    for group in list(nearly_done.all_groups())[:6]:
        group.is_done = True
    cost = delay_cost(site)
    rate_of_large, rate_of_nearly_done, rate_of_small = (
        cost.rate(next(iter(job.all_groups()))) for job in (large, nearly_done, small)
    )
    assert rate_of_large < rate_of_small
    assert 2 * rate_of_large < rate_of_nearly_done


def test_value_falls_with_priority_and_grows_with_work_up_to_a_limit() -> None:
    site = SmallSite()
    for queue in (URGENT, NORMAL, OVERNIGHT):
        for number in range(20):
            site.submit(f"{queue} {number}", step(expected_ms=2_000), queue=queue)
    values = [
        delay_cost(site).value(site.submit(f"next {queue}", step(expected_ms=2_000), queue=queue))
        for queue in (URGENT, NORMAL, OVERNIGHT)
    ]
    assert values == pytest.approx([1.0, 0.5, 0.25])
    larger = site.submit("larger", step(tasks=3, expected_ms=2_000))
    huge = site.submit("huge", step(tasks=900, expected_ms=2_000))
    assert 0.5 < delay_cost(site).value(larger) < 1.5
    assert delay_cost(site).value(huge) == pytest.approx(2.0)


def test_job_without_an_objective_is_always_in_time() -> None:
    site = SmallSite()
    service = site.submit("service", step(runs_until_cancelled=True))
    timed = site.submit("timed", step(expected_ms=10), occurrences=1)
    cost = delay_cost(site, 600_000)
    for job in (service, timed):
        assert cost.standing(job) is Lateness.IN_TIME
        assert math.isinf(cost.rate(next(iter(job.all_groups()))))


def test_loss_grows_with_work_that_has_to_be_repeated_and_is_small_with_a_checkpoint() -> None:
    site = SmallSite()
    unsaved = site.submit("unsaved", step(needs=EIGHT_GPUS, expected_ms=20_000))
    saved = site.submit("saved", step(needs=EIGHT_GPUS, expected_ms=20_000, saves_checkpoints=True))
    site.start_groups()
    (unsaved_group,), (saved_group,) = unsaved.all_groups(), saved.all_groups()
    early, later = delay_cost(site, 1_000), delay_cost(site, 15_000)
    assert early.loss_if_stopped(unsaved_group) < later.loss_if_stopped(unsaved_group)
    assert later.loss_if_stopped(saved_group) < 0.2 * later.loss_if_stopped(unsaved_group)


def test_work_with_slack_to_restart_loses_less_than_work_that_would_be_late() -> None:
    site = SmallSite()
    first = site.submit("first", step(expected_ms=8_000))
    site.now_ms += 12_000
    second = site.submit("second", step(expected_ms=8_000))
    site.start_groups()
    cost = delay_cost(site, 4_000)
    (tight,), (loose,) = first.all_groups(), second.all_groups()
    assert cost.loss_if_stopped(loose) < cost.loss_if_stopped(tight)


def test_estimates_are_corrected_by_what_the_queue_took() -> None:
    """Jobs of one queue take three times what callers say; the other queue is unaffected."""
    site = SmallSite()
    for number in range(3 * PRIOR_SAMPLES):
        site.submit(f"job {number}", step(expected_ms=1_000))
        for group in site.start_groups():
            site.now_ms += 2_990
            site.end(group, EndKind.DONE)
    history = site.fleet_state.work_history
    job = site.submit("job", step(expected_ms=1_000))
    assert 2.3 < history.duration_factor(job) < 3.1
    other = site.submit("other", step(expected_ms=1_000), queue=OVERNIGHT)
    assert history.duration_factor(other) == 1.0


def test_a_few_very_long_runs_do_not_change_the_estimates() -> None:
    site = SmallSite()
    job = site.submit("job", step(expected_ms=1_000))
    history = WorkHistory()
    for number in range(30):
        history.record_duration(job, 1_000, 7_000 if number % 10 == 0 else 1_000)
    assert history.duration_factor(job) == 1.0
