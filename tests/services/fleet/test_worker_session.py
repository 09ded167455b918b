"""Tests how the owner's sessions with the workers confirm ends of runs."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING
from typing import Any

import pytest

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.records import PROGRESS_PREFIX
from jujubehall.services.fleet.worker_session import REPORT_RETRY_INTERVAL_MS
from jujubehall.services.fleet.worker_session import SAME_INCARNATION_GAP_MS
from jujubehall.testing.virtual.fleet.workers import VirtualWorker
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOBS = [JobId(f"{number:016x}") for number in range(2)]
TASKS_PER_JOB = 16
END_INTERVAL_MS = 150
SLOW_STORE_LATENCY_MS = SAME_INCARNATION_GAP_MS + 100

MAX_LISTINGS_PER_END = 3
"""Up to twice before it is stored, and once more to identify the incarnation."""


def slow_down_store(site: VirtualFleet) -> None:
    for host in site.hosts:
        host.store.extra_latency_ms = SLOW_STORE_LATENCY_MS


def submit_jobs_with_spread_ends(site: VirtualFleet) -> None:
    steps = tuple(
        step(expected_ms=1_000 + number * END_INTERVAL_MS) for number in range(TASKS_PER_JOB)
    )
    for job in JOBS:
        site.submit(job, JobRequest("spec", steps))


def all_ends_are_confirmed(site: VirtualFleet) -> bool:
    return len(site.run_recorder.completed_tasks) == len(JOBS) * TASKS_PER_JOB and not any(
        worker.has_unconfirmed_ends for worker in site.workers.values()
    )


def written_progress(site: VirtualFleet) -> dict[str, list[bytes]]:
    changes = site.store.changes(PROGRESS_PREFIX, 0)
    assert changes is not None
    written: dict[str, list[bytes]] = {}
    for item in changes.items:
        written.setdefault(item.key, []).append(item.value)
    return written


def test_ends_are_confirmed_while_writes_take_longer_than_the_incarnation_gap(
    site: VirtualFleet,
) -> None:
    slow_down_store(site)
    submit_jobs_with_spread_ends(site)
    assert site.run_until(lambda: all_ends_are_confirmed(site), 15.0)
    listings = [
        count for worker in site.workers.values() for count in worker.end_listing_counts.values()
    ]
    assert max(listings) <= MAX_LISTINGS_PER_END
    assert [site.job_state(job).state for job in JOBS] == [JobState.SUCCEEDED] * len(JOBS)
    assert site.run_recorder.violations == []


def test_progress_is_not_written_again_while_its_ends_await_confirmation(
    site: VirtualFleet,
) -> None:
    slow_down_store(site)
    submit_jobs_with_spread_ends(site)
    site.run(15.0)
    written = written_progress(site)
    assert len(written) == len(JOBS)
    for values in written.values():
        repeated = sum(before == after for before, after in pairwise(values))
        assert repeated == 0
    assert site.run_recorder.violations == []


@pytest.mark.parametrize("failed_write", [0, 1])
def test_progress_is_stored_after_a_write_raised_an_exception(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch, failed_write: int
) -> None:
    assert site.owner is not None
    store = site.owner.store
    commit = store.commit
    progress_writes = 0

    async def commit_or_raise(*arguments: Any) -> Any:
        nonlocal progress_writes
        if any(write.key.startswith(PROGRESS_PREFIX) for write in arguments[1]):
            progress_writes += 1
            if progress_writes == failed_write + 1:
                raise RuntimeError("injected")
        return await commit(*arguments)

    monkeypatch.setattr(store, "commit", commit_or_raise)
    site.submit(JOBS[0], JobRequest("spec", (step(expected_ms=500),)))
    site.run(5.0)
    assert progress_writes > failed_write
    assert site.job_state(JOBS[0]).state is JobState.SUCCEEDED
    assert not any(worker.has_unconfirmed_ends for worker in site.workers.values())


def test_worker_that_keeps_listing_confirmed_ends_is_not_polled_in_a_tight_loop(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    report = VirtualWorker.report
    monkeypatch.setattr(
        VirtualWorker,
        "report",
        lambda worker, token, confirmed, until_ms: report(worker, token, 0, until_ms),
    )
    site.submit(JOBS[0], JobRequest("spec", (step(expected_ms=500),)))
    assert site.run_until(lambda: bool(site.run_recorder.completed_tasks), 2.0)
    site.run(3.0)
    (listings,) = (
        count for worker in site.workers.values() for count in worker.end_listing_counts.values()
    )
    assert listings <= 3 * (3_000 // REPORT_RETRY_INTERVAL_MS + 1)
