"""Property tests of the policy and mutation tests of its invariant checks."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import Any

import pytest

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from jujubehall.core.jobs import scheduling_round
from jujubehall.core.jobs.decisions import Place
from jujubehall.core.jobs.decisions import Preempt
from jujubehall.core.jobs.guarantee_allocator import GuaranteeAllocator
from jujubehall.core.jobs.invariants import InvariantViolation
from jujubehall.core.jobs.job import JobState
from jujubehall.core.jobs.placement import FreeResources
from jujubehall.core.jobs.policy import Policy
from jujubehall.core.jobs.reservation import Reservation
from jujubehall.core.jobs.running_job import RunningJob
from jujubehall.identifiers import JobId
from tests.core.jobs.fake_zone import job_spec
from tests.core.jobs.random_zone import TEAMS
from tests.core.jobs.random_zone import events
from tests.core.jobs.random_zone import make_zone
from tests.core.jobs.random_zone import replay_history

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from tests.core.jobs.fake_zone import FakeZone
    from tests.core.jobs.random_zone import Event

BROKEN_VARIANT_SEEDS = 40


@settings(derandomize=True, max_examples=120, deadline=None)
@given(events, st.sampled_from([0.0, 0.5, 1.0]))
def test_invariants_hold_for_random_histories_with_faults(
    history: Sequence[Event], weight: float
) -> None:
    replay_history(make_zone(weight), history, faults=True)


def assert_all_reclaimed(zone: FakeZone) -> None:
    """Ends the work of all teams with a guarantee, then reclaims all guarantees at the same time.

    Only borrowed work of other teams is left, which must be preempted as needed.
    """
    zone.finish_stops()
    for job in list(zone.jobs.values()):
        if job.record.spec.team != "none":
            del zone.jobs[job.record.id]
    zone.now_ms += 1_000
    zone.decide()
    reclaimed = [
        zone.submit(job_spec(name, parts, shape.accelerators_per_block // parts))
        for name, shape in TEAMS.items()
        if shape is not None
        for parts in [2 if shape.accelerators_per_block > 8 else 1]
        for _ in range(shape.blocks)
    ]
    zone.decide_and_finish_stops()
    assert {zone.state(job) for job in reclaimed} == {JobState.RUNNING}


@settings(derandomize=True, max_examples=120, deadline=None)
@given(events)
def test_all_guarantees_can_be_reclaimed_at_the_same_time(history: Sequence[Event]) -> None:
    zone = make_zone()
    replay_history(zone, history, faults=False)

    assert_all_reclaimed(zone)


@settings(derandomize=True, max_examples=60, deadline=None)
@example([(0, 0, 0), (5, 0, 0), (5, 0, 0), (5, 1, 0), (5, 2, 0)])
@given(events)
def test_guarantees_can_be_reclaimed_by_a_new_policy_without_state(
    history: Sequence[Event],
) -> None:
    zone = make_zone()
    replay_history(zone, history, faults=False)
    zone.policy = Policy()

    assert_all_reclaimed(zone)


def replay_random_histories() -> None:
    for seed in range(BROKEN_VARIANT_SEEDS):
        rng = random.Random(seed)
        history = [(rng.randrange(10), rng.randrange(1000), rng.randrange(1000)) for _ in range(40)]
        zone = make_zone()
        replay_history(zone, history, faults=True)


def test_unmodified_policy_passes_the_histories_of_the_broken_variants() -> None:
    replay_random_histories()


def _keep_all_usable(worker: Any) -> FreeResources:
    return FreeResources(worker.name, worker.rack, 8, 130, 250, 8)


def _drop_last_part(place: Callable[..., Any]) -> Callable[..., Any]:
    def placed(spec: Any, workers: Any) -> Any:
        placement = place(spec, workers)
        return placement[:-1] if placement and len(placement) > 1 else placement

    return placed


@pytest.mark.parametrize(
    ("target", "name", "broken", "message"),
    [
        (
            GuaranteeAllocator,
            "_resolve_overcommitment",
            lambda allocator, before: True,
            "exceed the capacity|no location",
        ),
        (RunningJob, "preemptible", property(lambda job: True), "guaranteed job"),
        (Reservation, "limit", lambda reservation, space, ends_at_ms: space, "is delayed"),
        (scheduling_round, "_allocate", lambda *arguments: None, "over-committed|is delayed"),
        (scheduling_round, "_free_space", _keep_all_usable, "over-committed"),
        (
            scheduling_round,
            "place_gang",
            _drop_last_part(scheduling_round.place_gang),
            "has parts",
        ),
    ],
)
def test_invariant_checks_detect_broken_variants(
    monkeypatch: pytest.MonkeyPatch, target: object, name: str, broken: object, message: str
) -> None:
    monkeypatch.setattr(target, name, broken)

    with pytest.raises(InvariantViolation, match=message):
        replay_random_histories()


@pytest.mark.parametrize(
    ("make_decision", "message"),
    [
        (lambda zone, job: Place(JobId("unknown"), ()), "unknown"),
        (lambda zone, job: Preempt(job, job, ""), "in another state"),
    ],
)
def test_invariant_checks_detect_decisions_about_unknown_jobs(
    monkeypatch: pytest.MonkeyPatch, make_decision: Any, message: str
) -> None:
    zone = make_zone()
    job = zone.submit(job_spec("none"))

    def decide(current_round: Any) -> None:
        current_round._decisions.append(make_decision(zone, job))

    monkeypatch.setattr(scheduling_round.SchedulingRound, "_place_borrowed", decide)

    with pytest.raises(InvariantViolation, match=message):
        zone.decide()


def test_invariant_checks_detect_a_placement_on_an_unusable_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    zone = make_zone()
    zone.unusable = set(zone.workers[1:])
    zone.submit(job_spec("none", 1, 8))
    zone.decide()
    zone.submit(job_spec("none", 1, 8))

    def use_all_workers(current_round: Any) -> None:
        for spaces in (current_round._spaces, current_round._unoccupied_spaces):
            for worker in current_round._view.workers:
                spaces[worker.name] = scheduling_round._free_space(worker)

    monkeypatch.setattr(scheduling_round.SchedulingRound, "_place_urgent", use_all_workers)
    with pytest.raises(InvariantViolation, match="is not usable"):
        zone.decide()
