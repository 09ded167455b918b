"""Tests for applying worker reports to the scheduling state."""

from __future__ import annotations

import msgspec

from jujubehall.core.fleet.groups import Phase
from jujubehall.core.fleet.jobs import JobProgress
from jujubehall.core.fleet.reports import EndedTask
from jujubehall.core.fleet.reports import EndKind
from jujubehall.core.fleet.reports import RunningTask
from jujubehall.core.fleet.reports import TaskId
from jujubehall.core.jobs.job import JobState
from jujubehall.identifiers import JobId
from tests.core.fleet.small_site import EIGHT_GPUS
from tests.core.fleet.small_site import SmallSite
from tests.core.fleet.small_site import step


def test_job_fails_after_max_failures_of_a_task() -> None:
    site = SmallSite()
    job = site.submit("poison", step())
    for _ in range(2):
        (group,) = site.start_groups(after_ms=1_000)
        site.end(group, EndKind.FAILED)
    assert job.state is JobState.FAILED
    assert site.start_groups(after_ms=1_000) == []


def test_gang_failure_is_counted_once_for_all_members() -> None:
    site = SmallSite()
    job = site.submit("gang", step(tasks=3, is_gang=True))
    (group,) = site.start_groups()
    site.end(group, EndKind.FAILED)
    assert group.failures == 1
    assert job.state is JobState.QUEUED


def test_stopped_task_resumes_from_its_checkpoint_with_a_higher_run_number() -> None:
    site = SmallSite()
    site.submit("job", step(saves_checkpoints=True))
    (group,) = site.start_groups()
    site.end(group, EndKind.STOPPED, checkpoint="c1")
    (again,) = site.start_groups()
    assert again is group
    assert again.run == 2
    assert again.checkpoint == "c1"


def test_task_missing_from_a_report_is_restarted() -> None:
    site = SmallSite()
    site.submit("job", step())
    (group,) = site.start_groups()
    site.report(int(next(iter(group.placements.values())).worker.name[1:]))
    assert site.start_groups() == [group]


def test_run_confirmed_after_the_report_was_requested_is_kept() -> None:
    site = SmallSite()
    site.submit("job", step())
    (group,) = site.start_groups()
    placement = group.placements[0]
    placement.confirmed_ms = site.now_ms + 100
    site.report(int(placement.worker.name[1:]))
    assert group.placements == {0: placement}


def test_placements_are_removed_when_their_worker_restarts() -> None:
    site = SmallSite(workers=1)
    site.submit("job", step())
    (group,) = site.start_groups()
    site.report(0, incarnation=2)
    assert group.placements == {}


def test_other_members_of_a_gang_are_stopped_when_the_worker_of_one_restarts() -> None:
    site = SmallSite(workers=2)
    site.submit("gang", step(tasks=2, needs=EIGHT_GPUS, is_gang=True))
    (decision,) = site.run_scheduling_round()
    group = decision.group
    group.placements[0].confirmed_ms = site.now_ms
    site.report(int(group.placements[0].worker.name[1:]), incarnation=2)
    assert group.is_stopping
    assert site.fleet_state.groups_to_stop == {group}


def test_new_owner_adopts_active_runs() -> None:
    site = SmallSite()
    job = site.submit("job", step(tasks=2))
    site.report(0, (RunningTask(TaskId(job.id, 0, 0, 1), 1, "c7"),))
    (started,) = site.start_groups()
    assert started.indexes == range(1)
    assert started.run == 1
    adopted = job.find_group(0, 0, 1)
    assert adopted is not None
    assert adopted.placements[1].phase is Phase.RUNNING


def test_run_is_adopted_before_its_preceding_steps_are_known_to_be_done() -> None:
    # The end of the earlier step may be reported by a worker that has not sent its report yet.
    site = SmallSite()
    job = site.submit("job", step(), step(after=(0,)))
    site.report(0, (RunningTask(TaskId(job.id, 0, 1, 0), 1),))
    site.report(1, ended=(EndedTask(1, TaskId(job.id, 0, 0, 0), 1, EndKind.DONE),))
    assert site.start_groups() == []
    adopted = job.find_group(0, 1, 0)
    assert adopted is not None
    assert adopted.placements[0].phase is Phase.RUNNING


def test_older_run_is_stopped_before_the_next_is_started() -> None:
    site = SmallSite()
    job = site.submit("job", step())
    site.report(0, ended=(EndedTask(1, TaskId(job.id, 0, 0, 0), 2, EndKind.LEASE_EXPIRED),))
    site.report(1, (RunningTask(TaskId(job.id, 0, 0, 0), 1),))
    (group,) = job.all_groups()
    assert group.placements[0].phase is Phase.STOPPING
    assert site.start_groups() == []
    site.end(group, EndKind.STOPPED)
    assert site.start_groups() == [group]


def test_run_of_an_unknown_job_and_duplicate_run_are_orphaned() -> None:
    site = SmallSite()
    job = site.submit("job", step())
    (group,) = site.start_groups()
    other = 3 if group.placements[0].worker.name != "w3" else 2
    unknown = TaskId(JobId("nobody"), 0, 0, 0)
    result = site.report(other, (RunningTask(unknown, 1), RunningTask(TaskId(job.id, 0, 0, 0), 1)))
    assert len(result.orphaned_runs) == 2
    assert group.placements[0].worker.name != f"w{other}"


def test_progress_is_restored_by_a_new_owner() -> None:
    site = SmallSite()
    job = site.submit("job", step(tasks=2), step(after=(0,)))
    first, _ = site.start_groups()
    site.end(first, EndKind.DONE)
    stored = job.progress()
    successor = SmallSite()
    restored = successor.fleet_state.add_job(
        job.accepted, stored, successor.now_ms, successor.now_ms
    )
    assert isinstance(stored, JobProgress)
    assert [group.is_done for group in restored.groups[0, 0]] == [True, False]
    assert len(successor.start_groups()) == 1


def test_repeated_end_has_no_effect() -> None:
    site = SmallSite()
    job = site.submit("job", step())
    (group,) = site.start_groups()
    placement = group.placements[0]
    ended = EndedTask(1, TaskId(job.id, 0, 0, 0), placement.run, EndKind.FAILED)
    number = int(placement.worker.name[1:])
    site.report(number, ended=(ended,))
    site.report(number, ended=(ended,))
    assert group.failures == 1


def test_cancelled_job_is_stopped_and_not_restarted() -> None:
    site = SmallSite(workers=2)
    job = site.submit("gang", step(tasks=2, needs=EIGHT_GPUS, is_gang=True))
    (group,) = site.start_groups()
    site.fleet_state.cancel(job.id, site.now_ms)
    assert site.fleet_state.groups_to_stop == {group}
    assert group.is_stopping
    site.end(group, EndKind.STOPPED)
    assert site.start_groups() == []
    assert job.state is JobState.CANCELLED


def test_task_is_not_restarted_while_an_unreported_worker_may_run_it() -> None:
    site = SmallSite()
    job = site.submit("job", step())
    (group,) = site.start_groups()
    worker = group.placements[0].worker
    stored = job.progress()
    successor = SmallSite()
    successor.fleet_state.add_job(job.accepted, stored, successor.now_ms, successor.now_ms)
    unreported = successor.fleet_state.workers.pop(worker.name)
    assert list(successor.fleet_state.waiting_groups(successor.now_ms))
    successor.fleet_state.workers[worker.name] = unreported
    unreported.has_reported = False
    unreported.previous_leases_end_ms = successor.now_ms + 5_000
    assert successor.start_groups() == []
    assert len(successor.start_groups(after_ms=6_000)) == 1


def test_late_end_of_an_expired_run_does_not_complete_the_next_run() -> None:
    site = SmallSite()
    job = site.submit("job", step())
    (group,) = site.start_groups()
    lost = group.placements[0].worker
    group.remove_placement(0)
    lost.is_reachable = False
    (again,) = site.start_groups()
    assert again.run == 2
    lost.is_reachable = True
    late = EndedTask(1, TaskId(job.id, 0, 0, 0), 1, EndKind.DONE)
    site.report(int(lost.name[1:]), ended=(late,))
    assert not group.is_done
    assert group.placements[0].run == 2


def test_unacknowledged_start_is_stopped_on_the_restarted_worker() -> None:
    site = SmallSite(workers=1)
    site.submit("job", step())
    (decision,) = site.run_scheduling_round()
    group = decision.group
    site.fleet_state.mark_stopping(group)
    group.placements[0].stop_confirmed_ms = site.now_ms
    site.fleet_state.groups_to_stop.clear()
    site.report(0, incarnation=2)
    assert group.placements[0].stop_confirmed_ms is None
    assert site.fleet_state.groups_to_stop == {group}
    assert site.start_groups() == []
    group.placements[0].stop_confirmed_ms = site.now_ms
    site.report(0, incarnation=2)
    site.worker(0).listed = msgspec.structs.replace(site.worker(0).listed, incarnation=2)
    assert site.start_groups() == [group]


def test_run_of_an_occurrence_not_yet_due_on_this_clock_is_adopted() -> None:
    # The clock of the earlier owner was ahead, so it started the occurrence earlier.
    site = SmallSite()
    due_ms = site.now_ms + 2_000
    job = site.submit("timed", step(), occurrences=2, first_due_unix_ms=due_ms, interval_ms=1_000)
    assert not list(job.all_groups())
    result = site.report(0, (RunningTask(TaskId(job.id, 0, 0, 0), 1),))
    assert result.orphaned_runs == []
    assert site.worker(0).free.accelerators == 7
    assert site.start_groups() == []


def test_stored_progress_creates_its_occurrence() -> None:
    site = SmallSite()
    due_ms = site.now_ms - 10
    job = site.submit("timed", step(), occurrences=2, first_due_unix_ms=due_ms, interval_ms=5_000)
    (group,) = site.start_groups()
    site.end(group, EndKind.DONE)
    successor = SmallSite()
    restored = successor.fleet_state.add_job(
        job.accepted, job.progress(), successor.now_ms, due_ms - 500
    )
    assert [each.is_done for each in restored.all_groups()] == [True]


def test_stored_failure_reported_again_to_a_new_owner_is_counted_once() -> None:
    site = SmallSite()
    job = site.submit("job", step())
    (group,) = site.start_groups()
    worker = int(group.placements[0].worker.name[1:])
    ended = EndedTask(1, TaskId(job.id, 0, 0, 0), 1, EndKind.FAILED)
    site.report(worker, ended=(ended,))
    successor = SmallSite()
    restored = successor.fleet_state.add_job(
        job.accepted, job.progress(), successor.now_ms, successor.now_ms
    )
    successor.report(worker, ended=(ended,))
    assert restored.state is JobState.QUEUED
    assert [each.failures for each in restored.all_groups()] == [1]


def test_end_listed_again_leaves_no_unsaved_job() -> None:
    site = SmallSite()
    job = site.submit("job", step(saves_checkpoints=True))
    (group,) = site.start_groups()
    worker = int(group.placements[0].worker.name[1:])
    ended = EndedTask(1, TaskId(job.id, 0, 0, 0), 1, EndKind.STOPPED, "c1")
    assert site.report(worker, ended=(ended,)).ends == [ended]
    assert site.fleet_state.unsaved_jobs == {job}
    site.fleet_state.unsaved_jobs.clear()
    assert site.report(worker, ended=(ended,)).ends == []
    assert site.fleet_state.unsaved_jobs == set()


def test_end_listed_again_does_not_replace_the_checkpoint_of_a_later_run() -> None:
    site = SmallSite(workers=2)
    job = site.submit("job", step(saves_checkpoints=True))
    task = TaskId(job.id, 0, 0, 0)
    (group,) = site.start_groups()
    former = group.placements[0].worker
    first = EndedTask(1, task, 1, EndKind.STOPPED, "c1")
    site.report(int(former.name[1:]), ended=(first,))
    former.is_reachable = False
    assert site.start_groups() == [group]
    site.end(group, EndKind.STOPPED, checkpoint="c2")
    site.report(int(former.name[1:]), ended=(first,))
    assert group.checkpoint == "c2"


def test_end_is_not_mistaken_for_an_equal_one_of_the_previous_incarnation() -> None:
    site = SmallSite()
    job = site.submit("job", step())
    (group,) = site.start_groups()
    worker = int(group.placements[0].worker.name[1:])
    ended = EndedTask(1, TaskId(job.id, 0, 0, 0), 1, EndKind.STOPPED)
    assert site.report(worker, ended=(ended,)).ends == [ended]
    site.fleet_state.unsaved_jobs.clear()
    assert site.report(worker, ended=(ended,), incarnation=2).ends == [ended]
    assert site.fleet_state.unsaved_jobs == {job}


def test_end_listed_before_its_job_was_known_is_applied_once_it_is() -> None:
    site = SmallSite()
    ended = EndedTask(1, TaskId(JobId("late"), 0, 0, 0), 1, EndKind.DONE)
    assert site.report(0, ended=(ended,)).ends == []
    job = site.submit("late", step())
    assert site.report(0, ended=(ended,)).ends == [ended]
    assert job.state is JobState.SUCCEEDED


def test_run_on_a_restarted_worker_that_is_not_listed_yet_is_kept() -> None:
    site = SmallSite(workers=1)
    site.report(0)
    site.report(0, incarnation=2)
    site.submit("job", step())
    (group,) = site.start_groups()
    placement = group.placements[0]
    placement.confirmed_ms = site.now_ms + 100
    site.report(0, incarnation=2)
    assert group.placements == {0: placement}
    assert placement.phase is not Phase.STOPPING


def test_run_started_while_its_worker_restarts_is_kept_until_a_later_report() -> None:
    site = SmallSite(workers=1)
    site.report(0)
    site.submit("job", step())
    (group,) = site.start_groups()
    placement = group.placements[0]
    placement.confirmed_ms = site.now_ms + 100
    site.report(0, incarnation=2)
    assert group.placements == {0: placement}
    site.now_ms += 200
    site.report(0, incarnation=2)
    assert group.placements == {}


def test_run_that_the_restarted_worker_reports_is_kept() -> None:
    site = SmallSite(workers=1)
    site.report(0)
    site.submit("job", step())
    (group,) = site.start_groups()
    placement = group.placements[0]
    site.report(0, (RunningTask(group.task_id(0), 1),), incarnation=2)
    assert group.placements == {0: placement}


def test_worker_whose_clock_went_back_before_it_restarted_loses_its_runs() -> None:
    site = SmallSite(workers=1)
    site.report(0, incarnation=5)
    site.submit("job", step())
    (group,) = site.start_groups()
    site.report(0, incarnation=4)
    assert group.placements == {}
    (again,) = site.start_groups()
    site.report(0, (RunningTask(again.task_id(0), again.run),), incarnation=4)
    assert again.placements[0].running_since_ms is not None
