"""Tests how long cancellations are kept, and how many."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from result import Err

from jujubehall.core.fleet.requests import JobRequest
from jujubehall.core.jobs.job import JobState
from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.identifiers import JobId
from jujubehall.platform.site_store import Conflict
from jujubehall.services.fleet import cancellation_records
from jujubehall.services.fleet.admission import Outcome
from jujubehall.services.fleet.records import CANCELLATION_PREFIX
from jujubehall.services.fleet.records import INTAKE_PREFIX
from jujubehall.services.fleet.records import JOB_PREFIX
from jujubehall.services.fleet.records import cancellation_key
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    import pytest

    from jujubehall.services.fleet.site_owner import SiteOwner
    from jujubehall.testing.virtual.fleet.site import VirtualFleet
    from jujubehall.testing.virtual.fleet.site import VirtualHost

JOB = JobId("00000000000000d1")
REQUEST = JobRequest("spec", (step(expected_ms=300),))
RETENTION_S = 120.0
CLEANUP_S = 11.0
COMMIT_COUNT = 3


def owner_host(site: VirtualFleet) -> VirtualHost:
    host = site.owner
    assert host is not None
    return host


def site_owner(site: VirtualFleet) -> SiteOwner:
    owner = owner_host(site).site_host.owner
    assert owner is not None
    return owner


def job_ids(count: int) -> list[JobId]:
    return [JobId(f"{number:016x}") for number in range(1, count + 1)]


def kept_cancellations(site: VirtualFleet) -> int:
    return len(site.store.list_items(CANCELLATION_PREFIX).items)


def test_cancellations_of_unknown_jobs_are_removed_after_the_retention_time(
    site: VirtualFleet,
) -> None:
    count = COMMIT_COUNT * cancellation_records.CANCELLATIONS_PER_COMMIT - 1
    for job in job_ids(count):
        assert site.cancel(job).outcome is Outcome.NO_SUCH_JOB
    site.run(RETENTION_S - 5.0)
    assert kept_cancellations(site) == count
    site.run(5.0 + CLEANUP_S)
    assert kept_cancellations(site) == 0
    assert not any(site_owner(site).cancellations.is_cancelled(job) for job in job_ids(count))


def test_all_records_of_a_job_that_was_cancelled_first_are_removed(site: VirtualFleet) -> None:
    site.cancel(JOB)
    site.submit(JOB, REQUEST)
    site.run(RETENTION_S + 2 * CLEANUP_S)
    keys = [item.key for item in site.store.list_items(INTAKE_PREFIX).items]
    assert not [key for key in keys if key.endswith(JOB)]
    assert site.run_recorder.start_counts == {}


def test_successor_removes_cancellations_of_unknown_jobs(site: VirtualFleet) -> None:
    site.cancel(JOB)
    site.kill(owner_host(site))
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.run(RETENTION_S - 5.0)
    assert kept_cancellations(site) == 1
    site.run(5.0 + CLEANUP_S)
    assert kept_cancellations(site) == 0


def test_lists_after_gaps_in_the_history_dont_keep_cancellations_for_longer(
    site: VirtualFleet,
) -> None:
    site.cancel(JOB)
    for _ in range(12):
        site.store.compact_history()
        site.run(11.0)
    assert kept_cancellations(site) == 0


def test_repeated_cancellation_is_kept_for_longer(site: VirtualFleet) -> None:
    site.cancel(JOB)
    site.run(RETENTION_S - 5.0)
    site.cancel(JOB, host=1)
    site.run(5.0 + CLEANUP_S)
    assert kept_cancellations(site) == 1
    site.submit(JOB, REQUEST)
    site.run(2.0)
    assert site.run_recorder.start_counts == {}


# Guards against a delete that was sent before a job was cancelled again and takes effect after it.
def test_late_delete_doesnt_remove_a_later_cancellation(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    site.cancel(JOB)
    late: list[tuple[Any, Any, Any]] = []
    store = owner_host(site).store
    commit = store.commit

    async def delay_deletes(preconditions: Any, writes: Any, deletes: Any, timeout_ms: int) -> Any:
        if cancellation_key(JOB) not in deletes:
            return await commit(preconditions, writes, deletes, timeout_ms)
        late.append((preconditions, writes, deletes))
        return Err(Failure(FailureKind.NO_ANSWER, "commit", "store", "timed out"))

    monkeypatch.setattr(store, "commit", delay_deletes)
    assert site.run_until(lambda: late, RETENTION_S + CLEANUP_S)
    monkeypatch.undo()
    assert site.cancel(JOB, host=1).outcome is Outcome.NO_SUCH_JOB
    assert isinstance(site.store.commit(*late[0]), Conflict)
    site.kill(owner_host(site))
    assert site.run_until(lambda: site.owner is not None, 5.0)
    successor = site.hosts.index(owner_host(site))
    assert site.submit(JOB, REQUEST, host=successor).outcome is Outcome.ACCEPTED
    site.run(2.0)
    assert site.run_recorder.start_counts == {}


# Guards against a cancellation that goes with its job's records right after it was acknowledged.
def test_cancellation_outlives_the_records_of_a_job_that_ended_long_before(
    site: VirtualFleet,
) -> None:
    site.submit(JOB, REQUEST)
    site.run(RETENTION_S - 2.0)
    assert site.job_state(JOB).state is JobState.SUCCEEDED
    assert site.cancel(JOB).outcome is Outcome.ACCEPTED
    assert site.run_until(lambda: not site.store.list_items(JOB_PREFIX).items, 2 * CLEANUP_S)
    site.kill(owner_host(site))
    assert site.run_until(lambda: site.owner is not None, 5.0)
    site.submit(JOB, REQUEST, host=site.hosts.index(owner_host(site)))
    site.run(2.0)
    assert set(site.run_recorder.start_counts.values()) == {1}
    assert site.job_state(JOB).state is JobState.CANCELLED


def test_cancellation_of_unknown_job_is_refused_while_too_many_are_kept(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    limit = 3
    monkeypatch.setattr(cancellation_records, "MAX_CANCELLATIONS", limit)
    for job in job_ids(limit):
        assert site.cancel(job).outcome is Outcome.NO_SUCH_JOB
    for host in range(len(site.hosts)):
        refused = site.cancel(JOB, host=host)
        assert refused.outcome is Outcome.NOT_RUN
        assert refused.retry_after_ms > 0
    assert kept_cancellations(site) == limit
    site.submit(JOB, REQUEST)
    assert site.cancel(JOB).outcome is Outcome.ACCEPTED
    site.run(RETENTION_S + 2 * CLEANUP_S)
    assert site.cancel(JobId("00000000000000d2")).outcome is Outcome.NO_SUCH_JOB


def test_records_of_one_commit_are_deleted_though_one_of_them_has_changed(
    site: VirtualFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    for job in job_ids(3):
        site.cancel(job)
    site.run(RETENTION_S - 5.0)
    monkeypatch.setattr(site_owner(site).cancellations, "note", lambda *_: None)
    site.cancel(job_ids(3)[1])
    monkeypatch.undo()
    site.run(5.0 + 2 * CLEANUP_S)
    keys = [item.key for item in site.store.list_items(CANCELLATION_PREFIX).items]
    assert keys == [cancellation_key(job_ids(3)[1])]
    site.run(RETENTION_S + CLEANUP_S)
    assert kept_cancellations(site) == 0


def test_unanswered_delete_is_repeated(site: VirtualFleet) -> None:
    site.cancel(JOB)
    site.run(RETENTION_S - 5.0)
    owner_host(site).store.lost_response_probability = 1.0
    site.run(5.0 + CLEANUP_S)
    owner_host(site).store.lost_response_probability = 0.0
    site.run(2 * CLEANUP_S)
    assert kept_cancellations(site) == 0
    assert not site_owner(site).cancellations.is_cancelled(JOB)
