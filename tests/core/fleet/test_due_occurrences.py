"""A job of which very many occurrences are due at once holds up neither the owner nor other jobs."""

from __future__ import annotations

import time

from jujubehall.core.fleet.jobs import MAX_UNFINISHED_TASKS
from jujubehall.decoding import MAX_NUMBER
from tests.core.fleet.small_site import URGENT
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

MAX_ROUND_S = 5.0


def test_occurrences_wait_for_earlier_ones_if_very_many_are_due() -> None:
    site = SmallSite()
    began_s = time.monotonic()
    job = site.submit("every", step(100), occurrences=MAX_NUMBER, interval_ms=0)
    other = site.submit("other", step(1), queue=URGENT)
    site.fleet_state.create_due_occurrences(site.now_ms, site.now_ms)
    assert sum(1 for _ in job.all_groups()) == MAX_UNFINISHED_TASKS
    assert {each.job for each in site.start_groups()} == {job, other}
    assert time.monotonic() - began_s < MAX_ROUND_S


def test_next_occurrence_begins_once_an_earlier_one_is_done() -> None:
    site = SmallSite()
    tasks = MAX_UNFINISHED_TASKS
    job = site.submit("large", step(tasks, is_gang=True), occurrences=3)
    [first] = job.all_groups()
    site.fleet_state.create_due_occurrences(site.now_ms, site.now_ms)
    assert sum(1 for _ in job.all_groups()) == 1
    job.complete(first, site.now_ms)
    site.fleet_state.create_due_occurrences(site.now_ms, site.now_ms)
    assert [each.occurrence for each in job.all_groups()] == [0, 1]
    for group in list(job.all_groups()):
        job.complete(group, site.now_ms)
    assert not job.is_final
    site.fleet_state.create_due_occurrences(site.now_ms, site.now_ms)
    for group in list(job.all_groups()):
        job.complete(group, site.now_ms)
    assert job.is_final
