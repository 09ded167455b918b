"""The last attempt of a job is made on workers that have proved themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubehall.core.fleet.crash_history import STARTUP_MS
from jujubehall.core.fleet.failure_history import PROOF_MEMORY_MS
from jujubehall.core.fleet.failure_history import FailureHistory
from jujubehall.core.fleet.reconciliation import FAILURE_RETRY_DELAY_MS
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.scheduling_round import PROVEN_WORKER_WAIT_MS
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step

if TYPE_CHECKING:
    from jujubehall.core.fleet.groups import TaskGroup

STARTED_MS = 7_000


def start_and_fail(site: SmallSite) -> TaskGroup:
    """Fails the first of two attempts of a job, and returns its group."""
    site.submit("victim", step(needs=EIGHT_GPUS))
    (group,) = site.start_groups()
    site.end(group, EndKind.FAILED)
    return group


def worker_names(group: TaskGroup) -> list[str]:
    """Returns the workers on which the group is placed."""
    return [each.worker.name for each in group.placements.values()]


def test_last_attempt_waits_for_a_worker_that_has_proved_itself() -> None:
    """A free worker of which nothing is known must be left for one that completes a task soon."""
    site = SmallSite(workers=3)
    group = start_and_fail(site)
    failed = next(iter(group.failed_worker_names))
    site.submit("other", step(needs=EIGHT_GPUS))
    (other,) = site.start_groups(FAILURE_RETRY_DELAY_MS)
    assert not group.placements
    (proven,) = worker_names(other)
    site.end(other, EndKind.DONE)
    assert site.start_groups() == [group]
    assert worker_names(group) == [proven]
    assert proven != failed


def test_last_attempt_takes_any_worker_after_a_limited_wait() -> None:
    """On a site where nothing else runs, no worker would ever prove itself."""
    site = SmallSite(workers=3)
    group = start_and_fail(site)
    site.run_scheduling_round(FAILURE_RETRY_DELAY_MS)
    site.run_scheduling_round(PROVEN_WORKER_WAIT_MS - 50)
    assert not group.placements
    assert site.start_groups(100) == [group]


def test_a_run_at_work_proves_its_worker() -> None:
    """A worker proves itself as soon as a run has survived its start."""
    site = SmallSite(workers=1)
    site.submit("long", step())
    (group,) = site.start_groups()
    placement = group.placements[0]
    running = (RunningTask(group.task_id(0), placement.run, percent=1),)
    site.report(0, running)
    assert not placement.worker.failure_history.is_proven(site.now_ms)
    site.now_ms += STARTUP_MS
    site.report(0, running)
    assert placement.worker.failure_history.is_proven(site.now_ms)


def test_the_end_of_one_member_proves_the_workers_of_its_whole_gang() -> None:
    """One end stands for all members, so that only one worker reports it."""
    site = SmallSite(workers=2)
    site.submit("gang", step(tasks=2, needs=EIGHT_GPUS, is_gang=True))
    (group,) = site.start_groups()
    site.end(group, EndKind.DONE)
    assert all(site.worker(n).failure_history.is_proven(site.now_ms) for n in range(2))


def test_proof_ends_with_a_failure_and_with_time() -> None:
    """A worker that has begun to fail must not count as proven for what it ran before."""
    history = FailureHistory()
    assert not history.is_proven(STARTED_MS)
    history.record_survival(STARTED_MS)
    assert history.is_proven(STARTED_MS + PROOF_MEMORY_MS - 1)
    assert not history.is_proven(STARTED_MS + PROOF_MEMORY_MS)
    history.record_failure("job", fails_elsewhere=True, now_ms=STARTED_MS + 10)
    assert history.is_proven(STARTED_MS + 10)
    history.record_failure("job", fails_elsewhere=False, now_ms=STARTED_MS + 10)
    assert not history.is_proven(STARTED_MS + 10)
