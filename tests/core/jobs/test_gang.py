"""Tests of the gang state machine."""

from __future__ import annotations

import pytest

from jujubehall.core.jobs.gang import Gang
from jujubehall.core.jobs.gang import GangPhase
from jujubehall.core.jobs.gang_messages import CommandPart
from jujubehall.core.jobs.gang_messages import GangAction
from jujubehall.core.jobs.gang_messages import PartRefused
from jujubehall.core.jobs.gang_messages import PartReported
from jujubehall.core.jobs.gang_messages import PartStep
from jujubehall.core.jobs.gang_messages import RecordChanged
from jujubehall.core.jobs.gang_messages import RecordWritten
from jujubehall.core.jobs.gang_messages import Refusal
from jujubehall.core.jobs.gang_messages import Tick
from jujubehall.core.jobs.gang_messages import WriteRecord
from jujubehall.core.jobs.gang_timing import PART_UNSEEN_TIMEOUT_MS
from jujubehall.core.jobs.gang_timing import TICK_INTERVAL_MS
from jujubehall.core.jobs.job import JobRecord
from jujubehall.core.jobs.job import JobSpec
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.job import PartPlacement
from jujubehall.identifiers import Epoch
from jujubehall.identifiers import JobId
from jujubehall.identifiers import TeamName
from jujubehall.identifiers import Version
from jujubehall.identifiers import WorkerName
from jujubehall.identifiers import ZoneName
from jujubehall.workers.messages import TaskState

SPEC = JobSpec(TeamName("studio"), "mix-render", parts=2, accelerators_per_part=4)
QUEUED = JobRecord(JobId("job-1"), SPEC, JobState.QUEUED, ZoneName("zone-a"), 0)
PLACEMENT = (PartPlacement(0, WorkerName("worker-0")), PartPlacement(1, WorkerName("worker-1")))


def reported(part: int, state: TaskState | None, at_ms: int = 0, sequence: int = 1) -> PartReported:
    return PartReported(part, state, at_ms, sequence, sequence)


def steps(actions: list[GangAction]) -> list[PartStep]:
    return [action.step for action in actions if isinstance(action, CommandPart)]


def written(actions: list[GangAction]) -> list[JobState]:
    return [action.record.state for action in actions if isinstance(action, WriteRecord)]


def new_gang() -> Gang:
    return Gang(QUEUED, Version(1), Epoch(3), lambda _: False)


def running_gang() -> Gang:
    gang = new_gang()
    gang.begin(PLACEMENT, 0)
    gang.handle(RecordWritten(Version(2)), 0)
    for part in range(2):
        gang.handle(reported(part, TaskState.RESERVED), 0)
    gang.handle(RecordWritten(Version(3)), 0)
    for part in range(2):
        gang.handle(reported(part, TaskState.RUNNING, sequence=2), 0)
    assert gang.phase is GangPhase.RUNNING
    return gang


def test_attempt_records_placement_reserves_records_start_and_starts_in_order() -> None:
    gang = new_gang()
    assert written(gang.begin(PLACEMENT, 0)) == [JobState.RESERVING]
    assert steps(gang.handle(RecordWritten(Version(2)), 0)) == [PartStep.RESERVE] * 2
    assert gang.handle(reported(0, TaskState.RESERVED), 0) == []
    assert written(gang.handle(reported(1, TaskState.RESERVED), 0)) == [JobState.RUNNING]
    assert steps(gang.handle(RecordWritten(Version(3)), 0)) == [PartStep.START] * 2


def test_refused_reservation_stops_all_parts_without_counting_a_failure() -> None:
    gang = new_gang()
    gang.begin(PLACEMENT, 0)
    gang.handle(RecordWritten(Version(2)), 0)
    gang.handle(reported(0, TaskState.RESERVED), 0)
    stopped = gang.handle(PartRefused(1, Refusal.NO_ROOM), 0)
    assert set(steps(stopped)) == {PartStep.STOP}
    gang.handle(reported(0, TaskState.STOPPED), 0)
    ended = gang.handle(reported(1, None), 0)
    assert written(ended) == [JobState.QUEUED]
    assert gang.record.failures == 0


def test_leases_are_renewed_only_while_all_parts_are_confirmed_alive() -> None:
    gang = running_gang()
    worker = WorkerName("worker-0")
    assert len(gang.renewable_keys(worker, PART_UNSEEN_TIMEOUT_MS)) == 1
    gang.handle(reported(0, TaskState.RUNNING, 5_000, 3), 5_000)
    assert gang.renewable_keys(worker, PART_UNSEEN_TIMEOUT_MS + 1) == ()


def test_unseen_part_stops_the_whole_gang() -> None:
    gang = running_gang()
    actions: list[GangAction] = []
    for now_ms in range(0, 2 * PART_UNSEEN_TIMEOUT_MS, TICK_INTERVAL_MS):
        gang.handle(reported(0, TaskState.RUNNING, now_ms, 3), now_ms)
        actions += gang.handle(Tick(), now_ms)
    assert PartStep.STOP in steps(actions)
    assert gang.phase is GangPhase.STOPPING


def test_job_is_requeued_only_once_no_part_can_still_run() -> None:
    gang = running_gang()
    assert PartStep.STOP in steps(gang.handle(reported(0, None, sequence=3), 0))
    assert gang.phase is GangPhase.STOPPING
    assert written(gang.handle(Tick(), 20_000)) == []
    assert written(gang.handle(reported(1, TaskState.STOPPED), 20_000)) == [JobState.QUEUED]


def test_stale_response_from_before_the_reservation_does_not_mark_a_part_as_lost() -> None:
    gang = new_gang()
    gang.begin(PLACEMENT, 0)
    gang.handle(RecordWritten(Version(2)), 0)
    gang.handle(PartReported(0, TaskState.RESERVED, 0, sequence=5, latest_sequence=7), 0)
    assert gang.handle(PartReported(0, None, 0, sequence=7, latest_sequence=8), 0) == []
    assert steps(gang.handle(PartReported(0, None, 0, sequence=8, latest_sequence=8), 0))


def test_conflicting_write_of_the_placement_ends_the_attempt() -> None:
    gang = new_gang()
    gang.begin(PLACEMENT, 0)
    assert gang.handle(RecordChanged(QUEUED, Version(9), write_failed=True), 0) == []
    assert gang.phase is GangPhase.DONE


@pytest.mark.parametrize("failed", [0, 1])
def test_failed_part_counts_as_a_failure_of_the_job(failed: int) -> None:
    gang = running_gang()
    gang.handle(reported(failed, TaskState.FAILED, sequence=3), 0)
    (action,) = gang.handle(reported(1 - failed, TaskState.STOPPED, sequence=4), 0)
    assert isinstance(action, WriteRecord)
    assert action.record.failures == 1
    assert action.record.failed_workers == (PLACEMENT[failed].worker,)
    assert action.version == Version(3)


def test_owner_resuming_from_a_pause_neither_renews_leases_nor_stops_the_gang() -> None:
    gang = running_gang()
    gang.handle(Tick(), 0)
    assert gang.handle(Tick(), PART_UNSEEN_TIMEOUT_MS + 1_000) == []
    assert gang.renewable_keys(WorkerName("worker-0"), PART_UNSEEN_TIMEOUT_MS + 1_000) == ()
