"""Tests the removal of ended jobs after the time for which their state can be queried."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from result import Err

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.services.fleet.records import JOB_PREFIX
from jujubehall.services.fleet.records import job_key
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.testing.virtual.fleet.site import VirtualFleet

JOB = JobId("0000000000000001")
RETENTION_S = 120.0
CLEANUP_S = 11.0


@pytest.fixture
def record(site: VirtualFleet) -> bytes:
    """Runs a job to its end and returns its record."""
    site.submit(JOB, JobRequest("spec", (step(expected_ms=100),)))
    site.run(1.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    item = site.store.get(job_key(JOB))
    assert item is not None
    return item.value


def test_removed_job_is_not_run_again_by_a_late_record(site: VirtualFleet, record: bytes) -> None:
    site.run(RETENTION_S + CLEANUP_S)
    assert site.store.list_items(JOB_PREFIX).items == []
    assert site.owner is not None
    assert site.owner.site_host.owner is not None
    site.owner.site_host.owner.apply_intake(job_key(JOB), record)
    site.run(2.0)
    assert set(site.run_recorder.start_counts.values()) == {1}


def test_records_are_deleted_after_a_delete_has_failed(
    site: VirtualFleet, record: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert site.owner is not None
    store = site.owner.store
    commit = store.commit
    failed_deletes = []

    async def fail_deletes(preconditions: Any, writes: Any, deletes: Any, timeout_ms: int) -> Any:
        if not deletes:
            return await commit(preconditions, writes, deletes, timeout_ms)
        failed_deletes.append(deletes)
        return Err(Failure(FailureKind.UNAVAILABLE, "commit", "store", "status 503"))

    monkeypatch.setattr(store, "commit", fail_deletes)
    site.run(RETENTION_S + CLEANUP_S)
    assert failed_deletes
    assert site.store.list_items(JOB_PREFIX).items
    monkeypatch.undo()
    site.run(CLEANUP_S)
    assert site.store.list_items(JOB_PREFIX).items == []
    assert set(site.run_recorder.start_counts.values()) == {1}
