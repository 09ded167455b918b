"""A cancelled job stays cancelled, in whatever order the writes of its calls take effect."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from result import Ok

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from jujubehall.platform.site_store import Revision
from jujubehall.services.fleet.admission import Outcome
from jujubehall.services.fleet.cancellation_records import CancellationRecords
from jujubehall.services.fleet.intake_watcher import IntakeWatcher
from jujubehall.services.fleet.records import job_key
from jujubehall.services.fleet.site_owner import SiteOwner
from jujubehall.testing.virtual.fleet.late_calls import ORDERS
from jujubehall.testing.virtual.fleet.late_calls import LateCalls
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("00000000000000b1")
REQUEST = JobRequest("spec", (step(expected_ms=300), step(expected_ms=300, after=(0,))))
LATE_MS = 6_000
SEED_STEP = 37
"""Coprime to the number of orders, so that the seeds cover each call, delay, route and disruption."""


# Guards against UNASKED: a job ran after a late submission although its cancelling was acknowledged.
def test_late_submission_of_cancelled_job_starts_nothing(site: VirtualFleet) -> None:
    for host in site.hosts:
        host.store.late_writes_ms[job_key(JOB)] = LATE_MS
    assert site.submit(JOB, REQUEST, host=0).outcome is Outcome.UNKNOWN
    assert site.cancel(JOB, host=1).outcome is Outcome.NO_SUCH_JOB
    assert site.store.get(job_key(JOB)) is None
    site.run(LATE_MS / 1_000 + 4.0)
    assert site.store.get(job_key(JOB)) is not None
    assert site.run_recorder.start_counts == {}
    assert site.job_state(JOB).state is JobState.CANCELLED


def test_submission_after_cancellation_is_accepted_as_a_cancelled_job(site: VirtualFleet) -> None:
    assert site.cancel(JOB).outcome is Outcome.NO_SUCH_JOB
    assert site.job_state(JOB).outcome is Outcome.NO_SUCH_JOB
    assert site.submit(JOB, REQUEST, host=1).outcome is Outcome.ACCEPTED
    site.run(2.0)
    assert site.run_recorder.start_counts == {}
    assert site.job_state(JOB, host=2).state is JobState.CANCELLED


@pytest.mark.parametrize("seed", range(0, len(ORDERS), SEED_STEP))
def test_no_order_of_late_writes_starts_a_cancelled_job(seed: int) -> None:
    assert LateCalls(seed).run() == []


def test_owner_that_ignores_cancellations_of_unknown_jobs_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(CancellationRecords, "is_cancelled", lambda self, job: False)
    assert any(LateCalls(seed).run() for seed in range(0, len(ORDERS), SEED_STEP))


def test_successor_that_doesnt_load_cancellations_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load = IntakeWatcher.load

    async def load_jobs_only(self: IntakeWatcher) -> Any:
        with monkeypatch.context() as patch:
            patch.setattr(SiteOwner, "cancel", lambda *_: None)
            return await load(self)

    async def load_nothing(self: IntakeWatcher) -> Ok[Revision]:
        return Ok(Revision(0))

    monkeypatch.setattr(IntakeWatcher, "load", load_jobs_only)
    monkeypatch.setattr(IntakeWatcher, "load_cancellations", load_nothing)
    assert any(LateCalls(seed).run() for seed in range(0, len(ORDERS), SEED_STEP))
