"""Scenario tests of the scheduling policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jujubehall.core.configuration.document import Shape
from jujubehall.core.jobs.decisions import Move
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.decisions import Reject
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.policy import IDLE_RECHECK_MS
from jujubehall.core.jobs.scheduling_round import SchedulingRound
from tests.core.jobs.fake_zone import MINUTE_MS
from tests.core.jobs.fake_zone import FakeZone
from tests.core.jobs.fake_zone import job_spec

if TYPE_CHECKING:
    import pytest

    from jujubehall.core.jobs.decisions import Decision
    from jujubehall.identifiers import JobId

RUNNING = JobState.RUNNING
QUEUED = JobState.QUEUED


def preempted(zone: FakeZone) -> set[JobId]:
    return {decision.job for decision in zone.decisions if isinstance(decision, Preempt)}


def set_loss(zone: FakeZone, job: JobId, lost_with_checkpoint_ms: int) -> None:
    view = msgspec.structs.replace(zone.jobs[job], lost_with_checkpoint_ms=lost_with_checkpoint_ms)
    zone.jobs[job] = view


def test_guaranteed_work_preempts_the_borrowed_job_that_loses_least() -> None:
    zone = FakeZone(1, {"a": Shape(1, 8)})
    borrowers = [zone.submit(job_spec("b", 1, 8)) for _ in range(4)]
    zone.decide()
    for index, job in enumerate(borrowers):
        set_loss(zone, job, 100_000 - 1_000 * index)
    job = zone.submit(job_spec("a", 1, 8))

    zone.decide()

    assert preempted(zone) == {borrowers[3]}
    assert zone.state(job) is QUEUED
    zone.finish_stops()
    zone.decide()
    assert zone.state(job) is RUNNING
    assert zone.state(borrowers[3]) is QUEUED


def test_one_victim_is_preferred_to_two() -> None:
    zone = FakeZone(1, {"a": Shape(1, 8)})
    for worker in ("r0-w0", "r0-w1", "r0-w2"):
        zone.add_running(job_spec("b", 1, 4), worker)
        zone.add_running(job_spec("b", 1, 4), worker)
    single = zone.add_running(job_spec("b", 1, 8), "r0-w3")
    for job in zone.jobs:
        set_loss(zone, job, 0 if job == single else 1_000)
    zone.submit(job_spec("a", 1, 8))

    zone.decide()

    assert preempted(zone) == {single}


def test_youngest_of_equally_expensive_borrowed_jobs_is_preempted() -> None:
    zone = FakeZone(1, {"a": Shape(1, 8)})
    for worker in ("r0-w0", "r0-w1", "r0-w2"):
        zone.add_running(job_spec("b", 1, 8), worker)
    zone.now_ms = MINUTE_MS
    youngest = zone.add_running(job_spec("b", 1, 8), "r0-w3")
    zone.submit(job_spec("a", 1, 8))

    zone.decide()

    assert preempted(zone) == {youngest}


def test_small_jobs_leave_room_for_the_blocks_of_other_teams() -> None:
    zone = FakeZone(1, {"a": Shape(3, 8), "c": Shape(2, 4)})
    small = [zone.submit(job_spec("c", 1, 4)) for _ in range(2)]
    zone.decide()
    blocks = [zone.submit(job_spec("a", 1, 8)) for _ in range(3)]
    zone.decide_and_finish_stops()

    assert {zone.state(job) for job in small + blocks} == {RUNNING}
    assert len({zone.jobs[job].record.placement[0].worker for job in small}) == 1


def test_gang_is_placed_within_one_block_although_its_parts_fit_elsewhere() -> None:
    zone = FakeZone(1, {"a": Shape(2, 8), "c": Shape(1, 8)})
    for worker in zone.workers[:3]:
        zone.add_running(job_spec("b", 1, 4), worker)
    zone.add_running(job_spec("c", 1, 8), "r0-w3")
    jobs = [zone.submit(job_spec("a", 4, 2)) for _ in range(2)]

    zone.decide_and_finish_stops()

    assert {zone.state(job) for job in jobs} == {RUNNING}
    for job in jobs:
        assert len({part.worker for part in zone.jobs[job].record.placement}) == 1


def test_gang_spread_over_two_workers_does_not_use_up_two_blocks() -> None:
    zone = FakeZone(1, {"a": Shape(4, 8)})
    halves = [zone.add_running(job_spec("a", 1, 4), worker) for worker in ("r0-w0", "r0-w1")]
    zone.add_running(job_spec("a", 2, 4), "r0-w0", "r0-w1")
    zone.decide()
    for half in halves:
        zone.complete_job(half, MINUTE_MS)
    full_worker_jobs = [zone.submit(job_spec("a", 1, 8)) for _ in range(3)]

    zone.decide_and_finish_stops()

    assert {zone.state(job) for job in full_worker_jobs} == {RUNNING}


def test_allocated_block_keeps_its_workers_between_rounds() -> None:
    zone = FakeZone(1, {"a": Shape(1, 16)})
    zone.add_running(job_spec("a", 1, 8), "r0-w1")
    for worker in ("r0-w0", "r0-w2", "r0-w3"):
        zone.add_running(job_spec("b", 1, 8), worker)
    zone.decide()
    second = zone.submit(job_spec("a", 1, 8))

    zone.decide_and_finish_stops()

    assert zone.state(second) is RUNNING


def test_block_larger_than_a_worker_is_reclaimed_from_borrowed_work() -> None:
    zone = FakeZone(2, {"a": Shape(1, 24)})
    for _ in range(16):
        zone.submit(job_spec("b", 1, 4))
    zone.decide()
    job = zone.submit(job_spec("a", 3, 8))

    zone.decide_and_finish_stops()

    assert zone.state(job) is RUNNING
    assert len(zone.jobs_in_state(RUNNING)) == 11


def test_borrowed_job_becomes_guaranteed_when_its_team_has_unused_blocks() -> None:
    zone = FakeZone(1, {"a": Shape(1, 8), "c": Shape(3, 8)})
    first = zone.add_running(job_spec("a", 1, 8), "r0-w0")
    second = zone.add_running(job_spec("a", 1, 8), "r0-w1")
    zone.decide()
    zone.complete_job(first, MINUTE_MS)
    zone.decide()
    others = [zone.submit(job_spec("c", 1, 8)) for _ in range(3)]

    zone.decide_and_finish_stops()

    assert {zone.state(job) for job in (second, *others)} == {RUNNING}


def test_gang_with_a_pending_placement_that_becomes_guaranteed_is_placed_once() -> None:
    zone = FakeZone(2, {"a": Shape(1, 16)})
    first = zone.add_running(job_spec("a", 2, 8), "r0-w0", "r0-w1")
    for worker in ("r0-w2", "r0-w3", "r1-w0", "r1-w1", "r1-w2", "r1-w3"):
        zone.add_running(job_spec("b", 1, 4, run_time_ms=600 * MINUTE_MS), worker)
    gang = zone.submit(job_spec("a", 2, 8))
    zone.decide()
    assert any(isinstance(decision, Move) for decision in zone.decisions)
    zone.complete_job(first, MINUTE_MS)

    zone.decide()

    assert zone.state(gang) is RUNNING


def test_jobs_are_moved_to_free_adjacent_capacity_for_a_long_waiting_gang() -> None:
    zone = FakeZone(2)
    zone.add_running(job_spec("b", 1, 8), "r0-w0")
    zone.add_running(job_spec("b", 1, 8), "r0-w1")
    for worker in ("r0-w2", "r0-w3", "r1-w0", "r1-w1", "r1-w2", "r1-w3"):
        zone.add_running(job_spec("b", 1, 4, run_time_ms=600 * MINUTE_MS), worker)
    gang = zone.submit(job_spec("c", 2, 8, run_time_ms=600 * MINUTE_MS))
    zone.decide()
    moved = [decision for decision in zone.decisions if isinstance(decision, Move)]
    assert len(moved) == 2

    zone.finish_stops()
    zone.decide()

    assert zone.state(gang) is RUNNING
    for move in moved:
        assert zone.jobs[move.job].record.placement == move.placement


def test_no_job_is_moved_to_avoid_a_short_wait() -> None:
    zone = FakeZone(2)
    for worker in zone.workers:
        zone.add_running(job_spec("b", 1, 4, run_time_ms=MINUTE_MS // 2), worker)
    zone.submit(job_spec("c", 2, 8))

    assert zone.decide() == []


def test_urgent_job_preempts_borrowed_work_but_not_guaranteed_or_urgent_work() -> None:
    zone = FakeZone(1, {"a": Shape(1, 8)})
    zone.add_running(job_spec("a", 1, 8), "r0-w0")
    zone.add_running(job_spec("b", 1, 8, urgent=True), "r0-w1")
    zone.add_running(job_spec("b", 1, 8, urgent=True), "r0-w2")
    borrowed = zone.add_running(job_spec("b", 1, 8), "r0-w3")
    urgent = zone.submit(job_spec("d", 1, 2, urgent=True))
    second = zone.submit(job_spec("d", 1, 8, urgent=True))

    zone.decide_and_finish_stops()

    assert preempted(zone) == set()
    assert zone.state(urgent) is RUNNING
    assert zone.state(second) is QUEUED
    assert zone.state(borrowed) is QUEUED


def test_urgent_job_stops_at_once_the_job_that_loses_least_without_a_checkpoint() -> None:
    zone = FakeZone(1)
    for worker in zone.workers[:3]:
        zone.add_running(job_spec("b", 1, 8), worker)
    zone.now_ms = MINUTE_MS
    young = zone.add_running(job_spec("b", 1, 8), "r0-w3")
    set_loss(zone, young, 30_000)
    zone.submit(job_spec("d", 1, 1, urgent=True))

    zone.decide()

    assert next(d for d in zone.decisions if isinstance(d, Preempt)).immediate
    assert preempted(zone) == {young}


def test_stream_of_small_jobs_does_not_starve_a_large_gang() -> None:
    for weight in (0.0, 0.5, 1.0):
        zone = FakeZone(1, weight=weight)
        for _ in range(32):
            zone.submit(job_spec("b", run_time_ms=30 * MINUTE_MS))
        zone.decide()
        gang = zone.submit(job_spec("c", 4, 8, run_time_ms=60 * MINUTE_MS))
        minutes = 0
        while zone.state(gang) is QUEUED and minutes < 24 * 60:
            zone.now_ms += MINUTE_MS
            minutes += 1
            for job in zone.jobs_in_state(RUNNING):
                if zone.now_ms - job.started_at_ms >= 30 * MINUTE_MS:
                    zone.complete_job(job.record.id, 30 * MINUTE_MS)
            zone.submit(job_spec("b", run_time_ms=30 * MINUTE_MS))
            zone.submit(job_spec("b", run_time_ms=30 * MINUTE_MS))
            zone.decide()

        assert zone.state(gang) is RUNNING, weight
        assert minutes < 12 * 60, weight


def test_backfill_does_not_delay_a_gang_with_a_reservation() -> None:
    zone = FakeZone(1)
    gang = zone.submit(job_spec("c", 4, 8))
    zone.now_ms = 12 * 60 * MINUTE_MS
    zone.add_running(job_spec("b", 1, 8, run_time_ms=30 * MINUTE_MS), "r0-w0")
    long = zone.submit(job_spec("d", 1, 8, run_time_ms=40 * MINUTE_MS))
    short = zone.submit(job_spec("d", 1, 8, run_time_ms=20 * MINUTE_MS))

    zone.decide()

    assert (zone.state(gang), zone.state(long), zone.state(short)) == (QUEUED, QUEUED, RUNNING)


def test_learned_run_times_replace_declared_ones() -> None:
    zone = FakeZone(1)
    for _ in range(8):
        job = zone.add_running(job_spec("d", 1, 1, run_time_ms=MINUTE_MS), "r0-w1")
        zone.complete_job(job, 300 * MINUTE_MS)
    zone.submit(job_spec("c", 4, 8))
    zone.now_ms = 12 * 60 * MINUTE_MS
    zone.add_running(job_spec("b", 1, 8, run_time_ms=30 * MINUTE_MS), "r0-w0")
    underdeclared = zone.submit(job_spec("d", 1, 8, run_time_ms=MINUTE_MS))

    zone.decide()

    assert zone.state(underdeclared) is QUEUED


def test_infeasible_jobs_are_rejected_with_the_reason() -> None:
    zone = FakeZone(2, {"a": None}, quota=16)
    part = zone.submit(job_spec("b", 1, 9))
    rack = zone.submit(job_spec("b", 5, 8))
    quota = zone.submit(job_spec("a", 3, 8))
    cores = zone.submit(msgspec.structs.replace(job_spec("b"), cores_per_part=131))
    spread = zone.submit(job_spec("b", 5, 8, adjacent=False))

    reasons = {d.job: d.reason for d in zone.decide() if isinstance(d, Reject)}

    assert reasons == {
        part: "no worker has the 9 accelerators, 36 cores and 90 GB of memory of a part",
        rack: "one rack holds at most 4 of the job's 5 parts",
        quota: "needs 24 accelerators; the quota of team a is 16",
        cores: "no worker has the 1 accelerators, 131 cores and 10 GB of memory of a part",
    }
    assert zone.state(spread) is RUNNING


def test_no_job_is_rejected_while_workers_are_missing_from_the_view() -> None:
    zone = FakeZone(1)
    zone.submit(job_spec("b", 5, 8))
    view = msgspec.structs.replace(zone.view(), all_workers_known=False)

    assert zone.policy.decide(view) == []


def test_no_job_is_rejected_in_a_zone_without_known_workers() -> None:
    zone = FakeZone(0)
    zone.submit(job_spec("b"))

    assert zone.decide() == []


def test_round_succeeds_with_jobs_on_workers_that_left_the_view() -> None:
    zone = FakeZone(1, {"a": Shape(2, 8)})
    zone.add_running(job_spec("a", 1, 8), "r0-w0")
    zone.add_running(job_spec("b", 2, 4), "r0-w0", "r0-w1")
    zone.decide()
    del zone.rack_of[zone.workers[0]]
    jobs = [zone.submit(job_spec("a", 1, 8)) for _ in range(2)]

    zone.decide_and_finish_stops()

    assert JobState.RUNNING in {zone.state(job) for job in jobs}


def test_job_waits_while_no_worker_is_usable() -> None:
    zone = FakeZone(1)
    zone.unusable = set(zone.workers)
    job = zone.submit(job_spec("b"))

    zone.decide()
    assert zone.state(job) is QUEUED
    zone.unusable.clear()
    zone.decide()
    assert zone.state(job) is RUNNING


def test_quota_limits_the_accelerators_of_a_team() -> None:
    zone = FakeZone(1, {"a": Shape(1, 8)}, quota=12)
    jobs = [zone.submit(job_spec("a", 1, 4)) for _ in range(4)]

    zone.decide()

    assert [zone.state(job) for job in jobs] == [RUNNING, RUNNING, RUNNING, QUEUED]


def test_accelerators_in_use_by_the_older_scheduler_are_not_reclaimed() -> None:
    zone = FakeZone(1, {"a": Shape(4, 8)})
    zone.foreign[zone.workers[0]] = 3
    jobs = [zone.submit(job_spec("a", 1, 8)) for _ in range(4)]

    zone.decide_and_finish_stops()

    assert [zone.state(job) for job in jobs] == [RUNNING, RUNNING, RUNNING, QUEUED]


def test_job_with_requested_cancellation_is_not_placed() -> None:
    zone = FakeZone(1)
    job = zone.submit(job_spec("b"))
    view = zone.jobs[job]
    record = msgspec.structs.replace(view.record, cancel_requested=True)
    zone.jobs[job] = msgspec.structs.replace(view, record=record)

    assert zone.decide() == []


def test_unplaced_blocks_are_reported_while_a_rack_is_unusable() -> None:
    zone = FakeZone(2, {"a": Shape(1, 32), "b": Shape(4, 8)})
    job = zone.submit(job_spec("b", 1, 8))
    zone.decide()
    assert zone.policy.unplaced_blocks == {}
    assert zone.policy.guaranteed_jobs == {job}

    used = zone.rack_of[zone.jobs[job].record.placement[0].worker]
    zone.unusable = {worker for worker, rack in zone.rack_of.items() if rack != used}
    zone.decide()
    assert zone.policy.unplaced_blocks == {"a": 1}

    zone.unusable.clear()
    zone.decide()
    assert zone.policy.unplaced_blocks == {}


def test_unchanged_zone_is_evaluated_again_only_after_the_recheck_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rounds: list[int] = []

    def count(current: SchedulingRound) -> list[Decision]:
        rounds.append(current._view.now_ms)
        return []

    monkeypatch.setattr(SchedulingRound, "run", count)
    zone = FakeZone(1)
    zone.submit(job_spec("b", 4, 8))
    for zone.now_ms in (0, 200, IDLE_RECHECK_MS - 1, IDLE_RECHECK_MS):
        zone.decide()
    zone.foreign[zone.workers[0]] = 1
    zone.decide()
    zone.submit(job_spec("b"))
    zone.decide()

    assert rounds == [0, IDLE_RECHECK_MS, IDLE_RECHECK_MS, IDLE_RECHECK_MS]


def test_small_jobs_share_workers_so_that_entire_workers_stay_free() -> None:
    zone = FakeZone(2)
    for accelerators in (4, 2, 2, 4):
        zone.submit(job_spec("b", 1, accelerators))
        zone.decide()

    placed = {job.record.placement[0].worker for job in zone.jobs_in_state(RUNNING)}
    assert len(placed) == 2
    assert len({zone.rack_of[worker] for worker in placed}) == 1


def test_gang_is_not_placed_partially() -> None:
    zone = FakeZone(2)
    for worker in zone.workers[:3] + zone.workers[4:6]:
        zone.add_running(job_spec("b", 1, 8), worker)
    zone.submit(job_spec("c", 3, 8))

    assert not any(isinstance(decision, Place) for decision in zone.decide())
